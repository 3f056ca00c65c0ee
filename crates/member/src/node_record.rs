//! State of one node key in the registry.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::{Member, Node};

/// Maximum number of superseded incarnations that are remembered for each key.
/// A message of an older incarnation would have to be delayed by that many restarts.
const MAX_SUPERSEDED: usize = 64;

/// The newest incarnation of a node, whether or not it is live, and the superseded ones.
#[derive(Debug)]
pub(crate) struct NodeRecord {
    pub(crate) member: Member,
    pub(crate) live: bool,
    /// Version of the view in which the node last changed.
    pub(crate) changed: u64,
    superseded: VecDeque<u64>,
    /// Sequence number of the newest renewal of this incarnation; 0 if its renewals
    /// are not numbered.
    sequence: u64,
}

impl NodeRecord {
    pub(crate) fn new(member: Member, version: u64, sequence: u64) -> Self {
        NodeRecord {
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

    /// Applies a renewal of a node whose state has not changed. Returns false if the
    /// state of this incarnation is not known.
    pub(crate) fn renew_unchanged(
        &mut self,
        incarnation: u64,
        note_number: u64,
        sequence: u64,
        expires: Instant,
    ) -> bool {
        if !self.live || self.member.node.incarnation != incarnation {
            return false;
        }
        if sequence >= self.sequence {
            self.sequence = sequence;
            self.member.note = note_number;
        }
        self.member.expires = expires;
        true
    }

    /// Applies a renewal. Returns whether the node changed in the view.
    ///
    /// A renewal that arrives after a later one of the same process only extends the
    /// lease: applied in full, it would show a target that is leaving as ready.
    pub(crate) fn renew(
        &mut self,
        node: Node,
        note_number: u64,
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
            if self.superseded.len() > MAX_SUPERSEDED {
                self.superseded.pop_front();
            }
        }
        let changed = !self.live || **known != node;
        if changed {
            self.member.node = Arc::new(node);
        }
        self.member.note = note_number;
        self.member.expires = expires;
        self.live = true;
        changed
    }
}
