//! Parts of prompts that may crash the target.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use route::{Fingerprint, PartShares};
use wire::proto::{Completed, CrashedRequest, Quarantine, command};

use crate::attempts::TrackedAttempt;
use crate::context::Context;

/// How long the agent tries to tell control that parts are sound.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// How common parts of prompts are here, and since when control watches some of them.
#[derive(Default)]
pub(crate) struct PromptParts {
    shares: PartShares,
    /// Version of the quarantine that named the watched parts.
    version: u64,
    /// Watched parts, with the time from which attempts that start and complete clear them.
    watched: BTreeMap<Bytes, Instant>,
}

impl PromptParts {
    /// Records that an attempt starts whose prompt has these parts.
    pub(crate) fn record_start(&mut self, parts: &[Bytes], quarantine: &Quarantine, now: Instant) {
        let digests = parts
            .iter()
            .filter_map(|part| Fingerprint::from_slice(part));
        let digests: Vec<Fingerprint> = digests.collect();
        self.shares.record(&digests);
        self.watch(quarantine, now);
    }

    /// Adds to a report how common the parts of a request are.
    pub(crate) fn count(&self, request: &mut CrashedRequest) {
        let counts = request.parts.iter().map(|part| {
            let part = Fingerprint::from_slice(part);
            part.map_or(0, |part| self.shares.count(&part))
        });
        request.with_part = counts.collect();
        request.recent = self.shares.total();
    }

    /// The watched parts that a completed attempt shows to be sound, each once.
    pub(crate) fn clear(
        &mut self,
        attempt: &TrackedAttempt,
        quarantine: &Quarantine,
        now: Instant,
    ) -> Vec<Bytes> {
        self.watch(quarantine, now);
        let is_cleared = |part: &&Bytes| {
            let since = self.watched.get(*part);
            since.is_some_and(|since| attempt.started > *since)
        };
        let cleared: Vec<Bytes> = attempt.parts.iter().filter(is_cleared).cloned().collect();
        for part in &cleared {
            self.watched.remove(part);
        }
        cleared
    }

    fn watch(&mut self, quarantine: &Quarantine, now: Instant) {
        if quarantine.version == self.version {
            return;
        }
        self.version = quarantine.version;
        let since = |part: &Bytes| {
            let known = self.watched.get(part).copied();
            (part.clone(), known.unwrap_or(now))
        };
        self.watched = quarantine.watched.iter().map(since).collect();
    }
}

/// Tells control that requests with these parts complete.
pub(crate) async fn report_sound(cx: &Context, parts: Vec<Bytes>) {
    let completed = command::Body::Completed(Completed {
        fingerprints: parts,
    });
    cx.follower.propose(completed, REPORT_TIMEOUT).await;
}
