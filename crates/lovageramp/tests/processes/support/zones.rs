//! Loss and network partition of availability zones.

use super::cluster::Cluster;
use std::collections::BTreeSet;

const ZONES: [&str; 3] = ["oberpfalz", "allgaeu", "franken"];

/// The zone of a process. Processes of each kind are assigned round-robin by their number.
pub fn zone_of(name: &str) -> &'static str {
    let number = name.rsplit('-').next().and_then(|n| n.parse().ok());
    let index: usize = number.unwrap_or(0);
    ZONES[index % ZONES.len()]
}

impl Cluster {
    /// Names of the controls, entries and agents in a zone.
    pub fn in_zone(&self, zone: &str) -> Vec<String> {
        let names = self.processes.keys();
        let own = names.filter(|name| !name.starts_with("fake") && zone_of(name) == zone);
        own.cloned().collect()
    }

    /// Names of the controls, entries and agents in all other zones.
    pub fn outside_zone(&self, zone: &str) -> Vec<String> {
        let names = self.processes.keys();
        let own = names.filter(|name| !name.starts_with("fake") && zone_of(name) != zone);
        own.cloned().collect()
    }

    /// Kills all processes of a zone at once: every signal is sent before any exit is
    /// awaited.
    pub async fn kill_zone(&mut self, zone: &str) {
        let lost = self.in_zone(zone);
        for name in &lost {
            self.signal(name, "KILL").await;
        }
        for name in &lost {
            self.until_ended(name).await;
        }
    }

    /// Restarts a control, an entry or an agent by its name.
    pub async fn start_again(&mut self, name: &str) {
        let number = || name.rsplit('-').next().unwrap().parse().unwrap();
        if name.starts_with("control") {
            self.start_control(number()).await;
        } else if name.starts_with("entry") {
            self.start_entry(number()).await;
        } else {
            self.start_agent(name).await;
        }
    }

    /// Partitions a zone from the others.
    pub fn cut_off_zone(&self, zone: &str) {
        let side: BTreeSet<String> = self.in_zone(zone).into_iter().collect();
        let others: BTreeSet<String> = self.outside_zone(zone).into_iter().collect();
        for (name, relay) in &self.relays {
            match name.split_once('>') {
                Some((from, to)) if side.contains(from) != side.contains(to) => relay.cut(),
                None if side.contains(name) => relay.block_nodes(others.clone()),
                None if others.contains(name) => relay.block_nodes(side.clone()),
                // Both ends are on one side, or the relay is in front of a fake, which runs in
                // the zone of its agent.
                Some(_) | None => {}
            }
        }
    }

    /// Heals all relays and lifts the bars set on them.
    pub fn heal_all(&self) {
        for relay in self.relays.values() {
            relay.heal();
            relay.block_nodes(BTreeSet::new());
        }
    }
}
