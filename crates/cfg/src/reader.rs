//! Reads a JSON object key by key.

use std::cell::RefCell;
use std::ops::RangeInclusive;
use std::rc::Rc;

use serde_json::{Map, Value};

use crate::strict::Strict;
use crate::tree::{Effective, Tree};
use crate::{Field, Finding, Findings};

/// Reads one JSON object, tracks the keys that were read and collects findings.
/// Readers of sections share the findings of the reader that they came from.
#[derive(Debug)]
pub struct Reader {
    tree: Rc<RefCell<Tree>>,
    id: usize,
}

impl Reader {
    /// Parses a document, which must be one JSON object.
    ///
    /// # Errors
    ///
    /// Returns one finding if the bytes are not JSON (with line and column) or not an
    /// object.
    ///
    /// ```
    /// assert!(cfg::Reader::from_slice(b"{}").is_ok());
    /// assert!(cfg::Reader::from_slice(b"[]").is_err());
    /// ```
    pub fn from_slice(json: &[u8]) -> Result<Self, Findings> {
        match serde_json::from_slice(json) {
            Ok(Strict(Value::Object(given))) => Ok(Reader::from_map(given)),
            Ok(Strict(_)) => Err(Finding::new("", "expected one JSON object").into()),
            Err(error) => Err(Finding::new("", format!("malformed JSON: {error}")).into()),
        }
    }

    /// Creates a reader of a parsed object.
    ///
    /// ```
    /// let mut r = cfg::Reader::from_map(serde_json::Map::new());
    /// assert_eq!(r.or("ranks", 16_u32), 16);
    /// ```
    #[must_use]
    pub fn from_map(given: Map<String, Value>) -> Self {
        let mut tree = Tree::default();
        let id = tree.open(String::new(), given);
        Reader {
            tree: Rc::new(RefCell::new(tree)),
            id,
        }
    }

    /// Returns the value of a required key. Adds a finding if it is missing or of the
    /// wrong type.
    ///
    /// ```
    /// let mut r = cfg::Reader::from_slice(br#"{"name": 3}"#).unwrap();
    /// assert_eq!(r.required::<String>("name"), None);
    /// let findings = r.finish().unwrap_err();
    /// assert_eq!(findings.to_string(), "expected a string that isn't empty at name");
    /// ```
    pub fn required<T: Field>(&mut self, key: &str) -> Option<T> {
        let value = self.take(key);
        if value.is_none() {
            self.finding(key, "missing");
        }
        self.convert(key, value)
    }

    /// Returns the value of a key that may be missing or null.
    ///
    /// ```
    /// let mut r = cfg::Reader::from_slice(br#"{"zone": "celje"}"#).unwrap();
    /// assert_eq!(r.optional::<String>("zone").as_deref(), Some("celje"));
    /// assert_eq!(r.optional::<u16>("port"), None);
    /// ```
    pub fn optional<T: Field>(&mut self, key: &str) -> Option<T> {
        let value = self.take(key);
        self.convert(key, value)
    }

    /// Returns the value of a key, or the default if it is missing or null. For a value
    /// of the wrong type, adds a finding and returns the default.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut r = cfg::Reader::from_slice(br#"{"lease_ms": 3000}"#).unwrap();
    /// assert_eq!(r.or("lease_ms", Duration::from_secs(2)), Duration::from_secs(3));
    /// assert_eq!(r.or("window", 4_u32), 4);
    /// ```
    pub fn or<T: Field>(&mut self, key: &str, default: T) -> T {
        let value = self.take(key);
        let value = self.convert(key, value).unwrap_or(default);
        self.set_effective(key, Effective::Value(value.to_json()));
        value
    }

    /// Like [`Reader::or`], but adds a finding if the value lies outside `range`.
    ///
    /// ```
    /// let mut r = cfg::Reader::from_slice(br#"{"replicas": 12}"#).unwrap();
    /// r.within("replicas", 3_u32, 1..=9);
    /// let findings = r.finish().unwrap_err();
    /// assert_eq!(findings.to_string(), "must lie between 1 and 9, is 12 at replicas");
    /// ```
    pub fn within<T: Field + PartialOrd>(
        &mut self,
        key: &str,
        default: T,
        range: RangeInclusive<T>,
    ) -> T {
        let value = self.or(key, default);
        if !range.contains(&value) {
            let (min, max) = (range.start().to_json(), range.end().to_json());
            let message = format!("must lie between {min} and {max}, is {}", value.to_json());
            self.finding(key, message);
        }
        value
    }

