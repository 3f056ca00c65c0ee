//! JSON snapshot of the quarantine.

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
        // Serializing strings and numbers into memory cannot fail.
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
        text.map(|text| parse(text, || format!("{place}.convicted")))
            .transpose()
    }
}

pub(crate) fn write_requests(requests: &BTreeMap<Fingerprint, u64>) -> BTreeMap<String, u64> {
    let rows = requests
        .iter()
        .map(|(f, added_at)| (f.to_string(), *added_at));
    rows.collect()
}

pub(crate) fn read_requests(
    rows: &BTreeMap<String, u64>,
    place: &str,
) -> Result<BTreeMap<Fingerprint, u64>> {
    let mut requests = BTreeMap::new();
    for (text, added_at) in rows {
        requests.insert(parse(text, || format!("{place}.{text}"))?, *added_at);
    }
    Ok(requests)
}

pub(crate) fn read_set(texts: &[String], place: &str) -> Result<BTreeSet<Fingerprint>> {
    let mut set = BTreeSet::new();
    for (i, text) in texts.iter().enumerate() {
        set.insert(parse(text, || format!("{place}[{i}]"))?);
    }
    Ok(set)
}

pub(crate) fn read_one(text: &str, place: &str) -> Result<Fingerprint> {
    parse(text, || place.to_owned())
}

fn parse(text: &str, place: impl FnOnce() -> String) -> Result<Fingerprint> {
    Fingerprint::from_hex(text).ok_or_else(|| Error::invalid_fingerprint(place()))
}
