//! Commands and queries on requests that crash targets.

use super::{StateMachine, malformed};
use bytes::Bytes;
use route::{CrashedRequest, Features, Fingerprint};
use wire::proto::{Completed, Crashed, CrashedOutcome, Pardon, PardonOutcome, Quarantine, outcome};

impl StateMachine {
    pub(super) fn crashed(&mut self, crashed: &Crashed) -> outcome::Body {
        let Some(fingerprints) = decode(&crashed.fingerprints) else {
            return malformed_fingerprint();
        };
        let Some(ran) = crashed_requests(crashed) else {
            return malformed_fingerprint();
        };
        // The quarantine keeps suspects apart and knows whole requests better.
        let parts: Vec<CrashedRequest> = ran
            .into_iter()
            .map(|request| CrashedRequest {
                has_completed: true,
                ..request
            })
            .collect();
        self.agent_crash_tally
            .record_crash(&crashed.target, crashed.incarnation, &parts);
        let verdict = self
            .quarantine
            .crashed(&crashed.target, crashed.incarnation, &fingerprints);
        outcome::Body::Crashed(CrashedOutcome {
            suspects: encode(verdict.suspects.iter()),
            convicted: encode(verdict.convicted.iter()),
        })
    }

    pub(super) fn shared_target_crashed(&mut self, crashed: &Crashed) -> outcome::Body {
        let Some(ran) = crashed_requests(crashed) else {
            return malformed_fingerprint();
        };
        self.crash_tally
            .record_crash(&crashed.target, crashed.incarnation, &ran);
        // Entries learn the verdict from the tally, once all have reported the crash.
        outcome::Body::Crashed(CrashedOutcome::default())
    }

    pub(super) fn completed(&mut self, completed: &Completed) -> outcome::Body {
        let Some(fingerprints) = decode(&completed.fingerprints) else {
            return malformed_fingerprint();
        };
        self.crash_tally.clear_all(&fingerprints);
        self.agent_crash_tally.clear_all(&fingerprints);
        outcome::Body::Crashed(CrashedOutcome::default())
    }

    pub(super) fn pardon(&mut self, pardon: &Pardon) -> outcome::Body {
        let Some(fingerprint) = Fingerprint::from_slice(&pardon.fingerprint) else {
            return malformed_fingerprint();
        };
        let kept_apart = self.quarantine.pardon(&fingerprint);
        let shared = self.crash_tally.clear(&fingerprint);
        let part = self.agent_crash_tally.clear(&fingerprint);
        let known = kept_apart || shared || part;
        outcome::Body::Pardon(PardonOutcome { known })
    }

    /// Version of [`StateMachine::quarantine_message`].
    pub(crate) fn quarantine_version(&self) -> u64 {
        self.quarantine.version() + self.agent_crash_tally.version()
    }

    /// Returns the quarantine of targets that run suspects apart, as a message for nodes.
    pub(crate) fn quarantine_message(&self) -> Quarantine {
        let convicted = self.quarantine.convicted();
        Quarantine {
            version: self.quarantine_version(),
            suspects: encode(self.quarantine.suspects()),
            convicted: encode(convicted.chain(self.agent_crash_tally.convicted())),
            watched: encode(self.agent_crash_tally.watched()),
        }
    }

    /// Returns the verdicts of the crash tally, as a message for entries.
    pub(crate) fn crash_tally_message(&self) -> Quarantine {
        Quarantine {
            version: self.crash_tally.version(),
            suspects: encode(self.crash_tally.suspects()),
            convicted: encode(self.crash_tally.convicted()),
            watched: encode(self.crash_tally.watched()),
        }
    }

    /// Returns all requests in quarantine, for operators.
    pub(crate) fn all_quarantined(&self) -> Quarantine {
        let (mut all, shared) = (self.quarantine_message(), self.crash_tally_message());
        all.suspects.extend(shared.suspects);
        all.convicted.extend(shared.convicted);
        all
    }
}

/// The requests of a crash report; `None` if one is malformed.
fn crashed_requests(crashed: &Crashed) -> Option<Vec<CrashedRequest>> {
    if crashed.requests.is_empty() {
        let requests = decode(&crashed.fingerprints)?.into_iter();
        return Some(requests.map(CrashedRequest::from).collect());
    }
    let requests = crashed.requests.iter().map(|request| {
        let features = Features {
            request: Fingerprint::from_slice(&request.fingerprint)?,
            parts: decode(&request.parts)?,
        };
        Some(CrashedRequest {
            features,
            has_completed: request.completed,
            with_part: request.with_part.clone(),
            recent: request.recent,
        })
    });
    requests.collect()
}

fn malformed_fingerprint() -> outcome::Body {
    malformed("fingerprint is not 32 bytes")
}

fn decode(fingerprints: &[Bytes]) -> Option<Vec<Fingerprint>> {
    let parsed = fingerprints.iter().map(|f| Fingerprint::from_slice(f));
    parsed.collect()
}

fn encode<'a>(fingerprints: impl Iterator<Item = &'a Fingerprint>) -> Vec<Bytes> {
    let bytes = fingerprints.map(|f| Bytes::copy_from_slice(f.as_bytes()));
    bytes.collect()
}
