//! Quarantine of requests that crash targets.

use std::collections::{BTreeMap, BTreeSet};

use crate::quarantine_document::{self, CrashDocument, Document};
use crate::{Fingerprint, Result, Verdict};

/// Maximum number of suspects, and of convicted requests.
const MAX_REQUESTS: usize = 4096;
/// Maximum number of crashes that are kept for merging their reports.
const MAX_CRASHES: usize = 256;
/// Maximum number of requests kept per crash.
const MAX_REQUESTS_PER_CRASH: usize = 4096;

/// The replicated record of requests that crash targets.
///
/// All requests that ran on a crashed target become suspect, since any of them
/// may have caused the crash. A suspect only runs again on a target without
/// another suspect. If that target crashes too, its only suspect is convicted
/// and refused everywhere. As this explains the crash, the other requests on the
/// target keep their state. A crash with several earlier suspects on the target
/// convicts none of them, since any of them may be a bystander.
///
/// A crash is identified by target and incarnation. It may be reported several
/// times and by several reporters. Reports are merged, and a conviction is
/// revoked if a later report of the same crash shows that the convicted request
/// was not the only suspect on the target.
///
/// All collections are bounded; the oldest entries are removed first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantine {
    version: u64,
    /// Number of reports processed so far.
    clock: u64,
    /// Suspects, with the clock at which they were added.
    suspects: BTreeMap<Fingerprint, u64>,
    /// Convicted requests, with the clock at which they were added.
    convicted: BTreeMap<Fingerprint, u64>,
    /// Crashes by target and incarnation.
    crashes: BTreeMap<(String, u64), Crash>,
}

/// Merged reports of one crash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Crash {
    /// Clock at which the crash was first reported.
    reported: u64,
    /// Requests that ran on the target.
    ran: BTreeSet<Fingerprint>,
    /// Requests that ran on the target and were already suspect or convicted before
    /// this crash.
    prior: BTreeSet<Fingerprint>,
    /// The request that this crash convicted.
    convicted: Option<Fingerprint>,
}

impl Quarantine {
    /// An empty quarantine.
    #[must_use]
    pub fn new() -> Self {
        Quarantine::default()
    }

    /// Version number; changes whenever a suspect or convicted request is added or
    /// removed.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that `target` crashed while `fingerprints` ran on it.
    ///
    /// A repeated report of the same target and incarnation changes nothing.
    ///
    /// ```
    /// use route::{Fingerprint, Quarantine};
    ///
    /// let mut quarantine = Quarantine::new();
    /// let (a, b) = (Fingerprint::new([1; 32]), Fingerprint::new([2; 32]));
    /// quarantine.crashed("advisor-01", 1, &[a, b]);
    /// // Both suspects ran on the second target: neither is convicted.
    /// let verdict = quarantine.crashed("advisor-02", 1, &[a, b]);
    /// assert!(verdict.convicted.is_empty());
    /// // One of them ran without the other.
    /// let verdict = quarantine.crashed("advisor-03", 1, &[a]);
    /// assert_eq!(verdict.convicted, [a]);
    /// ```
    pub fn crashed(
        &mut self,
        target: &str,
        incarnation: u64,
        fingerprints: &[Fingerprint],
    ) -> Verdict {
        self.clock += 1;
        let id = (target.to_owned(), incarnation);
        let mut crash = self.crashes.remove(&id).unwrap_or_else(|| Crash {
            reported: self.clock,
            ..Crash::default()
        });
        let added = self.merge(&mut crash, fingerprints);
        self.judge(&mut crash, &added);
        let verdict = self.verdict(&crash);
        self.crashes.insert(id, crash);
        self.remove_oldest();
        verdict
    }

    /// Clears a request of suspicion and conviction, and returns whether it was
    /// suspect or convicted. Crashes reported so far no longer count against it.
    pub fn pardon(&mut self, fingerprint: &Fingerprint) -> bool {
        let suspect = self.suspects.remove(fingerprint).is_some();
        let convicted = self.convicted.remove(fingerprint).is_some();
        let known = suspect || convicted;
        if known {
            self.version += 1;
        }
        known
    }

