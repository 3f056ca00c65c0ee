//! What all readers of one document share.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

use crate::{Finding, nearest};

/// What is in force at a key.
#[derive(Debug)]
pub(crate) enum InForce {
    Value(Value),
    Section(usize),
    Sections(Vec<usize>),
}

/// One JSON object of the document.
#[derive(Debug)]
pub(crate) struct Object {
    pub(crate) path: String,
    pub(crate) given: Map<String, Value>,
    /// Every key that was asked for, with what is in force there.
    pub(crate) known: BTreeMap<String, InForce>,
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

/// The objects of one document and what was found in them.
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
            known: BTreeMap::new(),
        });
        self.objects.len() - 1
    }

    pub(crate) fn effective(&self, id: usize) -> Value {
        let Some(object) = self.objects.get(id) else {
            return Value::Null;
        };
        let members = object.known.iter().map(|(key, in_force)| {
            let value = match in_force {
                InForce::Value(value) => value.clone(),
                InForce::Section(id) => self.effective(*id),
                InForce::Sections(ids) => ids.iter().map(|id| self.effective(*id)).collect(),
            };
            (key.clone(), value)
        });
        Value::Object(members.collect())
    }

    /// Writes down each key that was given but never asked for: most likely
    /// it is misspelt, and the default would be in force unnoticed.
    pub(crate) fn find_unknown_keys(&mut self) {
        for object in &self.objects {
            for key in object.given.keys() {
                if object.known.contains_key(key) {
                    continue;
                }
                let message = match nearest(key, object.known.keys().map(String::as_str)) {
                    Some(known) => format!("unknown key, did you mean \"{known}\"?"),
                    None => "unknown key".to_owned(),
                };
                self.findings.push(Finding::new(object.place(key), message));
            }
        }
    }
}
