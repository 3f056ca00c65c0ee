//! What targets and entries tell of themselves, newest first.

use crate::{EntryReport, Presence, ReportEffect, TargetReport, TargetSpeed};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long the word of a target that has left is kept. A check-in of it that
/// was held up on its way could bring it back otherwise; the longest delays
/// seen are those of links that were cut, some tens of seconds.
const GONE_KEPT: Duration = Duration::from_mins(2);

/// Soft state of each replica and entry: the newest word of each target and
/// each entry.
///
/// What is told is ordered by incarnation, then by sequence, so that it may
/// come on any way, late and more than once, and all boards end up equal.
///
/// ```
/// use member::{ReportStore, ReportEffect, Presence, TargetReport};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut board = ReportStore::default();
/// let ready = TargetReport {
///     id: "i-7f3a".into(),
///     service: "order-desk".into(),
///     address: "127.0.0.1:8080".parse().unwrap(),
///     zone: "celje".into(),
///     slots: 6,
///     presence: Presence::Ready,
///     started_ms: 1_700_000_000_000,
///     sequence: 1,
/// };
/// assert_eq!(board.record_target(ready.clone(), now), ReportEffect::Changed);
/// assert_eq!(board.record_target(ready, now), ReportEffect::Stale);
/// assert_eq!(board.targets().count(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReportStore {
    targets: BTreeMap<String, Row<TargetReport>>,
    entries: BTreeMap<String, Row<EntryReport>>,
    /// What agents report of targets that are slow.
    slow: BTreeMap<SocketAddr, Row<TargetSpeed>>,
}

/// What was told, and when it was heard here.
#[derive(Clone, Debug)]
struct Row<T> {
    told: T,
    heard: Instant,
}

impl ReportStore {
    /// Takes what a target tells of itself, on whatever way it came.
    pub fn record_target(&mut self, told: TargetReport, now: Instant) -> ReportEffect {
        if self.is_superseded(&told) {
            return ReportEffect::Stale;
        }
        let heard = match self.targets.get(&told.id) {
            Some(row) if row.told.order() >= told.order() => return ReportEffect::Stale,
            Some(row) if same_place(&row.told, &told) => ReportEffect::Refreshed,
            _ => ReportEffect::Changed,
        };
        if told.presence != Presence::Gone {
            self.displace(&told);
        }
        let row = Row { told, heard: now };
        self.targets.insert(row.told.id.clone(), row);
        heard
    }

    /// Takes the word that a target has left, where only its id is told. Its
    /// incarnation is the one that is known, if it isn't told either.
    pub fn record_departure(
        &mut self,
        id: &str,
        started_ms: Option<u64>,
        now: Instant,
    ) -> Option<TargetReport> {
        let row = self.targets.get_mut(id)?;
        if started_ms.is_some_and(|started_ms| started_ms < row.told.started_ms) {
            return None;
        }
        row.told.started_ms = started_ms.unwrap_or(row.told.started_ms);
        // Nothing that this incarnation said before comes after it.
        row.told.sequence = u64::MAX;
        row.told.presence = Presence::Gone;
        row.heard = now;
        Some(row.told.clone())
    }

    /// Takes what an entry tells of itself.
    pub fn record_entry(&mut self, told: EntryReport, now: Instant) -> ReportEffect {
        let heard = match self.entries.get(&told.name) {
            Some(row) if row.told.order() >= told.order() => return ReportEffect::Stale,
            Some(row) if same_entry(&row.told, &told) => ReportEffect::Refreshed,
            _ => ReportEffect::Changed,
        };
        let row = Row { told, heard: now };
        self.entries.insert(row.told.name.clone(), row);
        heard
    }

    /// Takes what an agent reports of its target's speed.
    ///
    /// ```
    /// use member::{ReportStore, TargetSpeed};
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let address = "127.0.0.1:8080".parse().unwrap();
    /// let mut board = ReportStore::default();
    /// assert_eq!(board.slowdown(address, now), 1.0);
    /// board.record_speed(TargetSpeed { address, slowdown: 4.0 }, now);
    /// assert_eq!(board.slowdown(address, now), 4.0);
    /// assert_eq!(board.slowdown(address, now + TargetSpeed::VALIDITY), 1.0);
    /// ```
    pub fn record_speed(&mut self, told: TargetSpeed, now: Instant) {
        self.slow
            .retain(|_, row| now.saturating_duration_since(row.heard) < TargetSpeed::VALIDITY);
        if told.slowdown > 1.0 {
            self.slow.insert(told.address, Row { told, heard: now });
        } else {
            self.slow.remove(&told.address);
        }
    }

    /// How many times longer than usual the target at an address takes.
    #[must_use]
    pub fn slowdown(&self, address: SocketAddr, now: Instant) -> f64 {
        let row = self.slow.get(&address);
        let row =
            row.filter(|row| now.saturating_duration_since(row.heard) < TargetSpeed::VALIDITY);
        row.map_or(1.0, |row| row.told.slowdown)
    }

    /// All targets that were ever heard and not forgotten, and when they were.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetReport, Instant)> {
        self.targets.values().map(|row| (&row.told, row.heard))
    }

    /// The target of that id.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&TargetReport> {
        self.targets.get(id).map(|row| &row.told)
    }

    /// All entries, and when they were heard.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryReport, Instant)> {
        self.entries.values().map(|row| (&row.told, row.heard))
    }

    /// Forgets targets and entries that have been silent for `within`, and
    /// those that left long ago.
    pub fn remove_silent(&mut self, within: Duration, now: Instant) {
        let silent = |heard: Instant| now.saturating_duration_since(heard);
        self.targets.retain(|_, row| {
            let keep = match row.told.presence {
                Presence::Gone => GONE_KEPT,
                Presence::Ready | Presence::Draining => within,
            };
            silent(row.heard) < keep
        });
        self.entries.retain(|_, row| silent(row.heard) < within);
    }

    /// Whether a later process has the address. A check-in that was held up
    /// behind a cut may arrive after its sender has crashed and the address
    /// was given to another service: requests would go to the wrong one.
    fn is_superseded(&self, told: &TargetReport) -> bool {
        let mut others = self.targets.values().map(|row| &row.told);
        others.any(|other| {
            other.address == told.address
                && other.id != told.id
                && other.presence != Presence::Gone
                && other.started_ms > told.started_ms
        })
    }

    /// Marks earlier processes at the address as gone.
    fn displace(&mut self, told: &TargetReport) {
        for row in self.targets.values_mut() {
            let other = &mut row.told;
            if other.address == told.address
                && other.id != told.id
                && other.started_ms <= told.started_ms
            {
                other.presence = Presence::Gone;
                other.sequence = u64::MAX;
            }
        }
    }
}

/// Whether nothing changed but the count and, perhaps, the incarnation's word.
fn same_place(known: &TargetReport, told: &TargetReport) -> bool {
    let told = TargetReport {
        sequence: known.sequence,
        ..told.clone()
    };
    *known == told
}

fn same_entry(known: &EntryReport, told: &EntryReport) -> bool {
    let told = EntryReport {
        sequence: known.sequence,
        ..told.clone()
    };
    *known == told
}
