//! Route tables that wait until another one is committed.

use crate::reply::{MayCommit, Reply, unavailable, unavailable_lasting};
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use wire::proto::RouteTable;
use wire::proto::frame::Body;

/// Route tables that were proposed while the leader could not append them, because another
/// one is not committed yet.
///
/// A table may be as large as all other state. Of those that wait, only the one with the
/// highest number can still be in force after all were committed, so only its content is
/// kept and appended.
#[derive(Debug, Default)]
pub(super) struct TableQueue {
    /// Number and index of the table that this leader has appended and not applied yet.
    appended: Option<(u64, u64)>,
    newest: Option<RouteTable>,
    waiting: VecDeque<(Instant, Reply)>,
}

/// What to do with a proposed table.
#[derive(Debug)]
pub(super) enum TableAction {
    /// Append it, or the empty table in its place.
    Append(RouteTable, Reply),
    /// It waits in the queue.
    Wait,
}

impl TableQueue {
    /// Decides about a table that is proposed to a leader. `in_force` is the number of the
    /// table in force if the leader appends commands, and `None` if it does not yet.
    pub(super) fn add(
        &mut self,
        table: RouteTable,
        reply: Reply,
        in_force: Option<u64>,
        now: Instant,
    ) -> TableAction {
        if let Some(in_force) = in_force {
            let in_log = self.appended.map_or(in_force, |(number, _)| number);
            let table = without_effect_removed(table, in_log);
            if table.number == 0 || (self.appended.is_none() && self.newest.is_none()) {
                return TableAction::Append(table, reply);
            }
            return self.enqueue(table, reply, now);
        }
        self.enqueue(table, reply, now)
    }

    fn enqueue(&mut self, table: RouteTable, reply: Reply, now: Instant) -> TableAction {
        if self.newest.as_ref().is_none_or(|n| n.number < table.number) {
            self.newest = Some(table);
        }
        self.waiting.push_back((now, reply));
        TableAction::Wait
    }

    /// Records the index at which a table was appended.
    pub(super) fn set_appended(&mut self, number: u64, index: u64) {
        self.appended = Some((number, index));
    }

    /// Records the index up to which entries were applied, and the number of the table in
    /// force then. Returns the table to append next, with the replies to all that have waited.
    pub(super) fn take_next(
        &mut self,
        applied: u64,
        in_force: u64,
    ) -> Option<(RouteTable, Vec<Reply>)> {
        if self.appended.is_some_and(|(_, index)| applied < index) {
            return None;
        }
        self.appended = None;
        let table = without_effect_removed(self.newest.take()?, in_force);
        let waiting = std::mem::take(&mut self.waiting);
        Some((table, waiting.into_iter().map(|(_, reply)| reply).collect()))
    }

    /// Number of tables that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Refuses all that wait; none of them was appended.
    pub(super) fn fail_all(&mut self, reason: &str) {
        self.refuse_all(&unavailable(reason, MayCommit::No));
        self.appended = None;
    }

    /// Like [`TableQueue::fail_all`], for when an immediate retry would not help. The table
    /// that is appended stays in the log.
    pub(super) fn fail_all_lasting(&mut self, reason: &str) {
        self.refuse_all(&unavailable_lasting(reason, MayCommit::No));
    }

    fn refuse_all(&mut self, answer: &Body) {
        self.newest = None;
        for (_, reply) in self.waiting.drain(..) {
            reply.send(answer.clone());
        }
    }

    /// Refuses those that have waited for too long. The content is kept until all are
    /// refused, as it may be that of any of them.
    pub(super) fn expire(&mut self, now: Instant, timeout: Duration) {
        while let Some((since, _)) = self.waiting.front()
            && now.saturating_duration_since(*since) >= timeout
            && let Some((_, reply)) = self.waiting.pop_front()
        {
            reply.send(unavailable("not appended in time", MayCommit::Yes));
        }
        if self.waiting.is_empty() {
            self.newest = None;
        }
    }
}

/// Returns the empty table in place of one whose number is not above that of an earlier one in
/// the log.
///
/// It changes nothing wherever it is applied, so the log needs nothing of it. Earlier versions
/// look for the highest number in the log when they start, so it must not keep its number
/// either.
fn without_effect_removed(table: RouteTable, in_log: u64) -> RouteTable {
    if table.number > in_log {
        table
    } else {
        RouteTable::default()
    }
}
