//! Count of the targets that crashed under each request and each part of a prompt.

use std::collections::{BTreeMap, BTreeSet};

use crate::crash_document::{CrashDocument, Document, RanDocument};
use crate::crash_record::Crash;
use crate::quarantine_document;
use crate::{CrashedRequest, Error, Fingerprint, Result};

/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 256;

/// The replicated record of requests under which targets crash, for targets that run
/// requests of all kinds side by side.
///
/// The cause is a request as a whole, which its caller sends again, or a part of a prompt
/// that many requests share. Most requests on a crashed target are bystanders. A feature is
/// convicted once three targets have crashed under it and nothing else explains that: no
/// other feature ran in all of these crashes, unless it is so common that it would have run
/// there anyway. With several such features, the least common ones are convicted after five
/// crashes. All crashes of a convicted feature are then put down to it. A feature of a
/// request that completes on a target is cleared. Entries report the same crash one after
/// the other; a conviction that a later report puts in doubt is revoked, so it should not
/// be acted on before all have had the time to report.
///
/// Where suspects can be kept apart, [`Quarantine`](crate::Quarantine) convicts sooner.
///
/// All collections are bounded; the oldest entries are removed first.
///
/// ```
/// use route::{CrashTally, Features, Fingerprint};
///
/// let mut tally = CrashTally::default();
/// let (part, common) = (Fingerprint::new([100; 32]), Fingerprint::new([101; 32]));
/// let request = |n, parts: &[Fingerprint]| Features {
///     request: Fingerprint::new([n; 32]),
///     parts: parts.to_vec(),
/// };
/// for n in 1..=5 {
///     let poisonous = request(n, &[common, part]);
///     let bystanders = (1..4).map(|m| request(10 * n + m, &[common]));
///     let ran: Vec<Features> = bystanders.chain([poisonous]).collect();
///     tally.record_crash("advisor-01", u64::from(n), &ran);
/// }
/// assert!(tally.is_convicted(&part));
/// assert!(!tally.is_convicted(&common));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashTally {
    pub(crate) version: u64,
    /// Number of reports processed so far.
    pub(crate) clock: u64,
    /// Crashes by target and incarnation.
    pub(crate) crashes: BTreeMap<(String, u64), Crash>,
    pub(crate) suspects: BTreeSet<Fingerprint>,
    pub(crate) watched: BTreeSet<Fingerprint>,
    /// Convicted features, each with the number of the crash whose report convicted it.
    pub(crate) convicted: BTreeMap<Fingerprint, u64>,
}

