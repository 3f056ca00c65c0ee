//! JSON snapshot of the crash tally.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::crash_record::{Crash, Ran};
use crate::{Fingerprint, Result, quarantine_document};

#[derive(Serialize, Deserialize)]
pub(crate) struct Document {
    pub(crate) version: u64,
    pub(crate) clock: u64,
    pub(crate) crashes: Vec<CrashDocument>,
    pub(crate) convicted: BTreeMap<String, u64>,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct CrashDocument {
    pub(crate) target: String,
    pub(crate) incarnation: u64,
    pub(crate) reported: u64,
    /// Requests without parts, as older versions wrote them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) ran: Vec<String>,
    #[serde(default)]
    pub(crate) requests: Vec<RanDocument>,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct RanDocument {
    request: String,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    cleared: bool,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    parts: BTreeMap<String, u64>,
    #[serde(default)]
    recent: u32,
}

impl CrashDocument {
    pub(crate) fn read(&self, place: &str) -> Result<Crash> {
        let ran = quarantine_document::read_set(&self.ran, &format!("{place}.ran"))?;
        let mut ran: BTreeMap<Fingerprint, Ran> = ran
            .into_iter()
            .map(|request| (request, Ran::default()))
            .collect();
        for (i, request) in self.requests.iter().enumerate() {
            let place = format!("{place}.requests[{i}]");
            let value = Ran {
                is_cleared: request.cleared,
                parts: quarantine_document::read_requests(&request.parts, &place)?
                    .into_iter()
                    .map(|(part, count)| (part, u32::try_from(count).unwrap_or(u32::MAX)))
                    .collect(),
                recent: request.recent,
            };
            let request = quarantine_document::read_one(&request.request, &place)?;
            ran.insert(request, value);
        }
        Ok(Crash {
            reported: self.reported,
            ran,
        })
    }
}

impl RanDocument {
    pub(crate) fn new((request, ran): (&Fingerprint, &Ran)) -> RanDocument {
        RanDocument {
            request: request.to_string(),
            cleared: ran.is_cleared,
            parts: ran
                .parts
                .iter()
                .map(|(part, count)| (part.to_string(), u64::from(*count)))
                .collect(),
            recent: ran.recent,
        }
    }
}
