//! What one entry knows of requests and parts of prompts under which targets crash.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::{CrashTally, CrashedRequest, Features, Fingerprint, PartShares};

/// How long a completed request cannot be the cause of a crash.
const COMPLETION_VALIDITY: Duration = Duration::from_mins(1);
/// Maximum number of completed requests that are remembered.
const MAX_COMPLETED: usize = 4096;
/// Time that a report of a crash takes at most while control can be reached.
const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Time in which the connections to a crashed target break. Later ones broke in a crash of
/// its successor, which this entry has not been told of.
const CRASH_DURATION: Duration = Duration::from_secs(1);
/// Maximum number of crashes of which the time is remembered.
const MAX_SEEN: usize = 256;
/// Maximum number of named parts that are remembered.
const MAX_NAMED: usize = 8192;

/// Decides at an entry which requests are refused because targets crash under them.
///
/// All entries share a [`CrashTally`] by way of control. It knows what ran on a crashed
/// target for other entries, so its verdict counts alone once it has all reports of this
/// entry. While control is unreachable, the entry goes by the crashes that it has seen.
///
/// ```
/// use route::{CrashGuard, Features, Fingerprint};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut guard = CrashGuard::default();
/// let poison = Features::from(Fingerprint::new([1; 32]));
/// for target in ["advisor-01", "advisor-02", "advisor-03"] {
///     assert!(!guard.must_refuse(&poison, now));
///     let reported = guard.record_crash(target, 1, &[poison.clone()], now);
///     assert_eq!(reported.requests.len(), 1);
/// }
/// assert!(guard.must_refuse(&poison, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashGuard {
    /// Crashes that this entry has seen and control has not confirmed.
    unconfirmed: CrashTally,
    /// When this entry has seen these crashes, by target and incarnation.
    seen: BTreeMap<(String, u64), Instant>,
    shared: SharedTally,
    /// Requests that targets have completed, and when.
    completed: BTreeMap<Fingerprint, Instant>,
    /// Parts that ran in crashes, as long as they are named for that.
    parts: BTreeMap<Fingerprint, NamedPart>,
    shares: PartShares,
}

/// A part that ran in crashes.
#[derive(Clone, Copy, Debug)]
struct NamedPart {
    /// When this entry first knew. What targets began to run before proves nothing.
    since: Instant,
    /// Whether a target has completed a request with the part that it began to run later.
    has_completed: bool,
}

/// What an entry reports of a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The incarnation of the target that crashed.
    pub incarnation: u64,
    /// Requests of which the entry does not know that they are innocent.
    pub requests: Vec<CrashedRequest>,
}

/// The outcome of the tally that all entries share, as control has reported it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedTally {
    /// Version of the tally.
    pub version: u64,
    /// Features under which several targets have crashed.
    pub suspects: BTreeSet<Fingerprint>,
    /// Parts that ran in crashes without an explanation.
    pub watched: BTreeSet<Fingerprint>,
    /// Features of requests that are refused everywhere.
    pub convicted: BTreeSet<Fingerprint>,
}

impl CrashGuard {
    /// Records that a caller has sent a request.
    pub fn record_arrival(&mut self, features: &Features) {
        self.shares.record(&features.parts);
    }

    /// Whether the request is refused: targets that run it would crash. A feature that a
    /// target has completed for this entry is no reason, whatever the others report.
    #[must_use]
    pub fn must_refuse(&self, features: &Features, now: Instant) -> bool {
        features.iter().any(|feature| {
            // Of the parts that ran on a target, this entry knows only those of its callers.
            let decides = *feature == features.request || self.is_cut_off(now);
            let convicted = self.shared.convicted.contains(feature)
                || (decides && self.unconfirmed.is_convicted(feature));
            convicted && !self.has_completed(feature, now)
        })
    }

