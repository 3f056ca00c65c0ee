//! All that is held under one node key.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::{Member, Node};

/// Incarnations that are remembered as superseded, for each name. A message
/// of one that is older still would have to outlive that many restarts.
const MOST_SUPERSEDED: usize = 64;

/// The newest incarnation of a node, living or not, and those before it.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) member: Member,
    pub(crate) live: bool,
    /// Version of the view that last showed it otherwise than before.
    pub(crate) changed: u64,
    superseded: VecDeque<u64>,
}

impl Slot {
    pub(crate) fn new(member: Member, version: u64) -> Self {
        Slot {
            member,
            live: true,
            changed: version,
            superseded: VecDeque::new(),
        }
    }

    pub(crate) fn is_superseded(&self, incarnation: u64) -> bool {
        self.superseded.contains(&incarnation)
    }

    /// Takes in a renewal; whether what is seen from outside changed.
    pub(crate) fn renew(&mut self, node: Node, number: u64, expires: Instant) -> bool {
        let known = &self.member.node;
        if known.incarnation != node.incarnation {
            self.superseded.push_back(known.incarnation);
            if self.superseded.len() > MOST_SUPERSEDED {
                self.superseded.pop_front();
            }
        }
        let changed = !self.live || **known != node;
        if changed {
            self.member.node = Arc::new(node);
        }
        self.member.note = number;
        self.member.expires = expires;
        self.live = true;
        changed
    }
}
