//! The set of configured items.

use std::collections::BTreeMap;

use cfg::{Finding, Findings, Reader};
use serde_json::json;

use crate::{Account, CheckedNote, Digest, Group, Item, Kind, Model, Note, Service, Target, check};

/// The set of configured items: the result of all notes up to its number. The
/// default is empty and has number 0.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalogue {
    number: u64,
    items: BTreeMap<Kind, BTreeMap<String, Item>>,
    /// Account names, indexed by the digest of their key.
    keys: BTreeMap<Digest, String>,
}

impl Catalogue {
    /// Returns the number of the last applied note.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().number(), 0);
    /// ```
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Validates a note's JSON against this catalogue.
    ///
    /// # Errors
    ///
    /// Returns all findings at once. References are only checked once the note
    /// parses without findings, because unparsed items can't be looked up.
    ///
    /// ```
    /// let json = br#"{"number": 1, "added": [
    ///     {"kind": "target", "name": "t", "group": "x"}]}"#;
    /// let findings = note::Catalogue::default().check(json).unwrap_err();
    /// assert_eq!(findings[0].to_string(), "unknown group \"x\" at added[0].group");
    /// ```
    pub fn check(&self, json: &[u8]) -> Result<CheckedNote, Vec<Finding>> {
        self.check_note(Note::from_slice(json)?)
    }

    /// Validates a parsed note against this catalogue.
    ///
    /// # Errors
    ///
    /// Returns all findings at once.
    ///
    /// ```
    /// let note = note::Note::from_slice(br#"{"number": 2}"#).unwrap();
    /// let findings = note::Catalogue::default().check_note(note).unwrap_err();
    /// assert_eq!(findings[0].to_string(), "must be 1, the next number, is 2 at number");
    /// ```
    pub fn check_note(&self, note: Note) -> Result<CheckedNote, Vec<Finding>> {
        let findings = check::findings(self, &note);
        if findings.is_empty() {
            Ok(CheckedNote(note))
        } else {
            Err(check::truncate(findings))
        }
    }

    /// Applies a note atomically. A note whose number isn't the next one is
    /// ignored, so that a late or duplicate delivery never reverts the catalogue.
    ///
    /// ```
    /// let mut catalogue = note::Catalogue::default();
    /// let checked = catalogue.check(br#"{"number": 1}"#).unwrap();
    /// catalogue.apply(&checked);
    /// catalogue.apply(&checked);
    /// assert_eq!(catalogue.number(), 1);
    /// ```
    pub fn apply(&mut self, note: &CheckedNote) {
        let note = &note.0;
        if Some(note.number) != self.number.checked_add(1) {
            return;
        }
        for withdrawal in &note.withdrawn {
            self.remove(withdrawal.kind, &withdrawal.name);
        }
        // Remove all old keys before inserting new ones: two accounts may swap keys.
        for item in &note.changed {
            self.remove(item.kind(), item.name());
        }
        for item in note.changed.iter().chain(&note.added) {
            self.insert(item.clone());
        }
        self.number = note.number;
    }

    /// Returns the account that a bearer key belongs to.
    ///
    /// The lookup uses the key's digest, which a caller can't control byte by
    /// byte, and the stored digest is then compared in constant time. Response
    /// times therefore reveal nothing about a valid key.
    ///
    /// ```
    /// assert!(note::Catalogue::default().account_by_key(b"secret").is_none());
    /// ```
    #[must_use]
    pub fn account_by_key(&self, key: &[u8]) -> Option<&Account> {
        let digest = Digest::of(key);
        let account = self.account(self.keys.get(&digest)?)?;
        Some(account).filter(|account| account.key_sha256.ct_eq(&digest))
    }

