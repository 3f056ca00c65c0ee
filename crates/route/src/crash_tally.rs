//! Count of the targets that crashed under each request and each part of a prompt.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use crate::crash_evidence::{Carriers, Evidence, Sample};
use crate::quarantine_document;
use crate::{CrashedRequest, Error, Features, Fingerprint, Result};
use serde::{Deserialize, Serialize};

/// Number of targets that crash under a feature before it is convicted.
const CONVICTING_CRASHES: usize = 3;
/// Number of targets that crash under several features that always ran together before
/// the least common of them are convicted.
const CONVICTING_CRASHES_TOGETHER: usize = 5;
/// Number of targets that crash under features that are all so common that they would have
/// run there anyway, before the least common of them are convicted. If such a feature is
/// the cause, targets crash at once.
const CONVICTING_CRASHES_COMMON: usize = 10;
/// Number of crashes that make a feature suspect.
const SUSPICIOUS_CRASHES: usize = 2;
/// Number of requests that must have had a part before it is put down to the part.
const CONVICTING_REQUESTS: usize = 2;
/// Maximum number of convicted features.
const MAX_CONVICTED: usize = 4096;
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Maximum number of requests kept per crash.
const MAX_REQUESTS_PER_CRASH: usize = 256;
/// Maximum number of parts kept per crash.
const MAX_PARTS_PER_CRASH: usize = 1024;
/// Maximum number of watched parts.
const MAX_WATCHED: usize = 1024;

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
    version: u64,
    /// Number of reports processed so far.
    clock: u64,
    /// Crashes by target and incarnation.
    crashes: BTreeMap<(String, u64), Crash>,
    suspects: BTreeSet<Fingerprint>,
    watched: BTreeSet<Fingerprint>,
    /// Convicted features, with the clock at which they were added.
    convicted: BTreeMap<Fingerprint, u64>,
}

/// Merged reports of one crash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Crash {
    /// Clock at which the crash was first reported.
    reported: u64,
    /// Requests that ran on the target.
    ran: BTreeMap<Fingerprint, Ran>,
}

/// What may still be the cause of a crash in one request that ran on the target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Ran {
    /// Whether the request as a whole is not the cause.
    is_cleared: bool,
    /// Parts, with the number of the latest requests of the entry that had them.
    parts: BTreeMap<Fingerprint, u32>,
    /// Number of these latest requests.
    recent: u32,
}

#[derive(Serialize, Deserialize)]
struct Document {
    version: u64,
    clock: u64,
    crashes: Vec<CrashDocument>,
    convicted: BTreeMap<String, u64>,
}

#[derive(Serialize, Deserialize)]
struct CrashDocument {
    target: String,
    incarnation: u64,
    reported: u64,
    /// Requests without parts, as older versions wrote them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    ran: Vec<String>,
    #[serde(default)]
    requests: Vec<RanDocument>,
}

#[derive(Serialize, Deserialize)]
struct RanDocument {
    request: String,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    cleared: bool,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    parts: BTreeMap<String, u64>,
    #[serde(default)]
    recent: u32,
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
        self.judge();
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
        self.judge();
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
        let mut known = false;
        for crash in self.crashes.values_mut() {
            known |= crash.clear(feature);
        }
        let was_convicted = self.convicted.remove(feature).is_some();
        let was_suspect = self.suspects.contains(feature);
        self.version += u64::from(was_convicted);
        if known || was_convicted {
            self.judge();
        }
        was_convicted || was_suspect
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

    /// Convicts features on the evidence of the recorded crashes. Convictions that rest on
    /// crashes forgotten since stay.
    fn judge(&mut self) {
        let before = self.convicted.clone();
        let crashes = &self.crashes;
        self.convicted.retain(|feature, _| {
            let ran = crashes.values().filter(|crash| crash.has(feature));
            ran.count() < CONVICTING_CRASHES
        });
        while let Some(guilty) = self.next_guilty() {
            for feature in guilty {
                let added_at = before.get(&feature).copied().unwrap_or(self.clock);
                self.convicted.insert(feature, added_at);
            }
        }
        self.version += u64::from(self.convicted != before);
        while self.convicted.len() > MAX_CONVICTED {
            let oldest = self.convicted.iter().min_by_key(|(_, added_at)| **added_at);
            let Some(feature) = oldest.map(|(feature, _)| *feature) else {
                break;
            };
            self.convicted.remove(&feature);
            self.version += 1;
        }
        let (suspects, watched) = (self.find_suspects(), self.find_watched());
        if suspects != self.suspects || watched != self.watched {
            (self.suspects, self.watched) = (suspects, watched);
            self.version += 1;
        }
    }

