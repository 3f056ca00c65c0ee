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
    /// Number of the newest renewal of this incarnation; 0 when they aren't numbered.
    sequence: u64,
}

impl Slot {
    pub(crate) fn new(member: Member, version: u64, sequence: u64) -> Self {
        Slot {
            sequence,
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
    ///
    /// One that was overtaken by a later one of the same process prolongs the lease
    /// and changes nothing else: it would show a target that is leaving as ready.
    pub(crate) fn renew(
        &mut self,
        node: Node,
        number: u64,
        sequence: u64,
        expires: Instant,
    ) -> bool {
        let known = &self.member.node;
        let same = known.incarnation == node.incarnation;
        if same && self.live && sequence < self.sequence {
            self.member.expires = expires;
            return false;
        }
        self.sequence = sequence;
        if !same {
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
