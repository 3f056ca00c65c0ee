//! A release note, read but not yet checked against a catalogue.

use std::collections::BTreeMap;

use bytes::Bytes;
use cfg::{Finding, Reader};
use serde_json::{Value, json};

use crate::{Digest, Item, Kind, Withdrawal, check};

/// Largest note, in bytes. It must pass through the replicated log and to all
/// nodes in one piece.
const MOST_BYTES: usize = 1 << 20;

/// A release note whose shape is right. Whether it fits what is in force is
/// for [`Catalogue::check`](crate::Catalogue::check) to say.
#[derive(Debug, Clone, PartialEq)]
pub struct Note {
    pub(crate) number: u64,
    pub(crate) added: Vec<Item>,
    pub(crate) changed: Vec<Item>,
    pub(crate) withdrawn: Vec<Withdrawal>,
}

impl Note {
    /// Reads a note.
    ///
    /// # Errors
    ///
    /// All findings about the note's shape at once: malformed JSON, unknown
    /// or missing keys, values out of range, one thing named twice.
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
        find_repeats(&mut r, &added, &changed, &withdrawn);
        r.finish()
            .map_err(|findings| check::bounded(findings.into_vec()))?;
        // Without findings every item was read.
        let number = number.unwrap_or_default();
        let note = Note {
            number,
            added: added.into_iter().flatten().collect(),
            changed: changed.into_iter().flatten().collect(),
            withdrawn: withdrawn.into_iter().flatten().collect(),
        };
        // With its defaults filled in the note is longer, and that is the
        // form which nodes must take in again.
        check_size(note.to_json().len())?;
        Ok(note)
    }

    /// The note's number.
    ///
    /// ```
    /// assert_eq!(note::Note::from_slice(br#"{"number": 3}"#).unwrap().number(), 3);
    /// ```
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The note in canonical JSON: defaults filled in, items in order of kind
    /// and name, no white space. Two notes that say the same have equal bytes.
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

    /// Digest of the canonical JSON: tells a note sent again from another one
    /// that carries the same number.
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
    if len <= MOST_BYTES {
        return Ok(());
    }
    let message = format!("{len} bytes are more than the {MOST_BYTES} that a note may have");
    Err(vec![Finding::new("", message)])
}

/// One slot for each object of the list, empty where it could not be read, so
/// that the positions stay those of the document.
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

/// One thing named twice in a note would make its outcome depend on the order
/// of the lists, and an operator would see one of the two silently lost.
fn find_repeats(
    r: &mut Reader,
    added: &[Option<Item>],
    changed: &[Option<Item>],
    withdrawn: &[Option<Withdrawal>],
) {
    let mut named = Vec::new();
    for (key, items) in [("added", added), ("changed", changed)] {
        for (position, item) in items.iter().enumerate() {
            if let Some(item) = item {
                named.push((format!("{key}[{position}]"), item.kind(), item.name()));
            }
        }
    }
    for (position, withdrawal) in withdrawn.iter().enumerate() {
        if let Some(withdrawal) = withdrawal {
            let place = format!("withdrawn[{position}]");
            named.push((place, withdrawal.kind, &withdrawal.name));
        }
    }
    let mut first: BTreeMap<(Kind, &str), String> = BTreeMap::new();
    for (place, kind, name) in named {
        if let Some(earlier) = first.get(&(kind, name)) {
            r.finding(
                &place,
                format!("{kind} {name:?} stands already at {earlier}"),
            );
        } else {
            first.insert((kind, name), place);
        }
    }
}
