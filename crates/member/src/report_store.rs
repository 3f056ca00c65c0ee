//! The latest reports of targets and entries.

use crate::{AliveEffect, EntryReport, Presence, ReportEffect, TargetReport, TargetSpeed};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::{Bound, Range};
use std::time::{Duration, Instant};

/// How long the report of a target that has left is kept, so that an earlier
/// report that arrives late does not bring it back. The longest delays, on
/// links that were interrupted, are some tens of seconds.
const DEPARTED_RETENTION: Duration = Duration::from_mins(2);

/// Sequence number of the departure of a target.
const DEPARTED: u64 = u64::MAX;

/// Delay with which a report may say that a target is still cold without the target
/// having turned cold again: two check-ins.
const COLD_REPORT_DELAY: Duration = Duration::from_secs(2);

/// Silence after which a target no longer keeps others from its address: three check-ins that
/// were lost. Its report may have been another writer's, and the address that of a target
/// which goes on checking in.
const ADDRESS_CLAIM: Duration = Duration::from_secs(3);

/// Soft state of each replica and entry: the latest report of each target and
/// each entry.
///
/// Reports are ordered by incarnation, then by sequence number. They may arrive
/// on any path, late or repeatedly, and all stores converge to the same state.
///
/// ```
/// use member::{Presence, ReportEffect, ReportStore, TargetReport};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut store = ReportStore::default();
/// let ready = TargetReport {
///     id: "i-7f3a".into(),
///     service: "order-desk".into(),
///     address: "127.0.0.1:8080".parse().unwrap(),
///     zone: "celje".into(),
///     slots: 6,
///     presence: Presence::Ready,
///     started_ms: 1_700_000_000_000,
///     sequence: 1,
///     cold: Duration::ZERO,
/// };
/// assert_eq!(store.record_target(ready.clone(), now), ReportEffect::Changed);
/// assert_eq!(store.record_target(ready, now), ReportEffect::Stale);
/// assert_eq!(store.targets().count(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReportStore {
    targets: BTreeMap<String, TargetRow>,
    entries: BTreeMap<String, Received<EntryReport>>,
    /// Reports of agents about slow targets, by the target's address.
    slow: BTreeMap<SocketAddr, Received<TargetSpeed>>,
}

/// The latest report of a target.
#[derive(Clone, Debug)]
struct TargetRow {
    /// Its `cold` is as of when the target last turned cold.
    report: TargetReport,
    received_at: Instant,
    cold_until: Instant,
}

/// A report and when it was received here.
#[derive(Clone, Debug)]
struct Received<T> {
    report: T,
    received_at: Instant,
}

impl ReportStore {
    /// Records the report of a target, whichever path it came on.
    pub fn record_target(&mut self, report: TargetReport, now: Instant) -> ReportEffect {
        if let Some(row) = self.targets.get_mut(&report.id) {
            if row.report.order() >= report.order() {
                return ReportEffect::Stale;
            }
            if same_target(&row.report, &report) && !row.turns_cold(&report, now) {
                row.report.sequence = report.sequence;
                row.received_at = now;
                return ReportEffect::Refreshed;
            }
        }
        if self.is_superseded(&report, now) {
            return ReportEffect::Stale;
        }
        if report.presence != Presence::Gone {
            self.mark_replaced(&report);
        }
        let row = TargetRow {
            cold_until: now + report.cold,
            report,
            received_at: now,
        };
        self.targets.insert(row.report.id.clone(), row);
        ReportEffect::Changed
    }

    /// Records that an incarnation of a target that accepts work has announced itself
    /// again, unchanged, with a report of this number.
    ///
    /// ```
    /// # use member::{AliveEffect, Presence, ReportStore, TargetReport};
    /// # use std::time::Instant;
    /// # let now = Instant::now();
    /// # let mut store = ReportStore::default();
    /// # store.record_target(TargetReport {
    /// #     id: "i-7f3a".into(), service: "order-desk".into(), zone: "celje".into(),
    /// #     address: "127.0.0.1:8080".parse().unwrap(), slots: 6,
    /// #     presence: Presence::Ready, started_ms: 1_700_000_000_000, sequence: 1,
    /// #     cold: std::time::Duration::ZERO,
    /// # }, now);
    /// let started_ms = 1_700_000_000_000;
    /// assert_eq!(store.record_alive("i-7f3a", started_ms, 2, now), AliveEffect::Refreshed);
    /// assert_eq!(store.record_alive("i-7f3a", started_ms, 2, now), AliveEffect::Stale);
    /// assert_eq!(store.record_alive("i-7f3a", started_ms + 1, 1, now), AliveEffect::Missed);
    /// assert_eq!(store.record_alive("i-0001", started_ms, 1, now), AliveEffect::Missed);
    /// ```
    pub fn record_alive(
        &mut self,
        id: &str,
        started_ms: u64,
        sequence: u64,
        now: Instant,
    ) -> AliveEffect {
        let Some(row) = self.targets.get_mut(id) else {
            return AliveEffect::Missed;
        };
        if row.report.order() >= (started_ms, sequence) {
            return AliveEffect::Stale;
        }
        // The number is left as it is: with the new one, the missed report would be
        // taken for an earlier one when it arrives.
        if row.report.started_ms != started_ms || row.report.presence != Presence::Ready {
            return AliveEffect::Missed;
        }
        row.report.sequence = sequence;
        row.received_at = now;
        AliveEffect::Refreshed
    }

