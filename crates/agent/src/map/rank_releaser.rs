//! Releases held ranks whose own agent is unresponsive or gone.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use expert::{Decision, GroupState, Verdict};

use crate::engine::DecidedSwitches;
use crate::map::map_context::MapContext;

/// How long the coordinator waits for a rank's own agent. With every second
/// command unanswered, an agent needs a third of it.
const AGENT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two tries at one rank.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Tries at a rank whose agent is gone; after that the rank waits for the agent
/// to return.
const MAX_TRIES: u32 = 20;

/// Releases held ranks whose own agent is unresponsive or gone.
///
/// A rank that holds before a step stops its whole group until it receives the
/// outcome. If its agent is suspended or gone, all streams of the group stall.
/// A decided outcome may be sent by any node: the coordinator sends it, under a
/// higher fencing number than the agent has used, so that the rank refuses the
/// agent's earlier commands.
#[derive(Debug, Default)]
pub(crate) struct RankReleaser {
    /// Engine address of each agent that was ever seen in the group.
    engines: BTreeMap<String, SocketAddr>,
    /// When the next try at each agent's rank is due, and the number of tries.
    tries: BTreeMap<String, (Instant, u32)>,
    /// Since when the coordinator has been sending an outcome.
    telling_since: Option<Instant>,
    /// Newest decided version.
    newest: u64,
    /// Committed versions.
    committed: BTreeSet<u64>,
}

impl RankReleaser {
    /// Remembers engine addresses.
    pub fn add_engines(&mut self, engines: &BTreeMap<String, SocketAddr>) {
        let engines = engines
            .iter()
            .map(|(name, address)| (name.clone(), *address));
        self.engines.extend(engines);
    }

    /// Records the decisions that control returned when the coordinator opened.
    pub fn opened(&mut self, standing: &GroupState) {
        let committed = standing.committed.iter().map(|decision| decision.version);
        self.committed.extend(committed);
        let current = standing.current.as_ref().map_or(0, |last| last.version);
        self.newest = self.newest.max(current);
    }

    /// Records a decision.
    pub fn decided(&mut self, decision: &Decision) {
        self.newest = self.newest.max(decision.version);
        if decision.verdict == Verdict::Commit {
            self.committed.insert(decision.version);
        }
    }

    /// Agents whose ranks are to be released now, with their engine addresses.
    /// `telling` says whether the coordinator is sending an outcome, and `waiting`
    /// names the live agents that haven't confirmed it.
    pub fn due(
        &mut self,
        telling: bool,
        waiting: &[&str],
        live: &BTreeMap<String, SocketAddr>,
        now: Instant,
    ) -> Vec<(String, SocketAddr)> {
        self.telling_since = if telling {
            self.telling_since.or(Some(now))
        } else {
            None
        };
        let late = self
            .telling_since
            .is_some_and(|since| now >= since + AGENT_TIMEOUT);
        let (tries, engines) = (&mut self.tries, &self.engines);
        tries.retain(|name, _| !live.contains_key(name) || waiting.contains(&name.as_str()));
        let mut due = Vec::new();
        for (name, address) in engines {
            let gone = !live.contains_key(name);
            let unresponsive = late && waiting.contains(&name.as_str());
            if !gone && !unresponsive {
                continue;
            }
            let (due_at, count) = tries.entry(name.clone()).or_insert((now, 0));
            if now >= *due_at && *count < MAX_TRIES {
                *due_at = now + RETRY_INTERVAL;
                *count += 1;
                due.push((name.clone(), *address));
            }
        }
        due
    }

    /// The decided switches, for releasing a rank.
    pub fn decided_switches(&self, fencing: u64) -> DecidedSwitches {
        DecidedSwitches {
            fencing,
            newest: self.newest,
            committed: self.committed.clone(),
        }
    }
}

/// Releases one rank. Returns whether it was held.
pub(crate) async fn release_rank(
    cx: Arc<MapContext>,
    address: SocketAddr,
    decided: DecidedSwitches,
) -> bool {
    let Some(engine) = cx.target_client.peer_client(address) else {
        return false;
    };
    match engine.release_rank(&decided).await {
        Ok(held) => held,
        Err(e) => {
            log::info!(engine:display = address; "failed to release a rank in place of its agent: {e}");
            false
        }
    }
}
