//! Answers to the coordinator that a relay merges into one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wire::proto::{GroupLoad, RankWindow};

/// How long a relay waits for the answers of the other agents of its branch.
const GATHER_TIMEOUT: Duration = Duration::from_millis(150);

/// What a coordinator requests from the agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Requested {
    Counts,
    Formation,
}

impl Requested {
    /// What a request or an answer is about.
    pub fn of(load: &GroupLoad) -> Requested {
        if load.about_formation {
            Requested::Formation
        } else {
            Requested::Counts
        }
    }
}

/// Answers to requests of coordinators that this relay has forwarded.
///
/// The counts of a rank are thousands of numbers. If each of a hundred agents sent
/// its own to the coordinator, they would fill the link of the coordinator's host.
#[derive(Debug, Default)]
pub(crate) struct Gathers {
    /// By name of the coordinator.
    open: BTreeMap<(String, Requested), Gather>,
}

#[derive(Debug)]
struct Gather {
    /// Agents that have not answered yet.
    waiting: BTreeSet<String>,
    merged: GroupLoad,
    deadline: Instant,
}

/// What becomes of an answer.
#[derive(Debug, PartialEq)]
pub(crate) enum Gathered {
    /// It is to be sent on its own.
    Unmerged(GroupLoad),
    /// It was merged, and others are still missing.
    Pending,
    /// All answers, merged.
    Complete(GroupLoad),
}

impl Gathers {
    /// Expects the answers of `agents` to a request of `coordinator`. Returns what has
    /// been merged for its previous request, if that is incomplete.
    pub fn begin(
        &mut self,
        coordinator: &str,
        request: &GroupLoad,
        agents: BTreeSet<String>,
        now: Instant,
    ) -> Option<GroupLoad> {
        let merged = GroupLoad {
            is_answer: true,
            ..request.clone()
        };
        let gather = Gather {
            waiting: agents,
            merged,
            deadline: now + GATHER_TIMEOUT,
        };
        let key = (coordinator.to_owned(), Requested::of(request));
        let previous = self.open.insert(key, gather)?;
        previous.answer()
    }

    /// Whether the answers to a request of `coordinator` are being merged.
    pub fn is_open(&self, coordinator: &str) -> bool {
        let mut open = self.open.keys();
        open.any(|(name, _)| name == coordinator)
    }

    /// Adds the answer of an agent.
    pub fn add(&mut self, coordinator: &str, agent: &str, answer: GroupLoad) -> Gathered {
        let key = (coordinator.to_owned(), Requested::of(&answer));
        let Some(gather) = self.open.get_mut(&key) else {
            return Gathered::Unmerged(answer);
        };
        if !gather.waiting.remove(agent) {
            return Gathered::Unmerged(answer);
        }
        gather.merge(answer);
        if !gather.waiting.is_empty() {
            return Gathered::Pending;
        }
        let merged = self.open.remove(&key).and_then(Gather::answer);
        merged.map_or(Gathered::Pending, Gathered::Complete)
    }

    /// Removes the gathers whose time is over, and returns the coordinators with what
    /// has been merged.
    pub fn expire(&mut self, now: Instant) -> Vec<(String, GroupLoad)> {
        let expired = self.open.extract_if(.., |_, gather| gather.deadline <= now);
        let answers =
            expired.filter_map(|((coordinator, _), gather)| Some((coordinator, gather.answer()?)));
        answers.collect()
    }
}

impl Gather {
    fn merge(&mut self, answer: GroupLoad) {
        if answer.formation > self.merged.formation {
            self.merged.formation = answer.formation;
            self.merged.formed = answer.formed;
        }
        merge_windows(&mut self.merged.ranks, answer.ranks);
    }

    /// The merged answers; `None` if there are none.
    fn answer(self) -> Option<GroupLoad> {
        let is_empty = self.merged.ranks.is_empty() && self.merged.formation == 0;
        (!is_empty).then_some(self.merged)
    }
}

/// Adds windows of further ranks. The first window gets the tokens of all of them,
/// since only their sum is needed.
fn merge_windows(windows: &mut Vec<RankWindow>, added: Vec<RankWindow>) {
    for mut window in added {
        if let Some(first) = windows.first_mut() {
            let tokens = std::mem::take(&mut window.tokens);
            add_tokens(&mut first.tokens, &tokens);
        }
        windows.push(window);
    }
}

/// Adds token counts to others.
pub(crate) fn add_tokens(sum: &mut Vec<u32>, tokens: &[u32]) {
    if sum.len() < tokens.len() {
        sum.resize(tokens.len(), 0);
    }
    for (sum, count) in sum.iter_mut().zip(tokens) {
        *sum = sum.saturating_add(*count);
    }
}
