//! A release note, parsed but not yet validated against a catalogue.

use std::collections::BTreeMap;

use bytes::Bytes;
use cfg::{Finding, Reader};
use serde_json::{Value, json};

use crate::{Digest, Item, Kind, Withdrawal, check};

/// Maximum size of a note, in bytes. A note is sent in a single message through
/// the replicated log and to every node.
const MAX_NOTE_BYTES: usize = 1 << 20;

/// A well-formed release note. [`Catalogue::check_note`](crate::Catalogue::check_note)
/// validates it against a catalogue.
#[derive(Debug, Clone, PartialEq)]
pub struct Note {
    pub(crate) number: u64,
    pub(crate) added: Vec<Item>,
    pub(crate) changed: Vec<Item>,
    pub(crate) withdrawn: Vec<Withdrawal>,
}

impl Note {
    /// Parses a note.
    ///
    /// # Errors
    ///
    /// Returns all findings about the note's structure at once: malformed JSON,
    /// unknown or missing keys, values out of range, and items listed twice.
    ///
    /// ```
    /// let findings = note::Note::from_slice(br#"{"numbr": 1}"#).unwrap_err();
    /// assert_eq!(findings[0].to_string(), "missing at number");
    /// assert_eq!(findings[1].to_string(), "unknown key, did you mean \"number\"? at numbr");
    /// ```
    pub fn from_slice(json: &[u8]) -> Result<Self, Vec<Finding>> {
        check_size(json.len())?;
        let mut r = Reader::from_slice(json).map_err(cfg::Findings::into_vec)?;
        let number: Option<u64> = r.required("number");
        let added = read_list(&mut r, "added", Item::read);
        let changed = read_list(&mut r, "changed", Item::read);
        let withdrawn = read_list(&mut r, "withdrawn", Withdrawal::read);
        find_duplicates(&mut r, &added, &changed, &withdrawn);
        r.finish()
            .map_err(|findings| check::truncate(findings.into_vec()))?;
        // Without findings, every item was parsed.
        let number = number.unwrap_or_default();
        let note = Note {
            number,
            added: added.into_iter().flatten().collect(),
            changed: changed.into_iter().flatten().collect(),
            withdrawn: withdrawn.into_iter().flatten().collect(),
        };
        // The canonical form includes defaults and can be larger. Nodes parse
        // that form, so it must respect the limit too.
        check_size(note.to_json().len())?;
        Ok(note)
    }

    /// Returns the note's number.
    ///
    /// ```
    /// assert_eq!(note::Note::from_slice(br#"{"number": 3}"#).unwrap().number(), 3);
    /// ```
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Serializes the note as canonical JSON: with defaults, items ordered by kind
    /// and name, without white space. Equivalent notes have equal bytes.
    ///
    /// ```
    /// let a = note::Note::from_slice(br#"{"number": 1, "added": []}"#).unwrap();
    /// let b = note::Note::from_slice(br#"{ "number": 1 }"#).unwrap();
    /// assert_eq!(a.to_json(), b.to_json());
    /// ```
    #[must_use]
    pub fn to_json(&self) -> Bytes {
        let mut withdrawn: Vec<&Withdrawal> = self.withdrawn.iter().collect();
        withdrawn.sort();
        let withdrawn: Vec<Value> = withdrawn.into_iter().map(Withdrawal::to_value).collect();
        let value = json!({
            "number": self.number,
            "added": sorted(&self.added),
            "changed": sorted(&self.changed),
            "withdrawn": withdrawn,
        });
        Bytes::from(value.to_string())
    }

    /// Returns the digest of the canonical JSON, which distinguishes a resubmitted
    /// note from a different one with the same number.
    ///
    /// ```
    /// let a = note::Note::from_slice(br#"{"number": 1}"#).unwrap();
    /// let b = note::Note::from_slice(br#"{"number": 2}"#).unwrap();
    /// assert_ne!(a.digest(), b.digest());
    /// ```
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.to_json())
    }
}

fn check_size(len: usize) -> Result<(), Vec<Finding>> {
    if len <= MAX_NOTE_BYTES {
        return Ok(());
    }
    let message = format!("{len} bytes are more than the {MAX_NOTE_BYTES} that a note may have");
    Err(vec![Finding::new("", message)])
}

/// Reads a list of items. Invalid items yield `None`, so that the indices match
/// those of the document.
fn read_list<T>(r: &mut Reader, key: &str, read: fn(&mut Reader) -> Option<T>) -> Vec<Option<T>> {
    r.sections(key)
        .into_iter()
        .map(|mut section| read(&mut section))
        .collect()
}

fn sorted(items: &[Item]) -> Vec<Value> {
    let mut items: Vec<&Item> = items.iter().collect();
    items.sort_by_key(|item| (item.kind(), item.name()));
    items.into_iter().map(Item::to_value).collect()
}

/// Reports items that are listed more than once. Otherwise the result would depend
/// on the order of the lists, and one of the entries would be silently lost.
fn find_duplicates(
    r: &mut Reader,
    added: &[Option<Item>],
    changed: &[Option<Item>],
    withdrawn: &[Option<Withdrawal>],
) {
    let mut listed = Vec::new();
    for (key, items) in [("added", added), ("changed", changed)] {
        for (position, item) in items.iter().enumerate() {
            if let Some(item) = item {
                listed.push((format!("{key}[{position}]"), item.kind(), item.name()));
            }
        }
    }
    for (position, withdrawal) in withdrawn.iter().enumerate() {
        if let Some(withdrawal) = withdrawal {
            let place = format!("withdrawn[{position}]");
            listed.push((place, withdrawal.kind, &withdrawal.name));
        }
    }
    let mut places: BTreeMap<(Kind, &str), String> = BTreeMap::new();
    for (place, kind, name) in listed {
        if let Some(earlier) = places.get(&(kind, name)) {
            r.finding(
                &place,
                format!("{kind} {name:?} stands already at {earlier}"),
            );
        } else {
            places.insert((kind, name), place);
        }
    }
}