    /// Whether the key is present and not null. This does not count as reading it.
    ///
    /// ```
    /// let r = cfg::Reader::from_slice(br#"{"group": "blank-advisor"}"#).unwrap();
    /// assert!(r.has("group") && !r.has("service"));
    /// ```
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        let tree = self.tree.borrow();
        let object = &tree.objects[self.id];
        object.given.get(key).is_some_and(|value| !value.is_null())
    }

    /// Returns a reader of the object at a key, which is empty if the key is missing.
    ///
    /// ```
    /// let mut r = cfg::Reader::from_slice(br#"{"timing": {"beat_ms": 0}}"#).unwrap();
    /// let mut timing = r.section("timing");
    /// let beat = timing.or("beat_ms", 200_u32);
    /// if beat == 0 {
    ///     timing.finding("beat_ms", "must be above 0");
    /// }
    /// assert_eq!(r.finish().unwrap_err().to_string(), "must be above 0 at timing.beat_ms");
    /// ```
    #[must_use]
    pub fn section(&mut self, key: &str) -> Reader {
        let given = match self.take(key) {
            None => Map::new(),
            Some(Value::Object(given)) => given,
            Some(_) => {
                self.finding(key, "expected an object");
                Map::new()
            }
        };
        let path = self.place(key);
        let id = self.tree.borrow_mut().open(path, given);
        self.set_effective(key, Effective::Section(id));
        self.reader_of(id)
    }

    /// Returns readers of the objects in the list at a key; none if the key is missing.
    ///
    /// ```
    /// let json = br#"{"replicas": [{"name": "a"}, {}]}"#;
    /// let mut r = cfg::Reader::from_slice(json).unwrap();
    /// for mut replica in r.sections("replicas") {
    ///     let _: Option<String> = replica.required("name");
    /// }
    /// assert_eq!(r.finish().unwrap_err().to_string(), "missing at replicas[1].name");
    /// ```
    #[must_use]
    pub fn sections(&mut self, key: &str) -> Vec<Reader> {
        let list = match self.take(key) {
            None => Vec::new(),
            Some(Value::Array(list)) => list,
            Some(_) => {
                self.finding(key, "expected a list of objects");
                Vec::new()
            }
        };
        let mut ids = Vec::new();
        for (position, item) in list.into_iter().enumerate() {
            let name = format!("{key}[{position}]");
            if let Value::Object(given) = item {
                let path = self.place(&name);
                ids.push(self.tree.borrow_mut().open(path, given));
            } else {
                self.finding(&name, "expected an object");
            }
        }
        self.set_effective(key, Effective::Sections(ids.clone()));
        ids.into_iter().map(|id| self.reader_of(id)).collect()
    }

    /// Adds a finding at a key of this object.
    ///
    /// ```
    /// let mut r = cfg::Reader::from_slice(b"{}").unwrap();
    /// r.finding("group", "exactly one of group and service must be set");
    /// assert!(r.finish().is_err());
    /// ```
    pub fn finding(&mut self, key: &str, message: impl Into<String>) {
        let place = self.place(key);
        let mut tree = self.tree.borrow_mut();
        tree.findings.push(Finding::new(place, message));
    }

    /// Accepts all remaining keys of this object, so that they are not reported as
    /// unknown. For an object of unknown kind, such findings would hide the one that
    /// matters.
    ///
    /// ```
    /// let mut r = cfg::Reader::from_slice(br#"{"kind": "x", "ranks": 1}"#).unwrap();
    /// r.finding("kind", "unknown kind");
    /// r.accept_rest();
    /// assert_eq!(r.finish().unwrap_err().to_string(), "unknown kind at kind");
    /// ```
    pub fn accept_rest(&mut self) {
        let mut tree = self.tree.borrow_mut();
        let object = &mut tree.objects[self.id];
        for (key, value) in &object.given {
            if !object.read_keys.contains_key(key) {
                let effective = Effective::Value(value.clone());
                object.read_keys.insert(key.clone(), effective);
            }
        }
    }

    /// Returns the JSON path of a key of this object.
    ///
    /// ```
    /// let mut r = cfg::Reader::from_slice(b"{}").unwrap();
    /// assert_eq!(r.section("engine").place("address"), "engine.address");
    /// ```
    #[must_use]
    pub fn place(&self, key: &str) -> String {
        self.tree.borrow().objects[self.id].place(key)
    }

    /// Returns the effective values, defaults included, of the keys in this object and
    /// its sections that were read so far.
    ///
    /// ```
    /// let mut r = cfg::Reader::from_slice(b"{}").unwrap();
    /// r.section("timing").or("beat_ms", 200_u32);
    /// assert_eq!(r.effective().to_string(), r#"{"timing":{"beat_ms":200}}"#);
    /// ```
    #[must_use]
    pub fn effective(&self) -> Value {
        self.tree.borrow().effective(self.id)
    }

    /// Finishes reading the whole document.
    ///
    /// # Errors
    ///
    /// Returns all findings of this reader and its sections, including one for each key
    /// that was not read.
    ///
    /// ```
    /// let r = cfg::Reader::from_slice(br#"{"bogus": 1}"#).unwrap();
    /// assert_eq!(r.finish().unwrap_err().to_string(), "unknown key at bogus");
    /// ```
    pub fn finish(self) -> Result<(), Findings> {
        let mut tree = self.tree.borrow_mut();
        tree.find_unknown_keys();
        if tree.findings.is_empty() {
            return Ok(());
        }
        Err(std::mem::take(&mut tree.findings).into())
    }

    /// Returns the given value, treating null as missing, and marks the key as read.
    fn take(&mut self, key: &str) -> Option<Value> {
        let mut tree = self.tree.borrow_mut();
        let object = &mut tree.objects[self.id];
        let value = object.given.get(key).filter(|value| !value.is_null());
        let value = value.cloned();
        let effective = Effective::Value(value.clone().unwrap_or(Value::Null));
        object.read_keys.insert(key.to_owned(), effective);
        value
    }

    fn set_effective(&mut self, key: &str, effective: Effective) {
        let mut tree = self.tree.borrow_mut();
        tree.objects[self.id]
            .read_keys
            .insert(key.to_owned(), effective);
    }

    fn convert<T: Field>(&mut self, key: &str, value: Option<Value>) -> Option<T> {
        let converted = T::from_json(&value?);
        if converted.is_none() {
            self.finding(key, format!("expected {}", T::EXPECTED));
        }
        converted
    }

    fn reader_of(&self, id: usize) -> Reader {
        Reader {
            tree: Rc::clone(&self.tree),
            id,
        }
    }
}