    /// Whether the request may only run on a target without another suspect.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.contains_key(fingerprint)
    }

    /// Whether the request is refused everywhere.
    #[must_use]
    pub fn is_convicted(&self, fingerprint: &Fingerprint) -> bool {
        self.convicted.contains_key(fingerprint)
    }

    /// All suspects, in order of fingerprint.
    pub fn suspects(&self) -> impl Iterator<Item = &Fingerprint> {
        self.suspects.keys()
    }

    /// All convicted requests, in order of fingerprint.
    pub fn convicted(&self) -> impl Iterator<Item = &Fingerprint> {
        self.convicted.keys()
    }

    /// Serializes the state as JSON. Equal states give equal bytes.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let crashes = self.crashes.iter().map(|((target, incarnation), crash)| {
            CrashDocument::new(
                target,
                *incarnation,
                crash.reported,
                &crash.ran,
                &crash.prior,
                crash.convicted,
            )
        });
        Document {
            version: self.version,
            clock: self.clock,
            suspects: quarantine_document::write_requests(&self.suspects),
            convicted: quarantine_document::write_requests(&self.convicted),
            crashes: crashes.collect(),
        }
        .to_vec()
    }

    /// Deserializes the output of [`Quarantine::to_json`].
    ///
    /// ```
    /// use route::{Fingerprint, Quarantine};
    ///
    /// let mut quarantine = Quarantine::new();
    /// quarantine.crashed("advisor-01", 1, &[Fingerprint::new([1; 32])]);
    /// let copy = Quarantine::from_json(&quarantine.to_json())?;
    /// assert_eq!(copy, quarantine);
    /// # Ok::<(), route::Error>(())
    /// ```
    ///
    /// # Errors
    /// Returns an error if the bytes are not such a document.
    pub fn from_json(json: &[u8]) -> Result<Self> {
        let document = Document::from_slice(json)?;
        let mut crashes = BTreeMap::new();
        for (i, crash) in document.crashes.into_iter().enumerate() {
            let place = format!("crashes[{i}]");
            let value = Crash {
                reported: crash.reported,
                ran: crash.read_ran(&place)?,
                prior: crash.read_prior(&place)?,
                convicted: crash.read_convicted(&place)?,
            };
            crashes.insert((crash.target, crash.incarnation), value);
        }
        Ok(Quarantine {
            version: document.version,
            clock: document.clock,
            suspects: quarantine_document::read_requests(&document.suspects, "suspects")?,
            convicted: quarantine_document::read_requests(&document.convicted, "convicted")?,
            crashes,
        })
    }

    /// Adds the reported requests to a crash, notes which were suspect before this
    /// crash rather than because of it, and returns those not reported before.
    fn merge(&self, crash: &mut Crash, fingerprints: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut added = Vec::new();
        for fingerprint in fingerprints {
            if crash.ran.len() >= MAX_REQUESTS_PER_CRASH {
                break;
            }
            if !crash.ran.insert(*fingerprint) {
                continue;
            }
            added.push(*fingerprint);
            if self.is_suspect(fingerprint) || self.is_convicted(fingerprint) {
                crash.prior.insert(*fingerprint);
            }
        }
        added
    }

    /// Updates suspects and convictions after a report with requests `added`.
    fn judge(&mut self, crash: &mut Crash, added: &[Fingerprint]) {
        if let Some(convicted) = crash.convicted
            && crash.prior.len() > 1
        {
            crash.convicted = None;
            self.revoke(convicted);
            let ran: Vec<Fingerprint> = crash.ran.iter().copied().collect();
            self.add_suspects(&ran);
            return;
        }
        if let Some(only) = crash.only_prior() {
            self.convict(crash, only);
            return;
        }
        // A convicted request on the target explains the crash.
        let explained = crash.prior.iter().any(|prior| self.is_convicted(prior));
        if !explained {
            self.add_suspects(added);
        }
    }

    fn convict(&mut self, crash: &mut Crash, fingerprint: Fingerprint) {
        if self.suspects.remove(&fingerprint).is_some() {
            self.convicted.insert(fingerprint, self.clock);
            self.version += 1;
            crash.convicted = Some(fingerprint);
        }
    }

    fn revoke(&mut self, fingerprint: Fingerprint) {
        if self.convicted.remove(&fingerprint).is_some() {
            self.suspects.insert(fingerprint, self.clock);
            self.version += 1;
        }
    }

    fn add_suspects(&mut self, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            let known = self.is_convicted(fingerprint) || self.is_suspect(fingerprint);
            if !known {
                self.suspects.insert(*fingerprint, self.clock);
                self.version += 1;
            }
        }
    }

    fn verdict(&self, crash: &Crash) -> Verdict {
        let ran_and_in = |requests: &BTreeMap<Fingerprint, u64>| {
            let ran = crash.ran.iter().copied();
            ran.filter(|fingerprint| requests.contains_key(fingerprint))
                .collect()
        };
        Verdict {
            suspects: ran_and_in(&self.suspects),
            convicted: ran_and_in(&self.convicted),
        }
    }

    fn remove_oldest(&mut self) {
        let removed = truncate(&mut self.suspects) + truncate(&mut self.convicted);
        if removed > 0 {
            self.version += 1;
        }
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.reported);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                break;
            };
            self.crashes.remove(&id);
        }
    }
}

impl Crash {
    /// Returns the earlier suspect on the target, if there was exactly one.
    fn only_prior(&self) -> Option<Fingerprint> {
        let mut prior = self.prior.iter();
        let only = prior.next()?;
        prior.next().is_none().then_some(*only)
    }
}

/// Removes the oldest requests beyond [`MAX_REQUESTS`] and returns their number.
fn truncate(requests: &mut BTreeMap<Fingerprint, u64>) -> usize {
    let excess = requests.len().saturating_sub(MAX_REQUESTS);
    for _ in 0..excess {
        let oldest = requests.iter().min_by_key(|(_, added_at)| **added_at);
        let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
            break;
        };
        requests.remove(&fingerprint);
    }
    excess
}
