//! What waits for the log.

use crate::reply::{Commit, Reply, unavailable, unavailable_for_long};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use wire::proto::Query;
use wire::proto::frame::Body;

/// Commands that wait at a time; one more is refused at once.
pub(super) const MOST_COMMANDS: usize = 16_384;
/// Reads that wait at a time.
pub(super) const MOST_READS: usize = 16_384;

/// A command that waits to be committed.
#[derive(Debug)]
struct Waiting {
    term: u64,
    since: Instant,
    reply: Reply,
}

/// Commands that wait to be committed, by their place in the log.
#[derive(Debug, Default)]
pub(super) struct Commands {
    waiting: BTreeMap<u64, Waiting>,
}

impl Commands {
    pub(super) fn is_full(&self) -> bool {
        self.waiting.len() >= MOST_COMMANDS
    }

    pub(super) fn insert(&mut self, place: (u64, u64), reply: Reply, now: Instant) {
        let (index, term) = place;
        let since = now;
        let waiting = Waiting { term, since, reply };
        self.waiting.insert(index, waiting);
    }

    /// Who waits for the entry that was applied. If it is another one than
    /// was ordered, the command is lost for good and its sender is told so.
    pub(super) fn applied(&mut self, index: u64, term: u64) -> Option<Reply> {
        let waiting = self.waiting.remove(&index)?;
        if waiting.term == term {
            return Some(waiting.reply);
        }
        let reason = "another leader's entry took the place of the command";
        waiting.reply.send(unavailable(reason, Commit::Never));
        None
    }

    /// Gives up on all: whether they are committed is for others to say.
    pub(super) fn give_up(&mut self, reason: &str) {
        self.answer_all(&unavailable(reason, Commit::Perhaps));
    }

    /// The same where nothing can be committed for a while.
    pub(super) fn give_up_for_long(&mut self, reason: &str) {
        self.answer_all(&unavailable_for_long(reason, Commit::Perhaps));
    }

    fn answer_all(&mut self, answer: &Body) {
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            waiting.reply.send(answer.clone());
        }
    }

    pub(super) fn expire(&mut self, now: Instant, within: Duration) {
        while let Some(first) = self.waiting.first_entry() {
            if now.saturating_duration_since(first.get().since) < within {
                return;
            }
            let reason = "not committed in time";
            let waiting = first.remove();
            waiting.reply.send(unavailable(reason, Commit::Perhaps));
        }
    }
}

/// A read, before and after the log has said at which index it may be answered.
#[derive(Debug, Default)]
pub(super) struct Reads {
    next_token: u64,
    asked: BTreeMap<u64, (Query, Reply)>,
    /// By index, then token.
    confirmed: BTreeMap<(u64, u64), (Query, Reply)>,
}

impl Reads {
    pub(super) fn is_full(&self) -> bool {
        self.asked.len() + self.confirmed.len() >= MOST_READS
    }

    pub(super) fn insert(&mut self, query: Query, reply: Reply) -> u64 {
        self.next_token += 1;
        self.asked.insert(self.next_token, (query, reply));
        self.next_token
    }

    pub(super) fn refused(&mut self, token: u64) -> Option<Reply> {
        self.asked.remove(&token).map(|(_, reply)| reply)
    }

    pub(super) fn confirm(&mut self, token: u64, index: u64) {
        if let Some(read) = self.asked.remove(&token) {
            self.confirmed.insert((index, token), read);
        }
    }

    /// A read that may be answered now that `applied` is applied.
    pub(super) fn next(&mut self, applied: u64) -> Option<(Query, Reply)> {
        let first = self.confirmed.first_entry()?;
        let (index, _) = *first.key();
        (index <= applied).then(|| first.remove())
    }
}
