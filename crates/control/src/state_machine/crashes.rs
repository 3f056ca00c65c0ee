//! Commands and queries on the quarantine of requests that crash targets.

use super::{StateMachine, malformed};
use bytes::Bytes;
use route::Fingerprint;
use wire::proto::{Crashed, CrashedOutcome, Pardon, PardonOutcome, Quarantine, outcome};

impl StateMachine {
    pub(super) fn crashed(&mut self, crashed: &Crashed) -> outcome::Body {
        let parse = |bytes: &Bytes| Fingerprint::from_slice(bytes);
        let parsed: Option<Vec<_>> = crashed.fingerprints.iter().map(parse).collect();
        let Some(fingerprints) = parsed else {
            return malformed("fingerprint is not 32 bytes");
        };
        let verdict = self
            .quarantine
            .crashed(&crashed.target, crashed.incarnation, &fingerprints);
        outcome::Body::Crashed(CrashedOutcome {
            suspects: encode(verdict.suspects.iter()),
            convicted: encode(verdict.convicted.iter()),
        })
    }

    pub(super) fn pardon(&mut self, pardon: &Pardon) -> outcome::Body {
        let Some(fingerprint) = Fingerprint::from_slice(&pardon.fingerprint) else {
            return malformed("fingerprint is not 32 bytes");
        };
        let known = self.quarantine.pardon(&fingerprint);
        outcome::Body::Pardon(PardonOutcome { known })
    }

    /// Returns the quarantine as a message for nodes.
    pub(crate) fn quarantine_message(&self) -> Quarantine {
        Quarantine {
            version: self.quarantine.version(),
            suspects: encode(self.quarantine.suspects()),
            convicted: encode(self.quarantine.convicted()),
        }
    }
}

fn encode<'a>(fingerprints: impl Iterator<Item = &'a Fingerprint>) -> Vec<Bytes> {
    let bytes = fingerprints.map(|f| Bytes::copy_from_slice(f.as_bytes()));
    bytes.collect()
}