    /// Whether several targets have crashed under the request. Its caller may send it again,
    /// but the entry does not by itself.
    ///
    /// ```
    /// # use route::{CrashGuard, Features, Fingerprint};
    /// # use std::time::Instant;
    /// let now = Instant::now();
    /// let mut guard = CrashGuard::default();
    /// let poison = Features::from(Fingerprint::new([1; 32]));
    /// guard.record_crash("advisor-01", 1, &[poison.clone()], now);
    /// assert!(!guard.is_suspect(&poison, now));
    /// guard.record_crash("advisor-02", 1, &[poison.clone()], now);
    /// assert!(guard.is_suspect(&poison, now));
    /// ```
    #[must_use]
    pub fn is_suspect(&self, features: &Features, now: Instant) -> bool {
        features.iter().any(|feature| {
            let suspect = self.shared.suspects.contains(feature)
                || self.shared.convicted.contains(feature)
                || self.unconfirmed.is_suspect(feature);
            suspect && !self.has_completed(feature, now)
        })
    }

    /// Records that an incarnation of a target crashed while these requests of this entry
    /// ran on it. Returns what is to be reported to control.
    ///
    /// ```
    /// # use route::{CrashGuard, Fingerprint};
    /// # use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let (mut guard, request) = (CrashGuard::default(), Fingerprint::new([1; 32]));
    /// assert_eq!(guard.record_crash("advisor-01", 7, &[request], now).incarnation, 7);
    /// // Without control, this entry is not told that the target was started again.
    /// let later = now + Duration::from_secs(4);
    /// assert_eq!(guard.record_crash("advisor-01", 7, &[request], later).incarnation, 8);
    /// ```
    pub fn record_crash<T>(
        &mut self,
        target: &str,
        incarnation: u64,
        ran: &[T],
        now: Instant,
    ) -> CrashReport
    where
        T: Clone + Into<Features>,
    {
        let incarnation = self.distinguish(target, incarnation, now);
        let mut reported = Vec::new();
        for features in ran {
            let features: Features = features.clone().into();
            for part in &features.parts {
                self.name_part(*part, now).has_completed = false;
            }
            let has_completed = self.has_completed(&features.request, now);
            if !has_completed || !features.parts.is_empty() {
                let counts = features.parts.iter().map(|part| self.shares.count(part));
                reported.push(CrashedRequest {
                    with_part: counts.collect(),
                    recent: self.shares.total(),
                    features,
                    has_completed,
                });
            }
        }
        if !reported.is_empty() {
            self.unconfirmed
                .record_crash(target, incarnation, &reported);
            if self.seen.len() < MAX_SEEN {
                let crash = (target.to_owned(), incarnation);
                self.seen.entry(crash).or_insert(now);
            }
        }
        CrashReport {
            incarnation,
            requests: reported,
        }
    }

    /// Records that control has the report of a crash.
    ///
    /// ```
    /// # use route::{CrashGuard, Fingerprint};
    /// # use std::time::Instant;
    /// let now = Instant::now();
    /// let (mut guard, poison) = (CrashGuard::default(), Fingerprint::new([1; 32]));
    /// for target in ["advisor-01", "advisor-02", "advisor-03"] {
    ///     guard.record_crash(target, 1, &[poison], now);
    ///     guard.confirm_report(target, 1);
    /// }
    /// // What control makes of it is still to come.
    /// assert!(!guard.must_refuse(&poison.into(), now));
    /// ```
    pub fn confirm_report(&mut self, target: &str, incarnation: u64) {
        self.seen.remove(&(target.to_owned(), incarnation));
        if !self.unconfirmed.remove_crash(target, incarnation) {
            self.unconfirmed = CrashTally::default();
            self.seen.clear();
        }
    }

