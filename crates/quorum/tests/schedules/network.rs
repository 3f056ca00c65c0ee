//! Messages between hosts, with their faults.

use crate::faults::Faults;
use quorum::Message;
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};

/// Messages under way and links that are cut.
#[derive(Default)]
pub struct Network {
    /// By the step of arrival and an order number.
    under_way: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent: u64,
    /// Pairs of hosts, one way, with the step at which the cut ends.
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
        if rng.random_range(0..100) < faults.lost {
            return;
        }
        let copies = 1 + u64::from(rng.random_range(0..100) < faults.doubled);
        for _ in 0..copies {
            self.sent += 1;
            let arrives = step + 1 + rng.random_range(0..=faults.late);
            let place = (arrives, self.sent);
            self.under_way.insert(place, (from, to, message.clone()));
        }
    }

    /// Messages that arrive at this step over links that are up.
    pub fn arrived(&mut self, step: u64) -> Vec<(usize, Message)> {
        self.cuts.retain(|_, until| *until > step);
        let later = self.under_way.split_off(&(step + 1, 0));
        let now = std::mem::replace(&mut self.under_way, later);
        let whole = now.into_values();
        let whole = whole.filter(|(from, to, _)| !self.cuts.contains_key(&(*from, *to)));
        whole.map(|(_, to, message)| (to, message)).collect()
    }

    /// Cuts a set of hosts off the others, one way or both.
    pub fn cut(
        &mut self,
        island: &BTreeSet<usize>,
        others: &BTreeSet<usize>,
        until: u64,
        rng: &mut StdRng,
    ) {
        let both = rng.random_range(0..3) > 0;
        for inside in island {
            for outside in others {
                self.cuts.insert((*inside, *outside), until);
                if both {
                    self.cuts.insert((*outside, *inside), until);
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }
}
