//! Commands and reads that wait for the log.

use crate::reply::{MayCommit, Reply, unavailable, unavailable_lasting};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use wire::proto::Query;
use wire::proto::frame::Body;

/// Maximum number of pending commands; further ones are refused at once.
pub(super) const MAX_PENDING_COMMANDS: usize = 16_384;
/// Maximum number of pending reads.
pub(super) const MAX_PENDING_READS: usize = 16_384;

/// A command that is waiting to be committed.
#[derive(Debug)]
struct PendingCommand {
    term: u64,
    since: Instant,
    /// More than one for a table that others waited for, too.
    replies: Vec<Reply>,
}

impl PendingCommand {
    fn answer(self, answer: &Body) {
        for reply in self.replies {
            reply.send(answer.clone());
        }
    }
}

/// Commands that are waiting to be committed, by log index.
#[derive(Debug, Default)]
pub(super) struct PendingCommands {
    by_index: BTreeMap<u64, PendingCommand>,
}

impl PendingCommands {
    pub(super) fn len(&self) -> usize {
        self.by_index.len()
    }

    /// Adds a command that was appended at an index and term.
    pub(super) fn insert(&mut self, position: (u64, u64), replies: Vec<Reply>, now: Instant) {
        let (index, term) = position;
        let command = PendingCommand {
            term,
            since: now,
            replies,
        };
        self.by_index.insert(index, command);
    }

    /// Removes the command at the index of an applied entry and returns its replies. If the
    /// entry's term differs, the command was overwritten and will never be committed; its
    /// senders are told so.
    pub(super) fn take_applied(&mut self, index: u64, term: u64) -> Vec<Reply> {
        let Some(command) = self.by_index.remove(&index) else {
            return Vec::new();
        };
        if command.term == term {
            return command.replies;
        }
        let reason = "another leader's entry took the place of the command";
        command.answer(&unavailable(reason, MayCommit::No));
        Vec::new()
    }

    /// Answers all commands as unavailable; they may still be committed.
    pub(super) fn fail_all(&mut self, reason: &str) {
        self.answer_all(&unavailable(reason, MayCommit::Yes));
    }

    /// Like [`PendingCommands::fail_all`], for when an immediate retry would not help.
    pub(super) fn fail_all_lasting(&mut self, reason: &str) {
        self.answer_all(&unavailable_lasting(reason, MayCommit::Yes));
    }

    fn answer_all(&mut self, answer: &Body) {
        for (_, command) in std::mem::take(&mut self.by_index) {
            command.answer(answer);
        }
    }

    pub(super) fn expire(&mut self, now: Instant, timeout: Duration) {
        while let Some(first) = self.by_index.first_entry() {
            if now.saturating_duration_since(first.get().since) < timeout {
                return;
            }
            let reason = "not committed in time";
            first.remove().answer(&unavailable(reason, MayCommit::Yes));
        }
    }
}

/// Reads that wait for the log to confirm the index at which they may be answered, and
/// then for the state machine to reach that index.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    next_token: u64,
    /// By token.
    unconfirmed: BTreeMap<u64, (Query, Reply)>,
    /// By index, then token.
    confirmed: BTreeMap<(u64, u64), (Query, Reply)>,
}

impl PendingReads {
    pub(super) fn is_full(&self) -> bool {
        self.unconfirmed.len() + self.confirmed.len() >= MAX_PENDING_READS
    }

    pub(super) fn insert(&mut self, query: Query, reply: Reply) -> u64 {
        self.next_token += 1;
        self.unconfirmed.insert(self.next_token, (query, reply));
        self.next_token
    }

    pub(super) fn remove_unconfirmed(&mut self, token: u64) -> Option<Reply> {
        self.unconfirmed.remove(&token).map(|(_, reply)| reply)
    }

    pub(super) fn confirm(&mut self, token: u64, index: u64) {
        if let Some(read) = self.unconfirmed.remove(&token) {
            self.confirmed.insert((index, token), read);
        }
    }

    /// Removes and returns a read that may be answered once `applied` is applied.
    pub(super) fn next(&mut self, applied: u64) -> Option<(Query, Reply)> {
        let first = self.confirmed.first_entry()?;
        let (index, _) = *first.key();
        (index <= applied).then(|| first.remove())
    }
}
