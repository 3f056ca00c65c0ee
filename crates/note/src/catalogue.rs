//! All that is on offer.

use std::collections::BTreeMap;

use cfg::{Finding, Findings, Reader};
use serde_json::json;

use crate::{Account, CheckedNote, Digest, Group, Item, Kind, Model, Note, Service, Target, check};

/// All that is on offer: the sum of the notes up to its number. The default
/// is number 0 and empty.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalogue {
    number: u64,
    items: BTreeMap<Kind, BTreeMap<String, Item>>,
    /// Account names by the digest of their key.
    keys: BTreeMap<Digest, String>,
}

impl Catalogue {
    /// The number of the last note that was applied.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().number(), 0);
    /// ```
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Checks a note's JSON against what is in force.
    ///
    /// # Errors
    ///
    /// All findings at once. Those about the note's own shape hide those about
    /// references, since what could not be read can't be looked up.
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

    /// Checks a note that was read before.
    ///
    /// # Errors
    ///
    /// All findings at once.
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
            Err(check::bounded(findings))
        }
    }

    /// Applies a note, whole. A note that isn't the next one is left alone: a
    /// message delivered late or twice must never turn the catalogue back.
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
        // All old keys go before the new ones come: two accounts may swap.
        for item in &note.changed {
            self.remove(item.kind(), item.name());
        }
        for item in note.changed.iter().chain(&note.added) {
            self.insert(item.clone());
        }
        self.number = note.number;
    }

    /// The account that a bearer key belongs to.
    ///
    /// The lookup goes by the key's digest, which a caller can't steer byte by
    /// byte; the digest found is then compared in constant time.
    ///
    /// ```
    /// assert!(note::Catalogue::default().account_by_key(b"secret").is_none());
    /// ```
    #[must_use]
    pub fn account_by_key(&self, key: &[u8]) -> Option<&Account> {
        let digest = Digest::of(key);
        let account = self.account(self.keys.get(&digest)?)?;
        Some(account).filter(|account| account.key_sha256.is_secretly(&digest))
    }

    /// The account of this name.
    ///
    /// ```
    /// assert!(note::Catalogue::default().account("saegewerk-huber").is_none());
    /// ```
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.item(Kind::Account, name).and_then(as_account)
    }

    /// The model group of this name.
    ///
    /// ```
    /// assert!(note::Catalogue::default().group("blank-advisor").is_none());
    /// ```
    #[must_use]
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.item(Kind::Group, name).and_then(as_group)
    }

    /// The model of this name.
    ///
    /// ```
    /// assert!(note::Catalogue::default().model("burl-notes").is_none());
    /// ```
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.item(Kind::Model, name).and_then(as_model)
    }

    /// The plain service of this name.
    ///
    /// ```
    /// assert!(note::Catalogue::default().service("order-desk").is_none());
    /// ```
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.item(Kind::Service, name).and_then(as_service)
    }

    /// The target of this name.
    ///
    /// ```
    /// assert!(note::Catalogue::default().target("advisor-01").is_none());
    /// ```
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&Target> {
        self.item(Kind::Target, name).and_then(as_target)
    }

    /// All client accounts, in order of name.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().accounts().count(), 0);
    /// ```
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.of(Kind::Account).filter_map(as_account)
    }

    /// All model groups, in order of name.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().groups().count(), 0);
    /// ```
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.of(Kind::Group).filter_map(as_group)
    }

    /// The model groups that run a model, in order of name.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().groups_for("burl-notes").count(), 0);
    /// ```
    pub fn groups_for(&self, model: &str) -> impl Iterator<Item = &Group> {
        self.groups().filter(move |group| group.model == model)
    }

    /// All models, in order of name.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().models().count(), 0);
    /// ```
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.of(Kind::Model).filter_map(as_model)
    }

    /// All plain services, in order of name.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().services().count(), 0);
    /// ```
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.of(Kind::Service).filter_map(as_service)
    }

    /// All targets, in order of name.
    ///
    /// ```
    /// assert_eq!(note::Catalogue::default().targets().count(), 0);
    /// ```
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.of(Kind::Target).filter_map(as_target)
    }

    /// The whole catalogue in canonical JSON: equal catalogues have equal
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

    /// Reads a catalogue that [`Catalogue::to_json`] wrote.
    ///
    /// # Errors
    ///
    /// All findings at once, dangling references among them.
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
        // One note that adds everything has the same rules.
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

    pub(crate) fn holds(&self, kind: Kind, name: &str) -> bool {
        self.item(kind, name).is_some()
    }

    pub(crate) fn names(&self, kind: Kind) -> impl Iterator<Item = &str> {
        self.of(kind).map(Item::name)
    }

    /// All items, in order of kind and name.
    pub(crate) fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values().flat_map(BTreeMap::values)
    }

    fn of(&self, kind: Kind) -> impl Iterator<Item = &Item> {
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
