//! Checks the example settings and the settings page against the daemons' own settings.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use note::Catalogue;
use serde_json::Value;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn example_files(example: &str) -> Vec<(String, Vec<u8>)> {
    let folder = repository_root().join("examples").join(example);
    let mut files: Vec<(String, Vec<u8>)> = std::fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path())
        .map(|path| {
            let name = path.file_name().unwrap().to_str().unwrap().to_owned();
            (name, std::fs::read(&path).unwrap())
        })
        .collect();
    files.sort();
    files
}

/// Effective settings of an example, as the daemon that it is for reads them.
fn effective(name: &str, json: &[u8]) -> Value {
    let settings = match name.split(['-', '.']).next().unwrap() {
        "control" => control::Settings::from_slice(json).map(|settings| settings.effective),
        "entry" => entry::Settings::from_slice(json).map(|settings| settings.effective()),
        "agent" => agent::Settings::from_slice(json).map(|settings| settings.effective()),
        other => panic!("no daemon is called {other}"),
    };
    settings.unwrap_or_else(|findings| panic!("{name}: {findings}"))
}

/// Collects the keys of a document with their values. Keys of sections are joined by dots.
fn collect_keys(value: &Value, path: &str, found: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(members) => {
            for (key, value) in members {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                if !value.is_object() {
                    found.insert(path.clone(), value.clone());
                }
                collect_keys(value, &path, found);
            }
        }
        Value::Array(list) => list.iter().for_each(|item| collect_keys(item, path, found)),
        _ => {}
    }
}

/// Beginnings, up to the default, of the rows that the settings page must have. For a key
/// that the example sets the default is left open: the effective value doesn't show it,
/// and the key may be required.
fn expected_rows(name: &str, json: &[u8]) -> Vec<String> {
    let (mut effective_keys, mut given) = (BTreeMap::new(), BTreeMap::new());
    collect_keys(&effective(name, json), "", &mut effective_keys);
    collect_keys(&serde_json::from_slice(json).unwrap(), "", &mut given);
    let row = |(key, value): (String, Value)| {
        if given.contains_key(&key) {
            return format!("\n| `{key}` | ");
        }
        let default = match value {
            Value::Null => "none".to_owned(),
            value => value.to_string(),
        };
        format!("\n| `{key}` | {default} | ")
    };
    effective_keys.into_iter().map(row).collect()
}

#[test]
fn examples_settings_and_note_fit() {
    // Operators start from an example, so the daemons must accept its settings and its
    // note must have the targets of its agents.
    for example in ["association", "hotline"] {
        let files = example_files(example);
        let note = files.iter().find(|(name, _)| name == "note.json");
        let mut catalogue = Catalogue::default();
        let checked = catalogue.check(&note.unwrap().1).unwrap();
        catalogue.apply(&checked);
        assert_eq!(catalogue.accounts().count(), 10);
        assert_eq!(catalogue.targets().count(), 19);
        let settings = files.iter().filter(|(name, _)| name != "note.json");
        for (name, json) in settings {
            let effective = effective(name, json);
            let text = |key: &str| effective[key].as_str();
            if name.starts_with("agent") {
                let target = catalogue.target(text("name").unwrap()).unwrap();
                assert_eq!(target.group(), text("group"), "{example}/{name}");
                assert_eq!(target.service(), text("service"), "{example}/{name}");
            }
        }
    }
}

#[test]
fn settings_page_has_every_key() {
    // Operators look keys up on the page when they must change a setting: every key must
    // be listed there, with the default that the daemon uses.
    let page = std::fs::read_to_string(repository_root().join("docs/SETTINGS.md")).unwrap();
    let mut missing = Vec::new();
    for example in ["association", "hotline"] {
        let files = example_files(example).into_iter();
        for (name, json) in files.filter(|(name, _)| name != "note.json") {
            let daemon = name.split(['-', '.']).next().unwrap();
            let section = page
                .split(&format!("## lovageramp-{daemon}\n"))
                .nth(1)
                .unwrap();
            let section = section.split("\n## ").next().unwrap();
            let absent = expected_rows(&name, &json).into_iter();
            missing.extend(absent.filter(|row| !section.contains(row.as_str())));
        }
    }
    assert!(missing.is_empty(), "not in docs/SETTINGS.md: {missing:#?}");
}