    /// The targets that accept work and have been silent for a time in this range, in the
    /// order of their identifiers from the first one after `after`.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let store = member::ReportStore::default();
    /// let silence = Duration::from_secs(3)..Duration::from_secs(10);
    /// assert_eq!(store.silent_targets("", silence, Instant::now()).count(), 0);
    /// ```
    pub fn silent_targets(
        &self,
        after: &str,
        silence: Range<Duration>,
        now: Instant,
    ) -> impl Iterator<Item = &TargetReport> {
        let bounds = (Bound::Excluded(after), Bound::Unbounded);
        let rows = self.targets.range::<str, _>(bounds);
        rows.filter(move |(_, row)| {
            row.report.presence == Presence::Ready
                && silence.contains(&now.saturating_duration_since(row.received_at))
        })
        .map(|(_, row)| &row.report)
    }

    /// Returns the latest report of a target as of `now` if it is later than the one with
    /// this start time and number.
    ///
    /// ```
    /// # use std::time::Instant;
    /// let store = member::ReportStore::default();
    /// assert!(store.report_after("i-7f3a", (0, 0), Instant::now()).is_none());
    /// ```
    #[must_use]
    pub fn report_after(&self, id: &str, order: (u64, u64), now: Instant) -> Option<TargetReport> {
        self.report_at(id, now)
            .filter(|report| report.order() > order)
    }

    /// Records that a target has left, given its identifier and, if known, the start
    /// time of its incarnation in Unix milliseconds. Without one, the known incarnation
    /// has left. Returns the resulting report, or `None` if the target is unknown or a
    /// later incarnation of it is known.
    pub fn record_departure(
        &mut self,
        id: &str,
        started_ms: Option<u64>,
        now: Instant,
    ) -> Option<TargetReport> {
        let row = self.targets.get_mut(id)?;
        if started_ms.is_some_and(|started_ms| started_ms < row.report.started_ms) {
            return None;
        }
        row.report.started_ms = started_ms.unwrap_or(row.report.started_ms);
        // No earlier report of this incarnation may supersede its departure.
        row.report.sequence = DEPARTED;
        row.report.presence = Presence::Gone;
        row.received_at = now;
        Some(row.report.clone())
    }

    /// Records the report of an entry.
    pub fn record_entry(&mut self, report: EntryReport, now: Instant) -> ReportEffect {
        let effect = match self.entries.get(&report.name) {
            Some(row) if row.report.order() >= report.order() => return ReportEffect::Stale,
            Some(row) if same_entry(&row.report, &report) => ReportEffect::Refreshed,
            _ => ReportEffect::Changed,
        };
        let row = Received {
            report,
            received_at: now,
        };
        self.entries.insert(row.report.name.clone(), row);
        effect
    }

    /// Records the speed of a target that its agent reports.
    ///
    /// ```
    /// use member::{ReportStore, TargetSpeed};
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let address = "127.0.0.1:8080".parse().unwrap();
    /// let mut store = ReportStore::default();
    /// assert_eq!(store.slowdown(address, now), 1.0);
    /// store.record_speed(TargetSpeed { address, slowdown: 4.0 }, now);
    /// assert_eq!(store.slowdown(address, now), 4.0);
    /// assert_eq!(store.slowdown(address, now + TargetSpeed::VALIDITY), 1.0);
    /// ```
    pub fn record_speed(&mut self, report: TargetSpeed, now: Instant) {
        self.slow.retain(|_, row| {
            now.saturating_duration_since(row.received_at) < TargetSpeed::VALIDITY
        });
        if report.slowdown > 1.0 {
            self.slow.insert(
                report.address,
                Received {
                    report,
                    received_at: now,
                },
            );
        } else {
            self.slow.remove(&report.address);
        }
    }

