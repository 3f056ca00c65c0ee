//! The quarantine's snapshot as JSON.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Error, Fingerprint, Result};

#[derive(Serialize, Deserialize)]
pub(crate) struct Document {
    pub(crate) version: u64,
    pub(crate) clock: u64,
    pub(crate) suspects: BTreeMap<String, u64>,
    pub(crate) convicted: BTreeMap<String, u64>,
    pub(crate) crashes: Vec<CrashDocument>,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct CrashDocument {
    pub(crate) target: String,
    pub(crate) incarnation: u64,
    pub(crate) reported: u64,
    ran: Vec<String>,
    prior: Vec<String>,
    convicted: Option<String>,
}

impl Document {
    pub(crate) fn to_vec(&self) -> Vec<u8> {
        // Serialising strings and numbers into memory has no way to fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub(crate) fn from_slice(json: &[u8]) -> Result<Self> {
        serde_json::from_slice(json).map_err(Error::invalid_json)
    }
}

impl CrashDocument {
    pub(crate) fn new(
        target: &str,
        incarnation: u64,
        reported: u64,
        ran: &BTreeSet<Fingerprint>,
        prior: &BTreeSet<Fingerprint>,
        convicted: Option<Fingerprint>,
    ) -> Self {
        CrashDocument {
            target: target.to_owned(),
            incarnation,
            reported,
            ran: ran.iter().map(Fingerprint::to_string).collect(),
            prior: prior.iter().map(Fingerprint::to_string).collect(),
            convicted: convicted.map(|f| f.to_string()),
        }
    }

    pub(crate) fn read_ran(&self, place: &str) -> Result<BTreeSet<Fingerprint>> {
        read_set(&self.ran, &format!("{place}.ran"))
    }

    pub(crate) fn read_prior(&self, place: &str) -> Result<BTreeSet<Fingerprint>> {
        read_set(&self.prior, &format!("{place}.prior"))
    }

    pub(crate) fn read_convicted(&self, place: &str) -> Result<Option<Fingerprint>> {
        let text = self.convicted.as_deref();
        text.map(|text| read(text, || format!("{place}.convicted")))
            .transpose()
    }
}

pub(crate) fn write_ages(ages: &BTreeMap<Fingerprint, u64>) -> BTreeMap<String, u64> {
    let rows = ages.iter().map(|(f, age)| (f.to_string(), *age));
    rows.collect()
}

pub(crate) fn read_ages(
    rows: &BTreeMap<String, u64>,
    place: &str,
) -> Result<BTreeMap<Fingerprint, u64>> {
    let mut ages = BTreeMap::new();
    for (text, age) in rows {
        ages.insert(read(text, || format!("{place}.{text}"))?, *age);
    }
    Ok(ages)
}

fn read_set(texts: &[String], place: &str) -> Result<BTreeSet<Fingerprint>> {
    let mut set = BTreeSet::new();
    for (i, text) in texts.iter().enumerate() {
        set.insert(read(text, || format!("{place}[{i}]"))?);
    }
    Ok(set)
}

fn read(text: &str, place: impl FnOnce() -> String) -> Result<Fingerprint> {
    Fingerprint::from_hex(text).ok_or_else(|| Error::invalid_fingerprint(place()))
}
