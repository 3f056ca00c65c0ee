//! Availability zones: their loss, and a region that is cut off.

use super::cluster::Cluster;
use std::collections::BTreeSet;

const ZONES: [&str; 3] = ["oberpfalz", "allgaeu", "franken"];

/// The zone of a process: controls and entries go round by number, targets too.
pub fn zone_of(name: &str) -> &'static str {
    let number = name.rsplit('-').next().and_then(|n| n.parse().ok());
    let place: usize = number.unwrap_or(0);
    ZONES[place % ZONES.len()]
}

impl Cluster {
    /// Controls, entries and agents of a zone.
    pub fn in_zone(&self, zone: &str) -> Vec<String> {
        let names = self.processes.keys();
        let own = names.filter(|name| !name.starts_with("fake") && zone_of(name) == zone);
        own.cloned().collect()
    }

    /// The same of all other zones.
    pub fn outside_zone(&self, zone: &str) -> Vec<String> {
        let names = self.processes.keys();
        let own = names.filter(|name| !name.starts_with("fake") && zone_of(name) != zone);
        own.cloned().collect()
    }

    /// Kills all processes of a zone, without a pause between them.
    pub async fn kill_zone(&mut self, zone: &str) {
        let lost = self.in_zone(zone);
        for name in &lost {
            self.signal(name, "KILL").await;
        }
        for name in &lost {
            self.until_ended(name).await;
        }
    }

    /// Starts a process of a lost zone again.
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

    /// Cuts all links between a zone and the others.
    pub fn cut_off_zone(&self, zone: &str) {
        let side: BTreeSet<String> = self.in_zone(zone).into_iter().collect();
        let others: BTreeSet<String> = self.outside_zone(zone).into_iter().collect();
        for (name, relay) in &self.relays {
            match name.split_once('>') {
                Some((from, to)) if side.contains(from) != side.contains(to) => relay.cut(),
                None if side.contains(name) => relay.bar(others.clone()),
                None if others.contains(name) => relay.bar(side.clone()),
                // Within one side, or before a fake, which stands beside its agent.
                Some(_) | None => {}
            }
        }
    }

    /// Ends all cuts.
    pub fn heal_all(&self) {
        for relay in self.relays.values() {
            relay.heal();
            relay.bar(BTreeSet::new());
        }
    }
}
