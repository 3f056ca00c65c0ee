//! What a watcher holds.

use crate::watcher::Decode;
use member::{Board, Entrance, Heard, Presence, TargetSpeed};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use table::Table;
use tokio::sync::watch;
use wire::proto::{RouteTable, Sightings};
use wire::{sighting_from_proto, target_speed_from_proto};

/// How long the word of a silent target is kept. It takes no work by then; its
/// last word may still be news to nobody else.
const FORGOTTEN: Duration = Duration::from_mins(1);

/// What a watcher holds of control.
pub struct Watched {
    decode: Decode,
    table: Mutex<Option<Arc<Table>>>,
    board: Mutex<Board>,
    here: watch::Sender<Entrance>,
    replicas: watch::Sender<BTreeSet<SocketAddr>>,
    /// Ticks at each change of table or board.
    changed: watch::Sender<u64>,
}

/// A target that was heard of, as far as its own words go.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownTarget {
    /// What it told.
    pub told: member::Sighting,
    /// How many times longer than usual it takes for its work, as the agent
    /// beside it reports.
    pub slowdown: f64,
    /// When this was heard here.
    pub heard: Instant,
}

impl Watched {
    pub(crate) fn new(here: Entrance, decode: Decode) -> Watched {
        Watched {
            decode,
            table: Mutex::default(),
            board: Mutex::default(),
            here: watch::Sender::new(here),
            replicas: watch::Sender::default(),
            changed: watch::Sender::new(0),
        }
    }

    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        lock(&self.table).clone()
    }

    /// Ticks at each change of the table or of a target.
    #[must_use]
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The targets that haven't left, and when they were heard.
    #[must_use]
    pub fn targets(&self, now: Instant) -> Vec<KnownTarget> {
        let board = lock(&self.board);
        let here = board
            .targets()
            .filter(|(told, _)| told.presence != Presence::Gone);
        let known = here.map(|(told, heard)| KnownTarget {
            told: told.clone(),
            slowdown: board.slowdown(told.address, now),
            heard,
        });
        known.collect()
    }

    /// Takes a table with a higher number than the one that is held.
    pub(crate) fn take_table(&self, told: &RouteTable) {
        let held = self.table().map_or(0, |table| table.number());
        if told.number <= held {
            return;
        }
        let table = match (self.decode)(&told.source) {
            Ok(table) => Arc::new(table),
            Err(findings) => {
                // It was checked before it was accepted, by the same function.
                log::error!(table = told.number; "can't read the route table: {findings}");
                return;
            }
        };
        {
            let mut held = lock(&self.table);
            if held
                .as_ref()
                .is_some_and(|held| held.number() >= told.number)
            {
                return;
            }
            *held = Some(table);
        }
        log::info!(table = told.number; "route table in force here");
        self.tell(|here| here.table = here.table.max(told.number));
        self.tick();
    }

    pub(crate) fn take_sightings(&self, told: Sightings, now: Instant) {
        let mut news = false;
        let mut board = lock(&self.board);
        for told in told.targets.into_iter().filter_map(sighting_from_proto) {
            let (id, presence) = (told.id.clone(), told.presence);
            let heard = board.hear(told, now);
            if heard == Heard::News {
                log::info!(target_id = id.as_str(); "target is {presence:?}");
            }
            news |= heard != Heard::Stale;
        }
        for told in told.speeds.iter().filter_map(target_speed_from_proto) {
            news |= take_speed(&mut board, told, now);
        }
        board.forget(FORGOTTEN, now);
        drop(board);
        if news {
            self.tick();
        }
    }

    pub(crate) fn take_replicas(&self, named: &[String]) {
        let named: BTreeSet<SocketAddr> = named.iter().filter_map(|a| a.parse().ok()).collect();
        if named.is_empty() {
            return;
        }
        self.replicas.send_if_modified(|known| {
            let news = *known != named;
            *known = named;
            news
        });
    }

    pub(crate) fn replicas(&self) -> watch::Receiver<BTreeSet<SocketAddr>> {
        self.replicas.subscribe()
    }

    pub(crate) fn here(&self) -> watch::Receiver<Entrance> {
        self.here.subscribe()
    }

    /// Changes what this entry tells of itself; it is reported at once.
    pub(crate) fn tell(&self, change: impl FnOnce(&mut Entrance)) {
        self.here.send_modify(change);
    }

    /// What the entry tells now, numbered; a number is used once.
    pub(crate) fn next_word(&self) -> Entrance {
        let mut word = None;
        self.here.send_if_modified(|here| {
            here.sequence += 1;
            word = Some(here.clone());
            false
        });
        word.unwrap_or_else(|| self.here.borrow().clone())
    }

    fn tick(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// Whether a target's speed is another one now.
fn take_speed(board: &mut Board, told: TargetSpeed, now: Instant) -> bool {
    let before = board.slowdown(told.address, now);
    board.hear_speed(told, now);
    let slowdown = board.slowdown(told.address, now);
    let news = (slowdown - before).abs() > f64::EPSILON;
    if news {
        log::info!(
            address:display = told.address, before = before, slowdown = slowdown;
            "speed of a target changed"
        );
    }
    news
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Nothing under these locks can panic half-way.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
