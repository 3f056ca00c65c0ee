//! Simulated network with faults.

use crate::faults::Faults;
use quorum::Message;
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};

/// Messages in flight and links that are cut.
#[derive(Default)]
pub struct Network {
    /// Keyed by the step of arrival and a sequence number.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent: u64,
    /// Directed links that are cut, with the step at which the cut ends.
    cuts: BTreeMap<(usize, usize), u64>,
}

impl Network {
    pub fn send(
        &mut self,
        from: usize,
        to: usize,
        message: &Message,
        step: u64,
        faults: &Faults,
        rng: &mut StdRng,
    ) {
        if rng.random_range(0..100) < faults.loss_percent {
            return;
        }
        let copies = 1 + u64::from(rng.random_range(0..100) < faults.duplicate_percent);
        for _ in 0..copies {
            self.sent += 1;
            let arrives = step + 1 + rng.random_range(0..=faults.max_delay_steps);
            let key = (arrives, self.sent);
            self.in_flight.insert(key, (from, to, message.clone()));
        }
    }

    /// Returns the messages that arrive at this step over links that are up.
    pub fn deliver(&mut self, step: u64) -> Vec<(usize, Message)> {
        self.cuts.retain(|_, until| *until > step);
        let later = self.in_flight.split_off(&(step + 1, 0));
        let due = std::mem::replace(&mut self.in_flight, later);
        let delivered = due.into_values();
        let delivered = delivered.filter(|(from, to, _)| !self.cuts.contains_key(&(*from, *to)));
        delivered.map(|(_, to, message)| (to, message)).collect()
    }

    /// Partitions a set of hosts from the others, in one or both directions.
    pub fn partition(
        &mut self,
        isolated: &BTreeSet<usize>,
        others: &BTreeSet<usize>,
        until: u64,
        rng: &mut StdRng,
    ) {
        let both_ways = rng.random_range(0..3) > 0;
        for inside in isolated {
            for outside in others {
                self.cuts.insert((*inside, *outside), until);
                if both_ways {
                    self.cuts.insert((*outside, *inside), until);
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }
}