    /// The next features to convict, if the evidence is sufficient.
    fn next_guilty(&self) -> Option<Vec<Fingerprint>> {
        let evidence = self.evidence();
        let mut candidates: Vec<(&Fingerprint, &Evidence)> = evidence
            .iter()
            .filter(|(_, evidence)| evidence.crashes() >= CONVICTING_CRASHES)
            .collect();
        // What explains the most crashes first, if it did not run there by chance: reports may
        // still lack the cause of the newest crashes, and have common parts for all of them.
        candidates.sort_by(|(_, a), (_, b)| {
            let by_conviction = b.is_convincing().cmp(&a.is_convincing());
            let by_crashes = match (a.is_convincing(), b.is_convincing()) {
                (true, true) => b.crashes().cmp(&a.crashes()),
                _ => Ordering::Equal,
            };
            let by_chance = a.chance().total_cmp(&b.chance());
            by_conviction.then(by_crashes).then(by_chance)
        });
        // More likely features that are not decided yet. What explains all of their crashes
        // competes with them; others are judged by the crashes that they leave.
        let mut undecided: Vec<&Evidence> = Vec::new();
        for (feature, own) in &candidates {
            let others = undecided.iter().filter(|other| !own.covers(other));
            let taken: BTreeSet<u64> = others.flat_map(|other| other.numbers()).collect();
            let rest = own.without(&taken);
            let only_explanation =
                convincing_rivals(&evidence, own).all(|(rival, _)| rival == *feature);
            let is_certain = rest.is_certain() && rest.independent_crashes() >= CONVICTING_CRASHES;
            if is_certain && only_explanation {
                return Some(vec![**feature]);
            }
            if rest.crashes() >= CONVICTING_CRASHES_TOGETHER
                && let Some(guilty) = self.least_common_rivals(&evidence, own, &rest)
            {
                return Some(guilty);
            }
            undecided.push(own);
        }
        None
    }

    /// Of the features that explain all crashes of one, those that are least likely to have
    /// run there by chance. If all of them are common, they are convicted only if no crash
    /// since their first one lacks them.
    fn least_common_rivals(
        &self,
        evidence: &BTreeMap<Fingerprint, Evidence>,
        own: &Evidence,
        rest: &Evidence,
    ) -> Option<Vec<Fingerprint>> {
        let is_alone = evidence.values().filter(|rival| rival.covers(own)).count() == 1;
        let needed = if is_alone {
            CONVICTING_CRASHES_TOGETHER
        } else {
            CONVICTING_CRASHES_COMMON
        };
        let is_enough = rest.unexplained_crashes() >= needed;
        if !(rest.is_convincing() || is_enough && self.runs_in_all_since(own)) {
            return None;
        }
        let rivals = || evidence.iter().filter(|(_, rival)| rival.covers(own));
        let least = rivals()
            .map(|(_, rival)| rival.chance())
            .min_by(f64::total_cmp)?;
        let guilty = rivals().filter(|(_, rival)| rival.chance() <= least);
        Some(guilty.map(|(feature, _)| *feature).collect())
    }

    /// Whether no crash without an explanation lacks the feature since its first one.
    fn runs_in_all_since(&self, own: &Evidence) -> bool {
        let first = own.first_crash();
        let unexplained = self.crashes.values().filter(|crash| {
            crash.reported >= first && !crash.features().any(|f| self.is_convicted(f))
        });
        let mut reported = unexplained.map(|crash| crash.reported);
        reported.all(|reported| own.includes(reported))
    }

    fn find_suspects(&self) -> BTreeSet<Fingerprint> {
        let evidence = self.evidence().into_iter();
        let suspects = evidence.filter(|(_, evidence)| {
            evidence.crashes() >= SUSPICIOUS_CRASHES && evidence.is_convincing()
        });
        suspects.map(|(feature, _)| feature).collect()
    }

    fn find_watched(&self) -> BTreeSet<Fingerprint> {
        let crashes = self.by_age().into_iter().rev();
        let unexplained = crashes.filter(|crash| !crash.features().any(|f| self.is_convicted(f)));
        let parts =
            unexplained.flat_map(|crash| crash.ran.values().flat_map(|ran| ran.parts.keys()));
        let mut watched = BTreeSet::new();
        for part in parts {
            if watched.len() >= MAX_WATCHED {
                break;
            }
            watched.insert(*part);
        }
        watched
    }

