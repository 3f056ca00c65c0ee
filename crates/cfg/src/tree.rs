//! State shared by all readers of one document.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

use crate::{Finding, nearest};

/// The effective value of a key.
#[derive(Debug)]
pub(crate) enum Effective {
    Value(Value),
    Section(usize),
    Sections(Vec<usize>),
}

/// One JSON object of the document.
#[derive(Debug)]
pub(crate) struct Object {
    pub(crate) path: String,
    pub(crate) given: Map<String, Value>,
    /// Keys that were read, with their effective values.
    pub(crate) read_keys: BTreeMap<String, Effective>,
}

impl Object {
    pub(crate) fn place(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

/// The objects of one document and their findings.
#[derive(Debug, Default)]
pub(crate) struct Tree {
    pub(crate) objects: Vec<Object>,
    pub(crate) findings: Vec<Finding>,
}

impl Tree {
    pub(crate) fn open(&mut self, path: String, given: Map<String, Value>) -> usize {
        self.objects.push(Object {
            path,
            given,
            read_keys: BTreeMap::new(),
        });
        self.objects.len() - 1
    }

    pub(crate) fn effective(&self, id: usize) -> Value {
        let Some(object) = self.objects.get(id) else {
            return Value::Null;
        };
        let members = object.read_keys.iter().map(|(key, effective)| {
            let value = match effective {
                Effective::Value(value) => value.clone(),
                Effective::Section(id) => self.effective(*id),
                Effective::Sections(ids) => ids.iter().map(|id| self.effective(*id)).collect(),
            };
            (key.clone(), value)
        });
        Value::Object(members.collect())
    }

    /// Adds a finding for each key that was given but not read: it is probably misspelt,
    /// and the default would be used unnoticed.
    pub(crate) fn find_unknown_keys(&mut self) {
        for object in &self.objects {
            for key in object.given.keys() {
                if object.read_keys.contains_key(key) {
                    continue;
                }
                let message = match nearest(key, object.read_keys.keys().map(String::as_str)) {
                    Some(known) => format!("unknown key, did you mean \"{known}\"?"),
                    None => "unknown key".to_owned(),
                };
                self.findings.push(Finding::new(object.place(key), message));
            }
        }
    }
}
