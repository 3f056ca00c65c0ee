//! Runs a schedule and checks the invariants.

use crate::faults::Faults;
use crate::first_start::{FirstStart, LATE_STEPS};
use crate::host::{Disk, Host, Output, decode, value};
use crate::network::Network;
use crate::schedule::Schedule;
use quorum::{DiskId, Entry, EntryBody, Members, Message, MessageBody, Peer, Snapshot};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Number of steps after the faults within which the cluster must recover.
const RECOVERY_STEPS: u64 = 6_000;

type Check = Result<(), String>;

struct Simulation<'a> {
    schedule: &'a Schedule,
    faults: &'a Faults,
    rng: StdRng,
    start: Instant,
    step: u64,
    hosts: Vec<Host>,
    network: Network,
    /// Number of voters that the cluster should have.
    voters: usize,
    /// Steps at which stopped hosts restart.
    restarts: BTreeMap<usize, u64>,
    /// Steps at which hosts lose their disks.
    losses: BTreeMap<usize, u64>,
    /// Number of hosts that start a new cluster.
    first_voters: usize,
    next_disk: u64,
    next_value: u64,
    next_token: u64,
    leaders: BTreeMap<u64, DiskId>,
    /// First entry applied at each index by any replica: term and value.
    history: BTreeMap<u64, (u64, Option<u64>)>,
    acknowledged: BTreeMap<u64, u64>,
}

/// Number of seeds in the settings of a host. It may be one of them.
const SEEDS: usize = 3;

/// Returns distinct hosts.
fn sample(hosts: usize, count: usize, rng: &mut StdRng) -> BTreeSet<usize> {
    let mut chosen = BTreeSet::new();
    while chosen.len() < count {
        chosen.insert(rng.random_range(0..hosts));
    }
    chosen
}

/// Runs a schedule. The error describes the violated invariant.
pub fn run(schedule: &Schedule, faults: &Faults) -> Check {
    let mut simulation = Simulation::new(schedule, faults);
    let start_steps = if faults.first_start { LATE_STEPS } else { 0 };
    for _ in 0..start_steps + schedule.steps {
        simulation.inject_faults();
        simulation.send_requests();
        simulation.advance()?;
    }
    simulation.recover()
}