    /// Records that a target has completed a request that it was sent at `started`. Returns
    /// the features that control is to clear.
    ///
    /// ```
    /// # use route::{CrashGuard, Features, Fingerprint};
    /// # use std::time::Instant;
    /// let now = Instant::now();
    /// let mut guard = CrashGuard::default();
    /// let request = Features::from(Fingerprint::new([1; 32]));
    /// assert!(guard.record_completion(&request, now, now).is_empty());
    /// ```
    pub fn record_completion(
        &mut self,
        features: &Features,
        started: Instant,
        now: Instant,
    ) -> Vec<Fingerprint> {
        let request = features.request;
        if self.completed.len() >= MAX_COMPLETED {
            self.completed.retain(|_, at| is_recent(*at, now));
        }
        if self.completed.len() < MAX_COMPLETED {
            self.completed.insert(request, now);
        }
        let mut cleared: Vec<Fingerprint> = Vec::new();
        cleared.extend(self.shared.names(&request).then_some(request));
        self.unconfirmed.clear(&request);
        for part in &features.parts {
            let named = self.parts.get_mut(part);
            if let Some(named) = named.filter(|named| !named.has_completed)
                && started > named.since
            {
                named.has_completed = true;
                self.unconfirmed.clear(part);
                cleared.push(*part);
            }
        }
        cleared
    }

    /// Applies the shared tally if it is newer than the one in use. Returns the requests
    /// that control is to clear, because targets have completed them for this entry.
    ///
    /// ```
    /// use route::{CrashGuard, Fingerprint, SharedTally};
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let common = Fingerprint::new([1; 32]);
    /// let mut guard = CrashGuard::default();
    /// guard.record_completion(&common.into(), now, now);
    /// let shared = SharedTally {
    ///     version: 1,
    ///     suspects: [common].into(),
    ///     ..SharedTally::default()
    /// };
    /// assert_eq!(guard.apply(shared, now), [common]);
    /// ```
    pub fn apply(&mut self, shared: SharedTally, now: Instant) -> Vec<Fingerprint> {
        if shared.version <= self.shared.version {
            return Vec::new();
        }
        // What was convicted and is no longer has completed elsewhere or was pardoned.
        for cleared in self.shared.convicted.difference(&shared.convicted) {
            self.unconfirmed.clear(cleared);
        }
        self.shared = shared;
        self.parts.retain(|part, _| {
            self.shared.names(part) || self.unconfirmed.watched().any(|watched| watched == part)
        });
        for part in self.shared.watched.clone() {
            self.name_part(part, now);
        }
        let named = self.shared.named();
        let completed = named.filter(|feature| self.has_completed(feature, now));
        completed.copied().collect()
    }

    /// The incarnation that crashed, if a known one has crashed before: the next one.
    fn distinguish(&self, target: &str, incarnation: u64, now: Instant) -> u64 {
        let has_crashed = |incarnation: &u64| {
            let crash = self.seen.get(&(target.to_owned(), *incarnation));
            crash.is_some_and(|at| now.saturating_duration_since(*at) >= CRASH_DURATION)
        };
        let mut incarnations = incarnation..;
        incarnations
            .find(|incarnation| !has_crashed(incarnation))
            .unwrap_or(incarnation)
    }

    /// Whether control has not confirmed a crash for so long that this entry decides alone.
    fn is_cut_off(&self, now: Instant) -> bool {
        let mut seen = self.seen.values();
        seen.any(|at| now.saturating_duration_since(*at) >= REPORT_DELAY)
    }

    fn has_completed(&self, feature: &Fingerprint, now: Instant) -> bool {
        let completed = self.completed.get(feature);
        let part = self.parts.get(feature);
        completed.is_some_and(|at| is_recent(*at, now)) || part.is_some_and(|p| p.has_completed)
    }

    /// Notes that a part ran in a crash, if that is new.
    fn name_part(&mut self, part: Fingerprint, now: Instant) -> &mut NamedPart {
        if self.parts.len() >= MAX_NAMED && !self.parts.contains_key(&part) {
            self.parts.pop_first();
        }
        self.parts.entry(part).or_insert(NamedPart {
            since: now,
            has_completed: false,
        })
    }
}

impl SharedTally {
    fn names(&self, feature: &Fingerprint) -> bool {
        self.suspects.contains(feature)
            || self.watched.contains(feature)
            || self.convicted.contains(feature)
    }

    fn named(&self) -> impl Iterator<Item = &Fingerprint> {
        let named = self.suspects.union(&self.convicted);
        named.chain(self.watched.difference(&self.suspects))
    }
}

fn is_recent(completed: Instant, now: Instant) -> bool {
    now.saturating_duration_since(completed) < COMPLETION_VALIDITY
}
