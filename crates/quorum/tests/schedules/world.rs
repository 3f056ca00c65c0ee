//! Runs a schedule and checks what must hold.

use crate::faults::Faults;
use crate::host::{Disk, Host, Out, decode, value};
use crate::network::Network;
use crate::schedule::Schedule;
use quorum::{DiskId, Entry, EntryBody, Members, Message, MessageBody, Peer, Snapshot};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Steps within which all must be well again once the faults are over.
const HEALING_STEPS: u64 = 6_000;

type Check = Result<(), String>;

struct World<'a> {
    schedule: &'a Schedule,
    faults: &'a Faults,
    rng: StdRng,
    start: Instant,
    step: u64,
    hosts: Vec<Host>,
    network: Network,
    /// Steps at which killed hosts come back.
    back: BTreeMap<usize, u64>,
    next_disk: u64,
    next_value: u64,
    next_token: u64,
    leaders: BTreeMap<u64, DiskId>,
    /// What any replica applied at an index: term and value.
    history: BTreeMap<u64, (u64, Option<u64>)>,
    acknowledged: BTreeMap<u64, u64>,
}

/// Runs a schedule; the error says what didn't hold.
pub fn run(schedule: &Schedule, faults: &Faults) -> Check {
    let mut world = World::new(schedule, faults);
    for _ in 0..schedule.steps {
        world.make_trouble();
        world.ask();
        world.pass()?;
    }
    world.heal()
}