    /// For each feature that may be a cause, the crashes in which it ran and that nothing
    /// else explains.
    fn evidence(&self) -> BTreeMap<Fingerprint, Evidence> {
        let mut evidence: BTreeMap<Fingerprint, Evidence> = BTreeMap::new();
        let mut carriers: BTreeMap<Fingerprint, BTreeSet<Fingerprint>> = BTreeMap::new();
        for crash in self.by_age() {
            let mut new_carriers: BTreeSet<Fingerprint> = BTreeSet::new();
            for (request, ran) in &crash.ran {
                for part in ran.parts.keys() {
                    if carriers.entry(*part).or_default().insert(*request) {
                        new_carriers.insert(*part);
                    }
                }
            }
            let explanation = self.explanation(crash);
            for (feature, carriers) in crash.carriers() {
                if explanation.covers(&feature) {
                    continue;
                }
                let is_request = crash.ran.contains_key(&feature);
                let sample = Sample {
                    crash: crash.reported,
                    is_request,
                    carriers,
                    ran: crash.ran.len(),
                    is_explained: explanation.is_some(),
                    is_new: is_request || new_carriers.contains(&feature),
                };
                evidence.entry(feature).or_default().add(sample);
            }
        }
        // A part that a single request has brought is put down to that request.
        evidence.retain(|feature, _| {
            let requests = carriers.get(feature);
            requests.is_none_or(|requests| requests.len() >= CONVICTING_REQUESTS)
        });
        evidence
    }

    /// The crashes in the order in which they were first reported.
    fn by_age(&self) -> Vec<&Crash> {
        let mut crashes: Vec<&Crash> = self.crashes.values().collect();
        crashes.sort_by_key(|crash| crash.reported);
        crashes
    }

    /// What convicted features explain a crash.
    fn explanation<'a>(&self, crash: &'a Crash) -> Explanation<'a> {
        let mut parts = crash.ran.values().flat_map(|ran| ran.parts.keys());
        if parts.any(|part| self.is_convicted(part)) {
            return Explanation::Part;
        }
        let guilty = crash
            .ran
            .iter()
            .filter(|(request, ran)| !ran.is_cleared && self.is_convicted(request));
        Explanation::Requests(guilty.map(|(_, ran)| &ran.parts).collect())
    }
}

/// The convicted features that explain a crash.
enum Explanation<'a> {
    /// A part of a prompt.
    Part,
    /// Requests with these parts. The cause may have been one of the parts all the same.
    Requests(Vec<&'a BTreeMap<Fingerprint, u32>>),
}

impl Explanation<'_> {
    /// Whether a convicted feature explains the crash at all.
    fn is_some(&self) -> bool {
        match self {
            Explanation::Part => true,
            Explanation::Requests(guilty) => !guilty.is_empty(),
        }
    }

    /// Whether the crash does not speak against a feature that ran in it.
    fn covers(&self, feature: &Fingerprint) -> bool {
        match self {
            Explanation::Part => true,
            Explanation::Requests(guilty) => {
                guilty.iter().any(|parts| !parts.contains_key(feature))
            }
        }
    }
}

/// The features that explain all crashes of one and are not there by chance. A request that
/// ran in all of them is more likely than a part, unless that is certain.
fn convincing_rivals<'a>(
    evidence: &'a BTreeMap<Fingerprint, Evidence>,
    own: &'a Evidence,
) -> impl Iterator<Item = (&'a Fingerprint, &'a Evidence)> {
    evidence.iter().filter(|(_, rival)| {
        let is_likely = if own.is_request() && !rival.is_request() {
            rival.is_certain()
        } else {
            rival.is_convincing()
        };
        is_likely && rival.covers(own)
    })
}

impl Crash {
    /// Adds a request that ran on the target.
    fn add(&mut self, request: CrashedRequest) {
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
    fn features(&self) -> impl Iterator<Item = &Fingerprint> {
        self.ran.iter().flat_map(|(request, ran)| {
            let request = (!ran.is_cleared).then_some(request);
            request.into_iter().chain(ran.parts.keys())
        })
    }

    fn has(&self, feature: &Fingerprint) -> bool {
        self.features().any(|known| known == feature)
    }

    /// For each feature that may be the cause, the requests that had it.
    fn carriers(&self) -> BTreeMap<Fingerprint, Carriers> {
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
    fn clear(&mut self, feature: &Fingerprint) -> bool {
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

impl CrashDocument {
    fn read(&self, place: &str) -> Result<Crash> {
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
    fn new((request, ran): (&Fingerprint, &Ran)) -> RanDocument {
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
