//! The board of this replica, and who is told of what is new on it.

use crate::asker::Directory;
use crate::replicas::Replicas;
use crate::target_cache::TargetCache;
use futures_util::future::join_all;
use member::{Board, Entrance, Heard, Presence, Sighting};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, timeout};
use wire::proto::frame::Body;
use wire::proto::{Report, Reported, RouteTable, Sightings, SightingsTaken};
use wire::{Link, entrance_from_proto, entrance_to_proto, sighting_from_proto, sighting_to_proto};

/// How often entries and other replicas are told who was heard again. Targets
/// check in every second or so; a shorter time would tell the same twice.
const REFRESH: Duration = Duration::from_secs(1);
/// Silence after which targets and entries are forgotten: five check-ins of a
/// target that were lost or late, one after the other.
const FORGOTTEN: Duration = Duration::from_secs(7);
/// Silence after which callers are no longer sent to an entry: five reports.
const ENTRANCE_SILENT: Duration = Duration::from_millis(2_500);
/// Wait for entries and replicas to confirm that a target leaves.
const SPREAD_WITHIN: Duration = Duration::from_millis(400);
/// Wait for all entries to go by a new table. One that stands still must not
/// hold up an operator, who asks elsewhere after a second.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(500);

/// The board of this replica, and who is told of what is new on it; clones
/// share one.
#[derive(Clone)]
pub(crate) struct Hub {
    shared: Arc<Shared>,
}

struct Shared {
    board: Mutex<Board>,
    /// Links of the entries that report here.
    entries: Mutex<Vec<Link>>,
    /// Targets that were heard again since the last refresh.
    again: Mutex<BTreeSet<String>>,
    directory: Directory,
    replicas: watch::Receiver<Replicas>,
    table: watch::Receiver<RouteTable>,
    /// The targets on disk, and whether a write is due or under way.
    cache: TargetCache,
    caching: Mutex<Caching>,
    /// Ticks at each report of an entry.
    reported: watch::Sender<u64>,
}

impl Hub {
    pub(crate) fn new(
        directory: Directory,
        replicas: watch::Receiver<Replicas>,
        table: watch::Receiver<RouteTable>,
        cache: TargetCache,
    ) -> Hub {
        let mut board = Board::default();
        let now = Instant::now();
        for told in cache.read().into_iter().filter_map(sighting_from_proto) {
            log::info!(target_id = told.id.as_str(); "target known from before the start");
            board.hear(told, now);
        }
        let shared = Shared {
            board: Mutex::new(board),
            entries: Mutex::default(),
            again: Mutex::default(),
            directory,
            replicas,
            table,
            cache,
            caching: Mutex::default(),
            reported: watch::Sender::new(0),
        };
        Hub {
            shared: Arc::new(shared),
        }
    }

