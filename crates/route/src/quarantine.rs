//! Requests that crash the targets they run on.

use std::collections::{BTreeMap, BTreeSet};

use crate::quarantine_document::{self, CrashDocument, Document};
use crate::{Fingerprint, Result, Verdict};

/// Suspects and convicted requests that are remembered, each.
const MAX_REQUESTS: usize = 4096;
/// Crashes whose reports are merged before the oldest is forgotten.
const MAX_CRASHES: usize = 256;
/// Requests remembered of one crash.
const MAX_REQUESTS_OF_CRASH: usize = 4096;

/// The replicated record of requests that crash targets.
///
/// Whatever ran on a crashed target becomes suspect, for one of them may have
/// caused the crash. A suspect runs again only where no other suspect runs.
/// If that target crashes too, the one suspect on it is convicted and refused
/// everywhere, which explains the crash: the others on it stay as they were.
/// A crash with several earlier suspects on the target convicts none of them,
/// since any of them may be a bystander.
///
/// A crash is identified by target and incarnation. Its reports may come
/// from several reporters, or twice: they are merged, and a conviction is
/// taken back when a later report of the same crash shows that the convicted
/// request was not the only suspect on the target after all.
///
/// All parts are bounded; the oldest are forgotten first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantine {
    version: u64,
    clock: u64,
    suspects: BTreeMap<Fingerprint, u64>,
    convicted: BTreeMap<Fingerprint, u64>,
    crashes: BTreeMap<(String, u64), Crash>,
}

/// What is known of one crash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Crash {
    /// When it was first reported, in reports.
    reported: u64,
    /// Everything that ran on the target.
    ran: BTreeSet<Fingerprint>,
    /// Those of them that were suspect or convicted before this crash.
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

    /// Changes whenever a suspect or convicted request is added or removed.
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
    /// // One ran without the other.
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
        let news = self.merge(&mut crash, fingerprints);
        self.judge(&mut crash, &news);
        let verdict = self.verdict(&crash);
        self.crashes.insert(id, crash);
        self.forget_oldest();
        verdict
    }

    /// Clears a request of suspicion and conviction, and says whether it was
    /// known. Crashes reported so far no longer count against it.
    pub fn pardon(&mut self, fingerprint: &Fingerprint) -> bool {
        let suspect = self.suspects.remove(fingerprint).is_some();
        let convicted = self.convicted.remove(fingerprint).is_some();
        let known = suspect || convicted;
        if known {
            self.version += 1;
        }
        known
    }

    /// Whether the request may run only where no other suspect runs.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.contains_key(fingerprint)
    }

    /// Whether the request is refused everywhere.
    #[must_use]
    pub fn is_convicted(&self, fingerprint: &Fingerprint) -> bool {
        self.convicted.contains_key(fingerprint)
    }

    /// All suspects, in order.
    pub fn suspects(&self) -> impl Iterator<Item = &Fingerprint> {
        self.suspects.keys()
    }

    /// All convicted requests, in order.
    pub fn convicted(&self) -> impl Iterator<Item = &Fingerprint> {
        self.convicted.keys()
    }

    /// The whole state as JSON, the same bytes for the same state.
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
            suspects: quarantine_document::write_ages(&self.suspects),
            convicted: quarantine_document::write_ages(&self.convicted),
            crashes: crashes.collect(),
        }
        .to_vec()
    }

    /// Reads what [`Quarantine::to_json`] wrote.
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
    /// When the bytes are not such a document.
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
            suspects: quarantine_document::read_ages(&document.suspects, "suspects")?,
            convicted: quarantine_document::read_ages(&document.convicted, "convicted")?,
            crashes,
        })
    }

    /// Adds the reported requests, noting which were suspect before this
    /// crash rather than because of it, and returns those not heard of yet.
    fn merge(&self, crash: &mut Crash, fingerprints: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut news = Vec::new();
        for fingerprint in fingerprints {
            if crash.ran.len() >= MAX_REQUESTS_OF_CRASH {
                break;
            }
            if !crash.ran.insert(*fingerprint) {
                continue;
            }
            news.push(*fingerprint);
            if self.is_suspect(fingerprint) || self.is_convicted(fingerprint) {
                crash.prior.insert(*fingerprint);
            }
        }
        news
    }

    fn judge(&mut self, crash: &mut Crash, news: &[Fingerprint]) {
        if let Some(convicted) = crash.convicted
            && crash.prior.len() > 1
        {
            crash.convicted = None;
            self.take_back(convicted);
            let ran: Vec<Fingerprint> = crash.ran.iter().copied().collect();
            self.suspect(&ran);
            return;
        }
        if let Some(only) = crash.only_prior() {
            self.convict(crash, only);
            return;
        }
        // A convicted request on the target explains the crash.
        let explained = crash.prior.iter().any(|prior| self.is_convicted(prior));
        if !explained {
            self.suspect(news);
        }
    }

    fn convict(&mut self, crash: &mut Crash, fingerprint: Fingerprint) {
        if self.suspects.remove(&fingerprint).is_some() {
            self.convicted.insert(fingerprint, self.clock);
            self.version += 1;
            crash.convicted = Some(fingerprint);
        }
    }

    fn take_back(&mut self, fingerprint: Fingerprint) {
        if self.convicted.remove(&fingerprint).is_some() {
            self.suspects.insert(fingerprint, self.clock);
            self.version += 1;
        }
    }

    fn suspect(&mut self, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            let known = self.is_convicted(fingerprint) || self.is_suspect(fingerprint);
            if !known {
                self.suspects.insert(*fingerprint, self.clock);
                self.version += 1;
            }
        }
    }

    fn verdict(&self, crash: &Crash) -> Verdict {
        let of = |kept: &BTreeMap<Fingerprint, u64>| {
            let ran = crash.ran.iter().copied();
            ran.filter(|fingerprint| kept.contains_key(fingerprint))
                .collect()
        };
        Verdict {
            suspects: of(&self.suspects),
            convicted: of(&self.convicted),
        }
    }

    fn forget_oldest(&mut self) {
        let dropped = forget(&mut self.suspects) + forget(&mut self.convicted);
        if dropped > 0 {
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
    /// The only earlier suspect on the target, if it was one alone.
    fn only_prior(&self) -> Option<Fingerprint> {
        let mut prior = self.prior.iter();
        let only = prior.next()?;
        prior.next().is_none().then_some(*only)
    }
}

/// Drops the oldest beyond the bound and returns how many those were.
fn forget(kept: &mut BTreeMap<Fingerprint, u64>) -> usize {
    let excess = kept.len().saturating_sub(MAX_REQUESTS);
    for _ in 0..excess {
        let oldest = kept.iter().min_by_key(|(_, age)| **age);
        let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
            break;
        };
        kept.remove(&fingerprint);
    }
    excess
}