impl CrashTally {
    /// Version number; changes whenever the suspect, watched or convicted features do.
    ///
    /// ```
    /// assert_eq!(route::CrashTally::default().version(), 0);
    /// ```
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that an incarnation of a target crashed while these requests ran on it.
    /// Reports of one crash are merged.
    ///
    /// ```
    /// use route::{CrashTally, Fingerprint};
    ///
    /// let mut tally = CrashTally::default();
    /// let (poison, bystander) = (Fingerprint::new([1; 32]), Fingerprint::new([2; 32]));
    /// tally.record_crash("advisor-01", 1, &[poison, bystander]);
    /// tally.record_crash("advisor-02", 1, &[poison, bystander]);
    /// assert_eq!(tally.suspects().count(), 2);
    /// tally.record_crash("advisor-03", 1, &[poison]);
    /// assert!(tally.is_convicted(&poison));
    /// assert_eq!(tally.suspects().count(), 0);
    /// ```
    pub fn record_crash<T>(&mut self, target: &str, incarnation: u64, ran: &[T])
    where
        T: Clone + Into<CrashedRequest>,
    {
        self.clock += 1;
        let crash = self
            .crashes
            .entry((target.to_owned(), incarnation))
            .or_default();
        if crash.reported == 0 {
            crash.reported = self.clock;
        }
        let number = crash.reported;
        for request in ran {
            crash.add(request.clone().into());
        }
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.reported);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                break;
            };
            self.crashes.remove(&id);
        }
        self.judge(number);
    }

    /// Removes the record of a crash. What it has contributed to a conviction stays.
    /// Returns whether any crashes are left.
    ///
    /// ```
    /// # use route::{CrashTally, Fingerprint};
    /// let mut tally = CrashTally::default();
    /// tally.record_crash("advisor-01", 1, &[Fingerprint::new([1; 32])]);
    /// assert!(!tally.remove_crash("advisor-01", 1));
    /// ```
    pub fn remove_crash(&mut self, target: &str, incarnation: u64) -> bool {
        self.crashes.remove(&(target.to_owned(), incarnation));
        self.judge(self.newest_crash());
        !self.crashes.is_empty()
    }

    /// Clears a feature: a request that has it completed on a target, or an operator has
    /// pardoned it. The crashes recorded so far no longer count against it. Returns whether
    /// it was suspect or convicted.
    ///
    /// ```
    /// # use route::{CrashTally, Fingerprint};
    /// let mut tally = CrashTally::default();
    /// let request = Fingerprint::new([1; 32]);
    /// for target in ["advisor-01", "advisor-02", "advisor-03"] {
    ///     tally.record_crash(target, 1, &[request]);
    /// }
    /// assert!(tally.clear(&request));
    /// assert!(!tally.is_convicted(&request));
    /// ```
    pub fn clear(&mut self, feature: &Fingerprint) -> bool {
        self.clear_all(std::slice::from_ref(feature))
    }

    /// Clears several features; returns whether one of them was suspect or convicted.
    ///
    /// ```
    /// # use route::{CrashTally, Fingerprint};
    /// assert!(!CrashTally::default().clear_all(&[Fingerprint::new([1; 32])]));
    /// ```
    pub fn clear_all(&mut self, features: &[Fingerprint]) -> bool {
        let (mut known, mut was_convicted, mut was_suspect) = (false, false, false);
        for feature in features {
            for crash in self.crashes.values_mut() {
                known |= crash.clear(feature);
            }
            was_convicted |= self.convicted.remove(feature).is_some();
            was_suspect |= self.suspects.contains(feature);
        }
        self.version += u64::from(was_convicted);
        if known || was_convicted {
            self.judge(self.newest_crash());
        }
        was_convicted || was_suspect
    }

    /// Number of the crash that was first reported last.
    fn newest_crash(&self) -> u64 {
        let numbers = self.crashes.values().map(|crash| crash.reported);
        numbers.max().unwrap_or(0)
    }

    /// Whether requests with this feature are refused everywhere.
    ///
    /// ```
    /// # use route::{CrashTally, Fingerprint};
    /// assert!(!CrashTally::default().is_convicted(&Fingerprint::new([1; 32])));
    /// ```
    #[must_use]
    pub fn is_convicted(&self, feature: &Fingerprint) -> bool {
        self.convicted.contains_key(feature)
    }

    /// Whether several targets have crashed under a feature that is not convicted, other
    /// than by chance.
    ///
    /// ```
    /// # use route::{CrashTally, Fingerprint};
    /// assert!(!CrashTally::default().is_suspect(&Fingerprint::new([1; 32])));
    /// ```
    #[must_use]
    pub fn is_suspect(&self, feature: &Fingerprint) -> bool {
        self.suspects.contains(feature)
    }

    /// Features under which several targets have crashed other than by chance, not yet
    /// convicted, in order of fingerprint.
    ///
    /// ```
    /// assert_eq!(route::CrashTally::default().suspects().count(), 0);
    /// ```
    pub fn suspects(&self) -> impl Iterator<Item = &Fingerprint> {
        self.suspects.iter()
    }

    /// Parts that ran in crashes without an explanation, in order of fingerprint. They are
    /// to be cleared once a request that has them completes.
    ///
    /// ```
    /// assert_eq!(route::CrashTally::default().watched().count(), 0);
    /// ```
    pub fn watched(&self) -> impl Iterator<Item = &Fingerprint> {
        self.watched.iter()
    }

    /// All convicted features, in order of fingerprint.
    ///
    /// ```
    /// assert_eq!(route::CrashTally::default().convicted().count(), 0);
    /// ```
    pub fn convicted(&self) -> impl Iterator<Item = &Fingerprint> {
        self.convicted.keys()
    }

    /// Serializes the state as JSON. Equal states give equal bytes.
    ///
    /// ```
    /// use route::{CrashTally, Fingerprint};
    ///
    /// let mut tally = CrashTally::default();
    /// tally.record_crash("advisor-01", 1, &[Fingerprint::new([1; 32])]);
    /// let copy = CrashTally::from_json(&tally.to_json())?;
    /// assert_eq!(copy, tally);
    /// # Ok::<(), route::Error>(())
    /// ```
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let crashes = self
            .crashes
            .iter()
            .map(|((target, incarnation), crash)| CrashDocument {
                target: target.clone(),
                incarnation: *incarnation,
                reported: crash.reported,
                ran: Vec::new(),
                requests: crash.ran.iter().map(RanDocument::new).collect(),
            });
        let document = Document {
            version: self.version,
            clock: self.clock,
            crashes: crashes.collect(),
            convicted: quarantine_document::write_requests(&self.convicted),
        };
        // Serializing strings and numbers into memory cannot fail.
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// Deserializes the output of [`CrashTally::to_json`]. Empty input gives an empty
    /// tally.
    ///
    /// # Errors
    /// Returns an error if the bytes are not such a document.
    ///
    /// ```
    /// assert!(route::CrashTally::from_json(b"{").is_err());
    /// ```
    pub fn from_json(json: &[u8]) -> Result<Self> {
        if json.is_empty() {
            return Ok(CrashTally::default());
        }
        let document: Document = serde_json::from_slice(json).map_err(Error::invalid_json)?;
        let mut crashes = BTreeMap::new();
        for (i, crash) in document.crashes.into_iter().enumerate() {
            let value = crash.read(&format!("crashes[{i}]"))?;
            crashes.insert((crash.target, crash.incarnation), value);
        }
        let convicted = quarantine_document::read_requests(&document.convicted, "convicted")?;
        let mut tally = CrashTally {
            version: document.version,
            clock: document.clock,
            crashes,
            suspects: BTreeSet::new(),
            watched: BTreeSet::new(),
            convicted,
        };
        tally.suspects = tally.find_suspects();
        tally.watched = tally.find_watched();
        Ok(tally)
    }
}
