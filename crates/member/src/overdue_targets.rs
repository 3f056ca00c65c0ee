//! Targets for whose reports control is asked.

use crate::ReportStore;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Number of check-in intervals without a report of a target after which other replicas
/// are asked for it: the one that usually repeats it may not hear of all targets.
const OVERDUE_INTERVALS: f64 = 2.5;
/// Number of check-in intervals without a report after which a target is considered gone,
/// so that no replica will report it again.
const LOST_INTERVALS: f64 = 8.0;
/// Maximum number of targets that one request names.
const MAX_NAMED: usize = 64;
/// Number of replicas that are asked at a time.
const REPLICAS_ASKED: usize = 3;
/// How long the same replicas are asked.
const TURN: Duration = Duration::from_millis(500);

/// The last known report of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastReport {
    /// Identifier of the target.
    pub id: String,
    /// Start time of the incarnation in Unix milliseconds; 0 if none is known.
    pub started_ms: u64,
    /// Number of the report within the incarnation.
    pub sequence: u64,
}

/// The targets for whose reports an entry asks control: those that have been silent for
/// too long, and those of which it has missed a report.
///
/// Only a few replicas are asked at a time, in turn, and only for these targets. If all
/// were asked to repeat the state of all targets, one silent target would cause traffic
/// that grows with the product of entries, replicas and targets.
///
/// ```
/// use member::{OverdueTargets, ReportStore};
/// use std::time::{Duration, Instant};
///
/// let mut overdue = OverdueTargets::new(Duration::from_secs(1));
/// overdue.record_missed("i-7f3a");
/// let named = overdue.next(&ReportStore::default(), Instant::now());
/// assert_eq!(named[0].id, "i-7f3a");
/// ```
#[derive(Clone, Debug)]
pub struct OverdueTargets {
    check_in_interval: Duration,
    missed: BTreeSet<String>,
    /// The last target that was named, if more were to follow.
    last: String,
}

impl OverdueTargets {
    /// For targets that check in at this interval.
    #[must_use]
    pub fn new(check_in_interval: Duration) -> OverdueTargets {
        OverdueTargets {
            check_in_interval,
            missed: BTreeSet::new(),
            last: String::new(),
        }
    }

    /// Records that a report of a target was missed.
    pub fn record_missed(&mut self, id: &str) {
        self.missed.insert(id.to_owned());
    }

    /// The targets to name in the next request.
    pub fn next(&mut self, store: &ReportStore, now: Instant) -> Vec<LastReport> {
        let missed = std::mem::take(&mut self.missed).into_iter();
        let missed = missed.map(|id| LastReport {
            id,
            started_ms: 0,
            sequence: 0,
        });
        let silence = self.check_in_interval.mul_f64(OVERDUE_INTERVALS)
            ..self.check_in_interval.mul_f64(LOST_INTERVALS);
        let silent = store.silent_targets(&self.last, silence, now);
        let silent = silent.map(|report| LastReport {
            id: report.id.clone(),
            started_ms: report.started_ms,
            sequence: report.sequence,
        });
        let named: Vec<LastReport> = missed.chain(silent).take(MAX_NAMED).collect();
        self.last.clear();
        if named.len() == MAX_NAMED {
            self.last
                .extend(named.last().map(|report| report.id.as_str()));
        }
        named
    }

    /// Whether the replica at `position` among `replicas` is asked, `elapsed` after the
    /// entry started.
    ///
    /// ```
    /// use member::OverdueTargets;
    /// use std::time::Duration;
    ///
    /// let asked = |seconds| {
    ///     let elapsed = Duration::from_secs(seconds);
    ///     (0..9).filter(|n| OverdueTargets::is_asked(*n, 9, elapsed)).collect::<Vec<_>>()
    /// };
    /// assert_eq!(asked(0), [0, 1, 2]);
    /// assert_eq!(asked(1), [0, 7, 8]);
    /// ```
    #[must_use]
    pub fn is_asked(position: usize, replicas: usize, elapsed: Duration) -> bool {
        let turn = elapsed.as_millis() / TURN.as_millis();
        let turn = usize::try_from(turn).unwrap_or(0);
        (position + turn) % replicas.max(1) < REPLICAS_ASKED
    }
}