    /// Returns the account with this name.
    ///
    /// ```
    /// assert!(note::Catalogue::default().account("saegewerk-huber").is_none());
    /// ```
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.item(Kind::Account, name).and_then(as_account)
    }

    /// Returns the model group with this name.
    ///
    /// ```
    /// assert!(note::Catalogue::default().group("blank-advisor").is_none());
    /// ```
    #[must_use]
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.item(Kind::Group, name).and_then(as_group)
    }

    /// Returns the model with this name.
    ///
    /// ```
    /// assert!(note::Catalogue::default().model("burl-notes").is_none());
    /// ```
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.item(Kind::Model, name).and_then(as_model)
    }

    /// Returns the plain service with this name.
    ///
    /// ```
    /// assert!(note::Catalogue::default().service("order-desk").is_none());
    /// ```
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.item(Kind::Service, name).and_then(as_service)
    }

    /// Returns the target with this name.
    ///
    /// ```
    /// assert!(note::Catalogue::default().target("advisor-01").is_none());
    /// ```
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&Target> {
        self.item(Kind::Target, name).and_then(as_target)
    }

    /// Iterates over all client accounts, ordered by name.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().accounts().count(), 0);
    /// ```
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.items_of_kind(Kind::Account).filter_map(as_account)
    }

    /// Iterates over all model groups, ordered by name.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().groups().count(), 0);
    /// ```
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.items_of_kind(Kind::Group).filter_map(as_group)
    }

    /// Iterates over the model groups that run a model, ordered by name.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().groups_for("burl-notes").count(), 0);
    /// ```
    pub fn groups_for(&self, model: &str) -> impl Iterator<Item = &Group> {
        self.groups().filter(move |group| group.model == model)
    }

    /// Iterates over all models, ordered by name.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().models().count(), 0);
    /// ```
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.items_of_kind(Kind::Model).filter_map(as_model)
    }

    /// Iterates over all plain services, ordered by name.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().services().count(), 0);
    /// ```
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.items_of_kind(Kind::Service).filter_map(as_service)
    }

    /// Iterates over all targets, ordered by name.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().targets().count(), 0);
    /// ```
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.items_of_kind(Kind::Target).filter_map(as_target)
    }

    /// Serializes the catalogue as canonical JSON: equal catalogues have equal
    /// bytes.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().to_json(), br#"{"items":[],"number":0}"#);
    /// ```
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let items: Vec<_> = self.items().map(Item::to_value).collect();
        json!({"number": self.number, "items": items})
            .to_string()
            .into_bytes()
    }

    /// Parses a catalogue written by [`Catalogue::to_json`].
    ///
    /// # Errors
    ///
    /// Returns all findings at once, including dangling references.
    ///
    /// ```
    /// let catalogue = note::Catalogue::default();
    /// assert_eq!(note::Catalogue::from_json(&catalogue.to_json()).unwrap(), catalogue);
    /// ```
    pub fn from_json(json: &[u8]) -> Result<Self, Findings> {
        let mut r = Reader::from_slice(json)?;
        let number = r.required("number");
        let sections = r.sections("items").into_iter();
        let items: Vec<Item> = sections.filter_map(|mut r| Item::read(&mut r)).collect();
        r.finish()?;
        // Validated as a single note that adds every item.
        let note = Note {
            number: 1,
            added: items,
            changed: Vec::new(),
            withdrawn: Vec::new(),
        };
        let mut catalogue = Catalogue::default();
        let checked = catalogue.check_note(note)?;
        catalogue.apply(&checked);
        catalogue.number = number.unwrap_or_default();
        Ok(catalogue)
    }

    pub(crate) fn contains(&self, kind: Kind, name: &str) -> bool {
        self.item(kind, name).is_some()
    }

    pub(crate) fn names(&self, kind: Kind) -> impl Iterator<Item = &str> {
        self.items_of_kind(kind).map(Item::name)
    }

    /// Iterates over all items, ordered by kind and name.
    pub(crate) fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values().flat_map(BTreeMap::values)
    }

    fn items_of_kind(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.items.get(&kind).into_iter().flat_map(BTreeMap::values)
    }

    fn item(&self, kind: Kind, name: &str) -> Option<&Item> {
        self.items.get(&kind)?.get(name)
    }

    fn insert(&mut self, item: Item) {
        if let Item::Account(account) = &item {
            self.keys.insert(account.key_sha256, account.name.clone());
        }
        let kind = self.items.entry(item.kind()).or_default();
        kind.insert(item.name().to_owned(), item);
    }

    fn remove(&mut self, kind: Kind, name: &str) {
        let Some(items) = self.items.get_mut(&kind) else {
            return;
        };
        let removed = items.remove(name);
        if items.is_empty() {
            self.items.remove(&kind);
        }
        if let Some(Item::Account(account)) = removed {
            self.keys.remove(&account.key_sha256);
        }
    }
}

fn as_account(item: &Item) -> Option<&Account> {
    match item {
        Item::Account(account) => Some(account),
        _ => None,
    }
}

fn as_group(item: &Item) -> Option<&Group> {
    match item {
        Item::Group(group) => Some(group),
        _ => None,
    }
}

fn as_model(item: &Item) -> Option<&Model> {
    match item {
        Item::Model(model) => Some(model),
        _ => None,
    }
}

fn as_service(item: &Item) -> Option<&Service> {
    match item {
        Item::Service(service) => Some(service),
        _ => None,
    }
}

fn as_target(item: &Item) -> Option<&Target> {
    match item {
        Item::Target(target) => Some(target),
        _ => None,
    }
}
