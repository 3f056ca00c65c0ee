//! What ran on a target when it crashed.

use std::collections::BTreeMap;

use crate::crash_evidence::Carriers;
use crate::{CrashedRequest, Features, Fingerprint};

/// Maximum number of requests kept per crash.
const MAX_REQUESTS_PER_CRASH: usize = 256;
/// Maximum number of parts kept per crash.
const MAX_PARTS_PER_CRASH: usize = 1024;

/// Merged reports of one crash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Crash {
    /// Clock at which the crash was first reported.
    pub(crate) reported: u64,
    /// Requests that ran on the target.
    pub(crate) ran: BTreeMap<Fingerprint, Ran>,
}

/// What may still be the cause of a crash in one request that ran on the target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Ran {
    /// Whether the request as a whole is not the cause.
    pub(crate) is_cleared: bool,
    /// Parts, with the number of the latest requests of the entry that had them.
    pub(crate) parts: BTreeMap<Fingerprint, u32>,
    /// Number of these latest requests.
    pub(crate) recent: u32,
}

impl Crash {
    /// Adds a request that ran on the target.
    pub(crate) fn add(&mut self, request: CrashedRequest) {
        let CrashedRequest {
            features: Features { request, parts },
            has_completed,
            with_part,
            recent,
        } = request;
        let kept: usize = self.ran.values().map(|ran| ran.parts.len()).sum();
        let is_full = self.ran.len() >= MAX_REQUESTS_PER_CRASH;
        if is_full && !self.ran.contains_key(&request) {
            return;
        }
        let ran = self.ran.entry(request).or_insert(Ran {
            is_cleared: true,
            ..Ran::default()
        });
        ran.is_cleared &= has_completed;
        let room = MAX_PARTS_PER_CRASH.saturating_sub(kept);
        ran.recent = ran.recent.max(recent);
        let counts = with_part.into_iter().chain(std::iter::repeat(0));
        let parts = parts.into_iter().zip(counts);
        ran.parts.extend(parts.take(Features::MAX_PARTS.min(room)));
    }

    /// The features that may be the cause, each as often as requests have it.
    pub(crate) fn features(&self) -> impl Iterator<Item = &Fingerprint> {
        self.ran.iter().flat_map(|(request, ran)| {
            let request = (!ran.is_cleared).then_some(request);
            request.into_iter().chain(ran.parts.keys())
        })
    }

    pub(crate) fn has(&self, feature: &Fingerprint) -> bool {
        self.features().any(|known| known == feature)
    }

    /// For each feature that may be the cause, the requests that had it.
    pub(crate) fn carriers(&self) -> BTreeMap<Fingerprint, Carriers> {
        let mut carriers: BTreeMap<Fingerprint, Carriers> = BTreeMap::new();
        for (request, ran) in &self.ran {
            if !ran.is_cleared {
                carriers.entry(*request).or_default().add(0, 0);
            }
            for (part, count) in &ran.parts {
                carriers.entry(*part).or_default().add(*count, ran.recent);
            }
        }
        carriers
    }

    /// Clears a feature; returns whether it may have been the cause before.
    pub(crate) fn clear(&mut self, feature: &Fingerprint) -> bool {
        let mut known = false;
        if let Some(ran) = self.ran.get_mut(feature) {
            known |= !ran.is_cleared;
            ran.is_cleared = true;
        }
        for ran in self.ran.values_mut() {
            known |= ran.parts.remove(feature).is_some();
        }
        known
    }
}
