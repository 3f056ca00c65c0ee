//! The examples and the page of settings against the daemons' own settings.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use note::Catalogue;
use serde_json::Value;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn files(user: &str) -> Vec<(String, Vec<u8>)> {
    let folder = root().join("examples").join(user);
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

/// What is in force under an example's settings, by the daemon it is for.
fn effective(name: &str, json: &[u8]) -> Value {
    let settings = match name.split(['-', '.']).next().unwrap() {
        "control" => control::Settings::from_slice(json).map(|settings| settings.effective),
        "entry" => entry::Settings::from_slice(json).map(|settings| settings.effective()),
        "agent" => agent::Settings::from_slice(json).map(|settings| settings.effective()),
        other => panic!("{other} is no daemon"),
    };
    settings.unwrap_or_else(|findings| panic!("{name}: {findings}"))
}

/// The keys of a document with their values, those of sections after a dot.
fn keys(value: &Value, path: &str, found: &mut BTreeMap<String, Value>) {
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
                keys(value, &path, found);
            }
        }
        Value::Array(list) => list.iter().for_each(|item| keys(item, path, found)),
        _ => {}
    }
}

/// The rows that the page should have, each up to its default. A key that the
/// example gives may be required or have any default.
fn rows(name: &str, json: &[u8]) -> Vec<String> {
    let (mut in_force, mut given) = (BTreeMap::new(), BTreeMap::new());
    keys(&effective(name, json), "", &mut in_force);
    keys(&serde_json::from_slice(json).unwrap(), "", &mut given);
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
    in_force.into_iter().map(row).collect()
}

#[test]
fn examples_settings_and_note_fit() {
    // An operator starts from an example. One that the daemons refuse, or whose
    // targets aren't in its note, would cost the first evening.
    for user in ["association", "hotline"] {
        let files = files(user);
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
                assert_eq!(target.group(), text("group"), "{user}/{name}");
                assert_eq!(target.service(), text("service"), "{user}/{name}");
            }
        }
    }
}

#[test]
fn settings_page_has_every_key() {
    // A key that the page doesn't name can't be found when it must be turned,
    // and a default that isn't the daemon's misleads whoever turns it.
    let page = std::fs::read_to_string(root().join("docs/SETTINGS.md")).unwrap();
    let mut missing = Vec::new();
    for user in ["association", "hotline"] {
        let files = files(user).into_iter();
        for (name, json) in files.filter(|(name, _)| name != "note.json") {
            let daemon = name.split(['-', '.']).next().unwrap();
            let section = page
                .split(&format!("## lovageramp-{daemon}\n"))
                .nth(1)
                .unwrap();
            let section = section.split("\n## ").next().unwrap();
            let absent = rows(&name, &json).into_iter();
            missing.extend(absent.filter(|row| !section.contains(row.as_str())));
        }
    }
    assert!(missing.is_empty(), "not in docs/SETTINGS.md: {missing:#?}");
}