    /// Processing time of the target at an address as a multiple of the usual one;
    /// 1.0 if no slowdown is reported.
    #[must_use]
    pub fn slowdown(&self, address: SocketAddr, now: Instant) -> f64 {
        let row = self.slow.get(&address);
        let row = row
            .filter(|row| now.saturating_duration_since(row.received_at) < TargetSpeed::VALIDITY);
        row.map_or(1.0, |row| row.report.slowdown)
    }

    /// Returns the latest report of each target and when it was received. The time for
    /// which a target is cold is as of when it turned cold.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetReport, Instant)> {
        self.targets
            .values()
            .map(|row| (&row.report, row.received_at))
    }

    /// Until when the target with this identifier is cold, if it is known.
    ///
    /// ```
    /// let store = member::ReportStore::default();
    /// assert!(store.cold_until("i-7f3a").is_none());
    /// ```
    #[must_use]
    pub fn cold_until(&self, id: &str) -> Option<Instant> {
        self.targets.get(id).map(|row| row.cold_until)
    }

    /// Returns the latest report of the target with this identifier, as of `now`.
    ///
    /// ```
    /// # use std::time::Instant;
    /// let store = member::ReportStore::default();
    /// assert!(store.report_at("i-7f3a", Instant::now()).is_none());
    /// ```
    #[must_use]
    pub fn report_at(&self, id: &str, now: Instant) -> Option<TargetReport> {
        let row = self.targets.get(id)?;
        Some(TargetReport {
            cold: row.cold_until.saturating_duration_since(now),
            ..row.report.clone()
        })
    }

    /// Returns the latest report of the target with this identifier.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&TargetReport> {
        self.targets.get(id).map(|row| &row.report)
    }

    /// Returns the latest report of each entry and when it was received.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryReport, Instant)> {
        self.entries
            .values()
            .map(|row| (&row.report, row.received_at))
    }

    /// Removes targets and entries that have not reported for `max_silence`, and targets
    /// that left longer than two minutes ago.
    pub fn remove_silent(&mut self, max_silence: Duration, now: Instant) {
        let silence = |received_at: Instant| now.saturating_duration_since(received_at);
        self.targets.retain(|_, row| {
            let retention = match row.report.presence {
                Presence::Gone => DEPARTED_RETENTION,
                Presence::Ready | Presence::Draining => max_silence,
            };
            silence(row.received_at) < retention
        });
        self.entries
            .retain(|_, row| silence(row.received_at) < max_silence);
    }

    /// Whether a later process uses the address, or did until it left. A report that an
    /// interrupted link delayed may arrive after its sender has crashed and its address was
    /// assigned to another service, and requests would go to the wrong service.
    fn is_superseded(&self, report: &TargetReport, now: Instant) -> bool {
        let mut others = self.targets.values();
        others.any(|row| {
            let other = &row.report;
            other.address == report.address
                && other.id != report.id
                && other.started_ms > report.started_ms
                && row.claims_address(now)
        })
    }

    /// Marks earlier processes at the address as gone. They return with their next reports
    /// if this one falls silent.
    fn mark_replaced(&mut self, report: &TargetReport) {
        for row in self.targets.values_mut() {
            let other = &mut row.report;
            if other.address == report.address
                && other.id != report.id
                && other.started_ms <= report.started_ms
            {
                other.presence = Presence::Gone;
            }
        }
    }
}

impl TargetRow {
    /// Whether earlier processes at the target's address have ended.
    fn claims_address(&self, now: Instant) -> bool {
        match self.report.presence {
            Presence::Gone => self.report.sequence == DEPARTED,
            Presence::Ready | Presence::Draining => {
                now.saturating_duration_since(self.received_at) < ADDRESS_CLAIM
            }
        }
    }

    /// Whether the target is cold for longer than its earlier reports said.
    fn turns_cold(&self, report: &TargetReport, now: Instant) -> bool {
        now + report.cold > self.cold_until + COLD_REPORT_DELAY && !report.cold.is_zero()
    }
}

/// Whether two reports of a target differ only in the sequence number and in the time for
/// which it is cold.
fn same_target(known: &TargetReport, report: &TargetReport) -> bool {
    let report = TargetReport {
        sequence: known.sequence,
        cold: known.cold,
        ..report.clone()
    };
    *known == report
}

fn same_entry(known: &EntryReport, report: &EntryReport) -> bool {
    let report = EntryReport {
        sequence: known.sequence,
        ..report.clone()
    };
    *known == report
}