    /// Tells entries of new tables, and from time to time who was heard.
    pub(crate) async fn run(self) {
        let mut table = self.shared.table.clone();
        let mut refresh = interval(REFRESH);
        refresh.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = refresh.tick() => self.refresh().await,
                changed = table.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let newest = table.borrow_and_update().clone();
                    send_all(&self.entries(), &Body::RouteTable(newest)).await;
                }
            }
        }
    }

    /// Takes the report of an entry. A new link is told all that is known.
    pub(crate) async fn report(&self, report: Report, call: u64, link: &Link) {
        let known = lock(&self.shared.entries).iter().any(|l| same(l, link));
        if !known {
            self.entry_up(link).await;
        }
        if let Some(told) = report.entrance.and_then(entrance_from_proto) {
            let heard = self.board().hear_entrance(told.clone(), Instant::now());
            if heard == Heard::News {
                log::info!(
                    entry = told.name.as_str(), open = told.open, table = told.table;
                    "entry reported"
                );
            }
            self.shared.reported.send_modify(|count| *count += 1);
        }
        let addresses = self.shared.replicas.borrow().addresses.clone();
        let reported = Reported {
            replicas: addresses.iter().map(ToString::to_string).collect(),
        };
        reply(link, call, Body::Reported(reported)).await;
    }

    async fn entry_up(&self, link: &Link) {
        lock(&self.shared.entries).push(link.clone());
        let table = self.shared.table.borrow().clone();
        let targets = self
            .board()
            .targets()
            .map(|(told, _)| sighting_to_proto(told))
            .collect();
        let board = self::targets(targets);
        for body in [Body::RouteTable(table), board] {
            if let Err(e) = link.send(body).await {
                log::debug!("entry {} is gone again: {e}", link.peer().name);
            }
        }
    }

    /// Takes what another replica or an agent tells, and passes on what is new
    /// of it.
    pub(crate) async fn take(&self, told: Sightings, call: u64, link: &Link) {
        let now = Instant::now();
        let mut news = Vec::new();
        for told in told.targets.into_iter().filter_map(sighting_from_proto) {
            match self.board().hear(told.clone(), now) {
                Heard::News => {
                    *lock(&self.shared.caching) = Caching::Due;
                    news.push(sighting_to_proto(&told));
                }
                Heard::Again => drop(lock(&self.shared.again).insert(told.id)),
                Heard::Stale => {}
            }
        }
        for told in told.entrances.into_iter().filter_map(entrance_from_proto) {
            self.board().hear_entrance(told, now);
        }
        if !news.is_empty() {
            send_all(&self.entries(), &targets(news)).await;
        }
        if !told.speeds.is_empty() {
            // Entries hear of them from each replica that an agent reaches.
            let speeds = Body::Sightings(Sightings {
                speeds: told.speeds,
                ..Sightings::default()
            });
            send_all(&self.entries(), &speeds).await;
        }
        reply(link, call, Body::SightingsTaken(SightingsTaken {})).await;
    }

    /// Takes what a target tells of itself. Returns false if it must not be
    /// acknowledged: neither all entries here nor a majority of replicas have
    /// confirmed that it takes no more work.
    pub(crate) async fn hear(&self, told: Sighting) -> bool {
        let heard = self.board().hear(told.clone(), Instant::now());
        match heard {
            Heard::News => self.note(&told),
            Heard::Again => drop(lock(&self.shared.again).insert(told.id.clone())),
            Heard::Stale => {}
        }
        if told.presence != Presence::Ready {
            // Said again, too: that it is known here says nothing of whether
            // the others confirmed it.
            return self.spread(&told).await;
        }
        // That a target takes work may reach the others when it will.
        if heard == Heard::News {
            let hub = self.clone();
            tokio::spawn(async move { hub.spread(&told).await });
        }
        true
    }

    /// Takes the word that a target has left; as [`Hub::hear`]. One that isn't
    /// known here is not acknowledged, so that it asks a replica that can tell
    /// the others.
    pub(crate) async fn leave(&self, id: &str, born: Option<u64>) -> bool {
        let (told, is_known) = {
            let mut board = self.board();
            let told = board.leave(id, born, Instant::now());
            (told, board.target(id).is_some())
        };
        let Some(told) = told else {
            log::info!(target_id = id, known = is_known; "target that left is not the one known");
            return is_known;
        };
        self.note(&told);
        self.spread(&told).await
    }

    fn note(&self, told: &Sighting) {
        *lock(&self.shared.caching) = Caching::Due;
        log::info!(
            target_id = told.id.as_str(), service = told.service.as_str(),
            address:display = told.address, born = told.born;
            "target told that it is {:?}", told.presence
        );
    }

    async fn spread(&self, told: &Sighting) -> bool {
        let news = targets(vec![sighting_to_proto(told)]);
        let entries = self.entries();
        let replicas = self.shared.directory.all();
        let confirm = |link: Link| {
            let news = news.clone();
            async move { link.call(news, SPREAD_WITHIN).await.is_ok() }
        };
        let by_entries = async {
            let confirmed = join_all(entries.iter().cloned().map(confirm)).await;
            !confirmed.is_empty() && confirmed.iter().all(|confirmed| *confirmed)
        };
        let by_replicas = async {
            let confirmed = join_all(replicas.into_iter().map(confirm)).await;
            confirmed.iter().filter(|confirmed| **confirmed).count() + 1
        };
        let majority = self.shared.replicas.borrow().majority();
        let (all_entries, replicas) = tokio::join!(by_entries, by_replicas);
        let held = all_entries || replicas >= majority;
        if !held && told.presence != Presence::Ready {
            log::warn!(
                target_id = told.id.as_str(), replicas = replicas, majority = majority;
                "word of a target isn't confirmed, and not acknowledged"
            );
        }
        held
    }

    async fn refresh(&self) {
        let again = std::mem::take(&mut *lock(&self.shared.again));
        let (rows, entrances) = {
            let mut board = self.board();
            board.forget(FORGOTTEN, Instant::now());
            let rows = again.iter().filter_map(|id| board.target(id));
            let rows: Vec<_> = rows.map(sighting_to_proto).collect();
            let entrances = board.entrances().map(|(told, _)| entrance_to_proto(told));
            (rows, entrances.collect())
        };
        self.cache_targets();
        if !rows.is_empty() {
            send_all(&self.entries(), &targets(rows.clone())).await;
        }
        let all = Body::Sightings(Sightings {
            targets: rows,
            entrances,
            ..Sightings::default()
        });
        send_all(&self.shared.directory.all(), &all).await;
    }

    /// Brings the file of targets up to date, on a thread of its own: a disk
    /// that hangs must not keep this replica from answering.
    fn cache_targets(&self) {
        {
            let mut caching = lock(&self.shared.caching);
            if *caching != Caching::Due {
                return;
            }
            *caching = Caching::Underway;
        }
        let here = |told: &Sighting| told.presence != Presence::Gone;
        let board = self.board();
        let targets = board.targets().map(|(told, _)| told);
        let rows = targets
            .filter(|told| here(told))
            .map(sighting_to_proto)
            .collect();
        drop(board);
        let hub = self.clone();
        tokio::task::spawn_blocking(move || {
            if let Err(e) = hub.shared.cache.write(rows) {
                log::warn!("targets aren't kept on disk: {e}");
            }
            let mut caching = lock(&hub.shared.caching);
            if *caching == Caching::Underway {
                *caching = Caching::Done;
            }
        });
    }

    /// Resolves once every entry that reports goes by this table or a later
    /// one, or the wait is over.
    pub(crate) async fn in_force(&self, number: u64) {
        let mut reported = self.shared.reported.subscribe();
        let everywhere = async {
            while !self.is_in_force(number) {
                if reported.changed().await.is_err() {
                    return;
                }
            }
        };
        if timeout(IN_FORCE_WITHIN, everywhere).await.is_err() {
            log::info!(table = number; "table acknowledged before all entries go by it");
        }
    }

    fn is_in_force(&self, number: u64) -> bool {
        let now = Instant::now();
        let board = self.board();
        let mut live = board.entrances().filter(|(_, heard)| is_live(*heard, now));
        live.all(|(told, _)| told.table >= number)
    }

    /// Entries that callers may be sent to.
    pub(crate) fn open_entrances(&self) -> Vec<Entrance> {
        let now = Instant::now();
        let board = self.board();
        let live = board.entrances().filter(|(_, heard)| is_live(*heard, now));
        let open = live.filter(|(told, _)| told.open);
        open.map(|(told, _)| told.clone()).collect()
    }

    fn entries(&self) -> Vec<Link> {
        let mut entries = lock(&self.shared.entries);
        entries.retain(|link| !link.is_closed());
        entries.clone()
    }

    fn board(&self) -> MutexGuard<'_, Board> {
        lock(&self.shared.board)
    }
}

/// Whether the targets on disk are those on the board.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Caching {
    #[default]
    Done,
    Underway,
    Due,
}

fn is_live(heard: Instant, now: Instant) -> bool {
    now.saturating_duration_since(heard) < ENTRANCE_SILENT
}

fn targets(targets: Vec<wire::proto::Sighting>) -> Body {
    Body::Sightings(Sightings {
        targets,
        ..Sightings::default()
    })
}

fn same(one: &Link, other: &Link) -> bool {
    !one.is_closed() && one.peer() == other.peer()
}

async fn send_all(links: &[Link], body: &Body) {
    for link in links {
        if let Err(e) = link.send(body.clone()).await {
            log::debug!("{} is gone: {e}", link.peer().name);
        }
    }
}

async fn reply(link: &Link, call: u64, body: Body) {
    if call == 0 {
        return;
    }
    if let Err(e) = link.reply(call, body).await {
        log::debug!("answer to {} is lost: {e}", link.peer().name);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Nothing under these locks can panic half-way.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