impl<'a> World<'a> {
    fn new(schedule: &'a Schedule, faults: &'a Faults) -> World<'a> {
        let mut rng = StdRng::seed_from_u64(schedule.seed);
        let mut hosts = Vec::new();
        let mut members = Members::default();
        for place in 0..schedule.hosts {
            let name = format!("host-{place}");
            let id = DiskId(place as u64 + 1);
            members.voters.insert(id, Peer::new(&name, ""));
            let disk = Disk::new(id);
            hosts.push(Host::new(name, disk, &mut rng));
        }
        let start = Instant::now();
        for host in &mut hosts {
            host.disk.snapshot = Some(Snapshot::initial(members.clone()));
            host.start(start, &mut rng);
        }
        World {
            schedule,
            faults,
            rng,
            start,
            step: 0,
            next_disk: hosts.len() as u64 + 1,
            hosts,
            network: Network::default(),
            back: BTreeMap::new(),
            next_value: 1,
            next_token: 1,
            leaders: BTreeMap::new(),
            history: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
        }
    }

    fn chance(&mut self, in_ten_thousand: u32) -> bool {
        self.rng.random_range(0..10_000) < in_ten_thousand
    }

    fn any_host(&mut self) -> usize {
        self.rng.random_range(0..self.hosts.len())
    }

    fn make_trouble(&mut self) {
        if self.chance(self.faults.cuts) {
            self.cut();
        }
        if self.chance(self.faults.kills) {
            let host = self.any_host();
            self.hosts[host].kill(&mut self.rng);
            // Half of them are back at once: another process took over.
            let away = if self.chance(5_000) { 3 } else { 80 };
            let back = self.step + self.rng.random_range(1..away);
            self.back.insert(host, back);
        }
        if self.chance(self.faults.lost_disks) && self.is_repaired() {
            let host = self.any_host();
            self.hosts[host].lose_disk(DiskId(self.next_disk));
            self.next_disk += 1;
            let back = self.step + self.rng.random_range(1..40);
            self.back.insert(host, back);
        }
        if self.chance(self.faults.clock_steps) {
            let host = self.any_host();
            let by = Duration::from_millis(self.rng.random_range(1..2_000));
            self.hosts[host].stepped += by;
        }
    }

    /// Cuts some hosts off, often the leader alone.
    fn cut(&mut self) {
        let mut island = BTreeSet::from([self.any_host()]);
        let leads = |host: &Host| host.running.as_ref().is_some_and(|r| r.node.is_leader());
        if let Some(leader) = self.hosts.iter().position(leads)
            && self.rng.random_range(0..2) == 0
        {
            island = BTreeSet::from([leader]);
        }
        let until = self.step + self.rng.random_range(5..200);
        let mut outside: BTreeSet<usize> = (0..self.hosts.len()).collect();
        match self.rng.random_range(0..4) {
            0 => drop(island.insert(self.any_host())),
            1 => outside = BTreeSet::from([self.any_host()]),
            _ => {}
        }
        outside.retain(|host| !island.contains(host));
        self.network.cut(&island, &outside, until, &mut self.rng);
        // The clocks of the others step just when the leader can't be heard.
        if self.faults.clock_steps > 0 && self.rng.random_range(0..2) == 0 {
            for host in outside {
                self.hosts[host].stepped += Duration::from_secs(1);
            }
        }
    }

    /// Whether a leader that surely leads reports all disks of today as
    /// voters that hold all that is committed, as an operator would wait for.
    fn is_repaired(&self) -> bool {
        let disks: BTreeSet<DiskId> = self.hosts.iter().map(|h| h.disk.id).collect();
        let reports = |host: &Host| {
            let now = host.now(self.start, self.step);
            let node = &host.running.as_ref()?.node;
            let status = node.status(now);
            let rows = &status.replicas;
            let whole = rows
                .iter()
                .all(|r| r.voter && r.active && r.match_index >= Some(status.commit_index));
            let same = rows.iter().map(|r| r.id).collect::<BTreeSet<_>>() == disks;
            Some(
                node.has_lease(now)
                    && node.has_committed_in_term()
                    && status.membership_committed
                    && whole
                    && same,
            )
        };
        self.hosts.iter().any(|host| reports(host) == Some(true))
    }

    /// Clients ask whoever says that it leads, an old leader as well.
    fn ask(&mut self) {
        let last = self.acknowledged.keys().next_back().copied().unwrap_or(0);
        for place in 0..self.hosts.len() {
            let now = self.hosts[place].now(self.start, self.step);
            let (proposes, reads) = (
                self.chance(self.schedule.proposals),
                self.chance(self.schedule.reads),
            );
            let Some(running) = &mut self.hosts[place].running else {
                continue;
            };
            if proposes {
                let value = self.next_value;
                let data = value.to_le_bytes().to_vec().into();
                if let Ok((index, term)) = running.node.propose(data, now) {
                    running.proposed.push((index, term, value));
                    self.next_value += 1;
                }
            }
            if reads && running.node.read(self.next_token).is_ok() {
                running.reads.insert(self.next_token, last);
                self.next_token += 1;
            }
        }
    }

    /// One step of time.
    fn pass(&mut self) -> Check {
        self.step += 1;
        self.come_back();
        for (to, message) in self.network.arrived(self.step) {
            let now = self.hosts[to].now(self.start, self.step);
            if let Some(running) = &mut self.hosts[to].running {
                running.node.step(message, now);
            }
        }
        for place in 0..self.hosts.len() {
            let host = &mut self.hosts[place];
            let now = host.now(self.start, self.step);
            let out = host.advance(now, self.step, self.faults.slow_syncs, &mut self.rng);
            self.take(place, out)?;
            self.check_reads(place)?;
            self.join(place);
        }
        self.check_leaders()
    }

    fn come_back(&mut self) {
        let due = self.back.iter().filter(|(_, step)| **step <= self.step);
        let due: Vec<usize> = due.map(|(host, _)| *host).collect();
        for place in due {
            self.back.remove(&place);
            let now = self.hosts[place].now(self.start, self.step);
            if self.hosts[place].running.is_none() {
                self.hosts[place].start(now, &mut self.rng);
            }
        }
    }

    fn take(&mut self, place: usize, out: Out) -> Check {
        for message in out.messages {
            self.send(place, &message);
        }
        if let Some(snapshot) = out.restored {
            self.check_snapshot(place, &snapshot)?;
        }
        for entry in out.applied {
            self.check_applied(place, &entry)?;
        }
        Ok(())
    }

    fn send(&mut self, from: usize, message: &Message) {
        let Some(to) = self.hosts.iter().position(|h| h.disk.id == message.to) else {
            return;
        };
        let rng = &mut self.rng;
        self.network
            .send(from, to, message, self.step, self.faults, rng);
    }

    /// A blank replica asks everybody to take it in, now and then.
    fn join(&mut self, place: usize) {
        const EVERY: u64 = 10;
        let now = self.hosts[place].now(self.start, self.step);
        let running = self.hosts[place].running.as_ref();
        let should_join = running.is_some_and(|r| r.node.should_join(now));
        if !self.step.is_multiple_of(EVERY) || !should_join {
            return;
        }
        let (from, name) = (self.hosts[place].disk.id, self.hosts[place].name.clone());
        let others: Vec<DiskId> = self.hosts.iter().map(|h| h.disk.id).collect();
        for to in others.into_iter().filter(|to| *to != from) {
            let peer = Peer::new(&name, "");
            let body = MessageBody::Join { peer };
            let term = 0;
            self.send(
                place,
                &Message {
                    from,
                    to,
                    term,
                    body,
                },
            );
        }
    }

    fn check_applied(&mut self, place: usize, entry: &Entry) -> Check {
        let held = match &entry.body {
            EntryBody::Command(data) => Some(value(data)),
            EntryBody::Noop | EntryBody::Members(_) => None,
        };
        let found = (entry.term, held);
        let first = *self.history.entry(entry.index).or_insert(found);
        if first != found {
            let index = entry.index;
            return Err(format!(
                "entry {index} was {first:?}, at host {place} {found:?}"
            ));
        }
        let Some(running) = &mut self.hosts[place].running else {
            return Ok(());
        };
        let mine = running.proposed.iter().position(|p| p.0 == entry.index);
        if let Some(mine) = mine {
            let (index, term, value) = running.proposed.remove(mine);
            if term == entry.term {
                self.acknowledged.insert(index, value);
            }
        }
        Ok(())
    }

    fn check_snapshot(&self, place: usize, snapshot: &Snapshot) -> Check {
        let state = decode(&snapshot.data);
        let applied = self.history.range(..=snapshot.index);
        let values = applied.filter_map(|(index, (_, value))| Some((*index, (*value)?)));
        if values.collect::<BTreeMap<_, _>>() != state {
            return Err(format!("snapshot of another state at host {place}"));
        }
        Ok(())
    }

    /// A read is whole if it shows all that was acknowledged before it.
    fn check_reads(&mut self, place: usize) -> Check {
        let Some(running) = &mut self.hosts[place].running else {
            return Ok(());
        };
        let applied = running.applied;
        let (now, later): (Vec<_>, Vec<_>) = running
            .confirmed
            .drain(..)
            .partition(|(_, index)| *index <= applied);
        running.confirmed = later;
        for (token, _) in now {
            let acknowledged = running.reads.remove(&token).unwrap_or(0);
            if applied < acknowledged {
                return Err(format!("read at host {place} lacks entry {acknowledged}"));
            }
        }
        Ok(())
    }

    fn check_leaders(&mut self) -> Check {
        let mut leased = Vec::new();
        for host in &self.hosts {
            let Some(running) = &host.running else {
                continue;
            };
            let node = &running.node;
            if !node.is_leader() {
                continue;
            }
            let first = *self.leaders.entry(node.term()).or_insert(node.id());
            if first != node.id() {
                return Err(format!("two leaders in term {}", node.term()));
            }
            if node.has_lease(host.now(self.start, self.step)) {
                leased.push(node.term());
            }
        }
        // A lease rests on clocks that run alike; it can't outlive a step.
        if self.faults.clock_steps == 0 && leased.len() > 1 {
            return Err(format!("leaders of terms {leased:?} hold a lease at once"));
        }
        Ok(())
    }

    /// Ends the faults; all must come together and hold what was acknowledged.
    fn heal(&mut self) -> Check {
        let calm = Faults {
            late: 1,
            ..Faults::default()
        };
        let steady = Faults {
            clock_steps: self.faults.clock_steps,
            ..calm
        };
        let mut healed = World {
            faults: &steady,
            rng: StdRng::seed_from_u64(self.step),
            hosts: std::mem::take(&mut self.hosts),
            network: std::mem::take(&mut self.network),
            back: std::mem::take(&mut self.back),
            leaders: std::mem::take(&mut self.leaders),
            history: std::mem::take(&mut self.history),
            acknowledged: std::mem::take(&mut self.acknowledged),
            ..*self
        };
        healed.network.heal();
        for host in 0..healed.hosts.len() {
            healed.back.insert(host, healed.step);
        }
        let first = healed.next_value;
        for _ in 0..HEALING_STEPS {
            let newest = healed.newest(first);
            if newest.is_none() {
                healed.ask();
            }
            healed.pass()?;
            if newest.is_some_and(|index| healed.is_whole(index)) {
                return healed.check_acknowledged();
            }
        }
        Err("not well again in time".to_owned())
    }

    /// Last acknowledged entry, if its value was proposed after the faults.
    fn newest(&self, first: u64) -> Option<u64> {
        let newest = self.acknowledged.iter().next_back();
        newest
            .filter(|(_, value)| **value >= first)
            .map(|(index, _)| *index)
    }

    fn is_whole(&self, index: u64) -> bool {
        let has = |h: &Host| h.running.as_ref().is_some_and(|r| r.applied >= index);
        self.is_repaired() && self.hosts.iter().all(has)
    }

    fn check_acknowledged(&self) -> Check {
        for (place, host) in self.hosts.iter().enumerate() {
            let Some(running) = &host.running else {
                continue;
            };
            for (index, value) in &self.acknowledged {
                if running.applied >= *index && running.state.get(index) != Some(value) {
                    return Err(format!(
                        "acknowledged entry {index} is gone at host {place}"
                    ));
                }
            }
        }
        Ok(())
    }
}