impl<'a> Simulation<'a> {
    fn new(schedule: &'a Schedule, faults: &'a Faults) -> Simulation<'a> {
        let mut rng = StdRng::seed_from_u64(schedule.seed);
        if faults.first_start {
            let plan = FirstStart::draw(faults.lost_while_forming, &mut rng);
            return Simulation {
                voters: plan.voters,
                restarts: plan.starts,
                losses: plan.losses,
                first_voters: plan.first_voters,
                ..Simulation::with_hosts(schedule, faults, plan.hosts, rng)
            };
        }
        let mut hosts = Vec::new();
        let mut members = Members::default();
        let count = schedule.voters + faults.spare_hosts;
        for host_index in 0..count {
            let name = format!("host-{host_index}");
            let id = DiskId(host_index as u64 + 1);
            if host_index < schedule.voters {
                members.voters.insert(id, Peer::new(&name, &name));
            }
            let disk = Disk::new(id);
            let seeds = sample(count, SEEDS, &mut rng);
            hosts.push(Host::new(name, disk, seeds, &mut rng));
        }
        for host in &mut hosts[..schedule.voters] {
            host.disk.snapshot = Some(Snapshot::initial(members.clone()));
        }
        let start = Instant::now();
        for host in &mut hosts {
            if faults.spare_hosts > 0 {
                host.desired_voters = Some(schedule.voters);
            }
            host.start(start, &mut rng);
        }
        Simulation {
            start,
            ..Simulation::with_hosts(schedule, faults, hosts, rng)
        }
    }

    fn with_hosts(
        schedule: &'a Schedule,
        faults: &'a Faults,
        hosts: Vec<Host>,
        rng: StdRng,
    ) -> Simulation<'a> {
        Simulation {
            schedule,
            faults,
            rng,
            start: Instant::now(),
            step: 0,
            next_disk: hosts.len() as u64 + 1,
            hosts,
            network: Network::default(),
            voters: schedule.voters,
            restarts: BTreeMap::new(),
            losses: BTreeMap::new(),
            first_voters: 0,
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

    fn inject_faults(&mut self) {
        if self.chance(self.faults.partitions) {
            self.partition();
        }
        if self.chance(self.faults.kills) {
            let host = self.any_host();
            let is_late = self.faults.first_start && self.hosts[host].running.is_none();
            if !self.is_spared(host) {
                self.hosts[host].kill(&mut self.rng);
            }
            // Half of them restart at once, as if by a supervisor.
            let max_downtime = if self.chance(5_000) { 3 } else { 80 };
            let restart = self.step + self.rng.random_range(1..max_downtime);
            if !is_late {
                self.restarts.insert(host, restart);
            }
        }
        let due = self.losses.iter().filter(|(_, step)| **step <= self.step);
        let due: Vec<usize> = due.map(|(host, _)| *host).collect();
        for host in due {
            if self.is_spared(host) && self.leaders.is_empty() {
                continue;
            }
            self.losses.remove(&host);
            self.lose_disk(host);
        }
        if self.chance(self.faults.lost_disks) && self.is_fully_replicated() {
            let host = self.any_host();
            self.lose_disk(host);
        }
        if self.chance(self.faults.lost_minorities) && self.is_fully_replicated() {
            let minority = (self.schedule.voters - 1) / 2;
            for host in sample(self.hosts.len(), minority, &mut self.rng) {
                self.lose_disk(host);
            }
            // A standby voter makes up for a host that is gone at the same time.
            if self.expected_voters() > self.voters && self.chance(5_000) {
                let host = self.any_host();
                if self.hosts[host].running.is_some() {
                    self.hosts[host].kill(&mut self.rng);
                    let restart = self.step + self.rng.random_range(1..400);
                    self.restarts.insert(host, restart);
                }
            }
        }
        if self.chance(self.faults.clock_steps) {
            let host = self.any_host();
            let by = Duration::from_millis(self.rng.random_range(1..2_000));
            self.hosts[host].clock_offset += by;
        }
    }

    /// Returns whether a host is needed to start the cluster: the first voters must keep
    /// their disks until the first election, and one of them must go on running.
    fn is_spared(&self, host: usize) -> bool {
        self.faults.lost_while_forming && host < self.first_voters
    }

    fn lose_disk(&mut self, host: usize) {
        self.hosts[host].lose_disk(DiskId(self.next_disk));
        self.next_disk += 1;
        let restart = self.step + self.rng.random_range(1..40);
        self.restarts.insert(host, restart);
    }

    /// Partitions some hosts from the others, often only the leader.
    fn partition(&mut self) {
        let mut isolated = BTreeSet::from([self.any_host()]);
        let leads = |host: &Host| host.running.as_ref().is_some_and(|r| r.node.is_leader());
        if let Some(leader) = self.hosts.iter().position(leads)
            && self.rng.random_range(0..2) == 0
        {
            isolated = BTreeSet::from([leader]);
        }
        let until = self.step + self.rng.random_range(5..200);
        let mut outside: BTreeSet<usize> = (0..self.hosts.len()).collect();
        match self.rng.random_range(0..4) {
            0 => drop(isolated.insert(self.any_host())),
            1 => outside = BTreeSet::from([self.any_host()]),
            _ => {}
        }
        outside.retain(|host| !isolated.contains(host));
        self.network
            .partition(&isolated, &outside, until, &mut self.rng);
        // The clocks of the other hosts step while the leader is isolated.
        if self.faults.clock_steps > 0 && self.rng.random_range(0..2) == 0 {
            for host in outside {
                self.hosts[host].clock_offset += Duration::from_secs(1);
            }
        }
    }

    /// Returns whether a leader with a lease reports all current disks as
    /// active members that hold all committed entries, and as many voters as
    /// expected, which is what an operator waits for.
    fn is_fully_replicated(&self) -> bool {
        let disks: BTreeSet<DiskId> = self.hosts.iter().map(|h| h.disk.id).collect();
        let reports = |host: &Host| {
            let now = host.now(self.start, self.step);
            let node = &host.running.as_ref()?.node;
            let status = node.status(now);
            let rows = &status.replicas;
            let caught_up = rows
                .iter()
                .all(|r| r.active && r.match_index >= Some(status.commit_index));
            let voters = rows.iter().filter(|r| r.voter).count();
            let same = rows.iter().map(|r| r.id).collect::<BTreeSet<_>>() == disks;
            Some(
                node.has_lease(now)
                    && node.has_committed_in_term()
                    && status.membership_committed
                    && caught_up
                    && voters == self.expected_voters()
                    && same,
            )
        };
        self.hosts.iter().any(|host| reports(host) == Some(true))
    }

    /// Number of voters once all hosts are up: the desired ones and, if there are at least
    /// three, a standby among the further hosts.
    fn expected_voters(&self) -> usize {
        let standby = usize::from(self.voters >= 3 && self.hosts.len() > self.voters);
        self.voters + standby
    }

    /// Sends requests to every replica that considers itself leader, including
    /// a former one.
    fn send_requests(&mut self) {
        let last = self.acknowledged.keys().next_back().copied().unwrap_or(0);
        for host_index in 0..self.hosts.len() {
            let now = self.hosts[host_index].now(self.start, self.step);
            let (proposes, reads) = (
                self.chance(self.schedule.proposals),
                self.chance(self.schedule.reads),
            );
            let Some(running) = &mut self.hosts[host_index].running else {
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

    /// Runs one step.
    fn advance(&mut self) -> Check {
        self.step += 1;
        self.restart_due_hosts();
        for (to, message) in self.network.deliver(self.step) {
            let now = self.hosts[to].now(self.start, self.step);
            if let Some(running) = &mut self.hosts[to].running {
                running.node.step(message, now);
            }
        }
        for host_index in 0..self.hosts.len() {
            let host = &mut self.hosts[host_index];
            let now = host.now(self.start, self.step);
            let output = host.advance(now, self.step, self.faults.slow_sync_percent, &mut self.rng);
            self.handle_output(host_index, output)?;
            self.check_reads(host_index)?;
            self.join(host_index);
        }
        self.check_leaders()
    }

    fn restart_due_hosts(&mut self) {
        let due = self.restarts.iter().filter(|(_, step)| **step <= self.step);
        let due: Vec<usize> = due.map(|(host, _)| *host).collect();
        for host_index in due {
            self.restarts.remove(&host_index);
            let now = self.hosts[host_index].now(self.start, self.step);
            if self.hosts[host_index].running.is_none() {
                self.hosts[host_index].start(now, &mut self.rng);
            }
        }
    }

    fn handle_output(&mut self, host_index: usize, output: Output) -> Check {
        for message in output.messages {
            self.send(host_index, &message);
        }
        if let Some(snapshot) = output.restored {
            self.check_snapshot(host_index, &snapshot)?;
        }
        for entry in output.applied {
            self.check_applied(host_index, &entry)?;
        }
        Ok(())
    }

    fn send(&mut self, from: usize, message: &Message) {
        let Some(to) = self.hosts.iter().position(|h| h.disk.id == message.to) else {
            return;
        };
        if !self.is_linked(from, to) {
            return;
        }
        let rng = &mut self.rng;
        self.network
            .send(from, to, message, self.step, self.faults, rng);
    }

    /// Returns whether there is a link between two hosts: one of them knows
    /// the address of the other and has dialled it.
    fn is_linked(&self, from: usize, to: usize) -> bool {
        let dials = |from: usize, to: usize| self.hosts[from].knows_address(to, &self.hosts[to]);
        dials(from, to) || dials(to, from)
    }

    /// Sends join requests of a replica that should join, at regular intervals.
    fn join(&mut self, host_index: usize) {
        const EVERY: u64 = 10;
        let now = self.hosts[host_index].now(self.start, self.step);
        let running = self.hosts[host_index].running.as_ref();
        let should_join = running.is_some_and(|r| r.node.should_join(now));
        if !self.step.is_multiple_of(EVERY) || !should_join {
            return;
        }
        let (from, name) = (
            self.hosts[host_index].disk.id,
            self.hosts[host_index].name.clone(),
        );
        let others: Vec<DiskId> = self.hosts.iter().map(|h| h.disk.id).collect();
        for to in others.into_iter().filter(|to| *to != from) {
            let peer = Peer::new(&name, &name);
            let body = MessageBody::Join { id: from, peer };
            let term = 0;
            self.send(
                host_index,
                &Message {
                    from,
                    to,
                    term,
                    body,
                },
            );
        }
    }

    fn check_applied(&mut self, host_index: usize, entry: &Entry) -> Check {
        let command_value = match &entry.body {
            EntryBody::Command(data) => Some(value(data)),
            EntryBody::Noop | EntryBody::Members(_) => None,
        };
        let found = (entry.term, command_value);
        let first = *self.history.entry(entry.index).or_insert(found);
        if first != found {
            let index = entry.index;
            return Err(format!(
                "entry {index} was {first:?}, but host {host_index} applied {found:?}"
            ));
        }
        let Some(running) = &mut self.hosts[host_index].running else {
            return Ok(());
        };
        let own = running.proposed.iter().position(|p| p.0 == entry.index);
        if let Some(own) = own {
            let (index, term, value) = running.proposed.remove(own);
            if term == entry.term {
                self.acknowledged.insert(index, value);
            }
        }
        Ok(())
    }

    fn check_snapshot(&self, host_index: usize, snapshot: &Snapshot) -> Check {
        let state = decode(&snapshot.data);
        let applied = self.history.range(..=snapshot.index);
        let values = applied.filter_map(|(index, (_, value))| Some((*index, (*value)?)));
        if values.collect::<BTreeMap<_, _>>() != state {
            return Err(format!(
                "snapshot at host {host_index} differs from the applied entries"
            ));
        }
        Ok(())
    }

    /// Checks that reads include all entries acknowledged before they were
    /// requested.
    fn check_reads(&mut self, host_index: usize) -> Check {
        let Some(running) = &mut self.hosts[host_index].running else {
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
                return Err(format!(
                    "read at host {host_index} misses entry {acknowledged}"
                ));
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
        // Leases depend on clocks that run at similar rates and do not hold
        // when a clock steps.
        if self.faults.clock_steps == 0 && leased.len() > 1 {
            return Err(format!("leaders of terms {leased:?} hold a lease at once"));
        }
        Ok(())
    }

    /// Ends the faults and checks that all replicas recover with all
    /// acknowledged entries.
    fn recover(&mut self) -> Check {
        let low_delay = Faults {
            max_delay_steps: 1,
            ..Faults::default()
        };
        let steady = Faults {
            clock_steps: self.faults.clock_steps,
            ..low_delay
        };
        let mut recovery = Simulation {
            faults: &steady,
            rng: StdRng::seed_from_u64(self.step),
            hosts: std::mem::take(&mut self.hosts),
            network: std::mem::take(&mut self.network),
            restarts: std::mem::take(&mut self.restarts),
            losses: BTreeMap::new(),
            leaders: std::mem::take(&mut self.leaders),
            history: std::mem::take(&mut self.history),
            acknowledged: std::mem::take(&mut self.acknowledged),
            ..*self
        };
        recovery.network.heal();
        for host in 0..recovery.hosts.len() {
            recovery.restarts.insert(host, recovery.step);
        }
        let first = recovery.next_value;
        for _ in 0..RECOVERY_STEPS {
            let last = recovery.last_acknowledged(first);
            if last.is_none() {
                recovery.send_requests();
            }
            recovery.advance()?;
            if last.is_some_and(|index| recovery.has_recovered(index)) {
                return recovery.check_acknowledged();
            }
        }
        Err(format!(
            "replicas did not recover within {RECOVERY_STEPS} steps"
        ))
    }

    /// Returns the last acknowledged entry if its value was proposed after the
    /// faults.
    fn last_acknowledged(&self, first: u64) -> Option<u64> {
        let last = self.acknowledged.iter().next_back();
        last.filter(|(_, value)| **value >= first)
            .map(|(index, _)| *index)
    }

    fn has_recovered(&self, index: u64) -> bool {
        let has = |h: &Host| h.running.as_ref().is_some_and(|r| r.applied >= index);
        self.is_fully_replicated() && self.hosts.iter().all(has)
    }

    fn check_acknowledged(&self) -> Check {
        for (host_index, host) in self.hosts.iter().enumerate() {
            let Some(running) = &host.running else {
                continue;
            };
            for (index, value) in &self.acknowledged {
                if running.applied >= *index && running.state.get(index) != Some(value) {
                    return Err(format!(
                        "acknowledged entry {index} is lost at host {host_index}"
                    ));
                }
            }
        }
        Ok(())
    }
}
