//! What targets and entries tell of themselves, newest first.

use crate::{Entrance, Heard, Presence, Sighting, TargetSpeed};
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
/// use member::{Board, Heard, Presence, Sighting};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut board = Board::default();
/// let ready = Sighting {
///     id: "i-7f3a".into(),
///     service: "order-desk".into(),
///     address: "127.0.0.1:8080".parse().unwrap(),
///     zone: "celje".into(),
///     slots: 6,
///     presence: Presence::Ready,
///     born: 1_700_000_000_000,
///     sequence: 1,
/// };
/// assert_eq!(board.hear(ready.clone(), now), Heard::News);
/// assert_eq!(board.hear(ready, now), Heard::Stale);
/// assert_eq!(board.targets().count(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Board {
    targets: BTreeMap<String, Row<Sighting>>,
    entrances: BTreeMap<String, Row<Entrance>>,
    /// What agents report of targets that are slow.
    slow: BTreeMap<SocketAddr, Row<TargetSpeed>>,
}

/// What was told, and when it was heard here.
#[derive(Clone, Debug)]
struct Row<T> {
    told: T,
    heard: Instant,
}

impl Board {
    /// Takes what a target tells of itself, on whatever way it came.
    pub fn hear(&mut self, told: Sighting, now: Instant) -> Heard {
        if self.is_superseded(&told) {
            return Heard::Stale;
        }
        let heard = match self.targets.get(&told.id) {
            Some(row) if row.told.order() >= told.order() => return Heard::Stale,
            Some(row) if same_place(&row.told, &told) => Heard::Again,
            _ => Heard::News,
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
    pub fn leave(&mut self, id: &str, born: Option<u64>, now: Instant) -> Option<Sighting> {
        let row = self.targets.get_mut(id)?;
        if born.is_some_and(|born| born < row.told.born) {
            return None;
        }
        row.told.born = born.unwrap_or(row.told.born);
        // Nothing that this incarnation said before comes after it.
        row.told.sequence = u64::MAX;
        row.told.presence = Presence::Gone;
        row.heard = now;
        Some(row.told.clone())
    }

    /// Takes what an entry tells of itself.
    pub fn hear_entrance(&mut self, told: Entrance, now: Instant) -> Heard {
        let heard = match self.entrances.get(&told.name) {
            Some(row) if row.told.order() >= told.order() => return Heard::Stale,
            Some(row) if same_entrance(&row.told, &told) => Heard::Again,
            _ => Heard::News,
        };
        let row = Row { told, heard: now };
        self.entrances.insert(row.told.name.clone(), row);
        heard
    }

    /// Takes what an agent reports of its target's speed.
    ///
    /// ```
    /// use member::{Board, TargetSpeed};
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let address = "127.0.0.1:8080".parse().unwrap();
    /// let mut board = Board::default();
    /// assert_eq!(board.slowdown(address, now), 1.0);
    /// board.hear_speed(TargetSpeed { address, slowdown: 4.0 }, now);
    /// assert_eq!(board.slowdown(address, now), 4.0);
    /// assert_eq!(board.slowdown(address, now + TargetSpeed::HOLDS), 1.0);
    /// ```
    pub fn hear_speed(&mut self, told: TargetSpeed, now: Instant) {
        self.slow
            .retain(|_, row| now.saturating_duration_since(row.heard) < TargetSpeed::HOLDS);
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
        let row = row.filter(|row| now.saturating_duration_since(row.heard) < TargetSpeed::HOLDS);
        row.map_or(1.0, |row| row.told.slowdown)
    }

    /// All targets that were ever heard and not forgotten, and when they were.
    pub fn targets(&self) -> impl Iterator<Item = (&Sighting, Instant)> {
        self.targets.values().map(|row| (&row.told, row.heard))
    }

    /// The target of that id.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&Sighting> {
        self.targets.get(id).map(|row| &row.told)
    }

    /// All entries, and when they were heard.
    pub fn entrances(&self) -> impl Iterator<Item = (&Entrance, Instant)> {
        self.entrances.values().map(|row| (&row.told, row.heard))
    }

    /// Forgets targets and entries that have been silent for `within`, and
    /// those that left long ago.
    pub fn forget(&mut self, within: Duration, now: Instant) {
        let silent = |heard: Instant| now.saturating_duration_since(heard);
        self.targets.retain(|_, row| {
            let keep = match row.told.presence {
                Presence::Gone => GONE_KEPT,
                Presence::Ready | Presence::Draining => within,
            };
            silent(row.heard) < keep
        });
        self.entrances.retain(|_, row| silent(row.heard) < within);
    }

    /// Whether a later process has the address. A check-in that was held up
    /// behind a cut may arrive after its sender has crashed and the address
    /// was given to another service: requests would go to the wrong one.
    fn is_superseded(&self, told: &Sighting) -> bool {
        let mut others = self.targets.values().map(|row| &row.told);
        others.any(|other| {
            other.address == told.address
                && other.id != told.id
                && other.presence != Presence::Gone
                && other.born > told.born
        })
    }

    /// Marks earlier processes at the address as gone.
    fn displace(&mut self, told: &Sighting) {
        for row in self.targets.values_mut() {
            let other = &mut row.told;
            if other.address == told.address && other.id != told.id && other.born <= told.born {
                other.presence = Presence::Gone;
                other.sequence = u64::MAX;
            }
        }
    }
}

/// Whether nothing changed but the count and, perhaps, the incarnation's word.
fn same_place(known: &Sighting, told: &Sighting) -> bool {
    let told = Sighting {
        sequence: known.sequence,
        ..told.clone()
    };
    *known == told
}

fn same_entrance(known: &Entrance, told: &Entrance) -> bool {
    let told = Entrance {
        sequence: known.sequence,
        ..told.clone()
    };
    *known == told
}
