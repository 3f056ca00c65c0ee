//! Lets a rank go whose own agent stands still.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use expert::{Decision, Standing, Verdict};

use crate::engine::DecidedSwitches;
use crate::map::map_context::MapContext;

/// How long a rank's own agent is waited for. With every second order
/// unanswered an agent needs a third of it.
const PATIENCE: Duration = Duration::from_millis(300);
/// Between two tries at one rank.
const AGAIN: Duration = Duration::from_millis(300);
/// Tries at a rank whose agent has gone; after as many it is up to the
/// agent's return.
const TRIES: u32 = 20;

/// Lets ranks go whose own agents stand still.
///
/// A rank that has promised to stop before a pass stops its whole group until
/// it is told the outcome. If its agent is frozen or gone, all streams of the
/// group stand still with it. What is decided may be told by anyone: the
/// coordinator tells it, under a number that is higher than any that the
/// agent has used, so that the agent's own orders of before are out of force.
#[derive(Debug, Default)]
pub(crate) struct StandIn {
    /// Where the engine of each agent that was ever seen in the group answers.
    engines: BTreeMap<String, SocketAddr>,
    tried: BTreeMap<String, (Instant, u32)>,
    /// Since when the coordinator tells an outcome.
    telling: Option<Instant>,
    /// Newest version that is decided, and the committed ones.
    decided: u64,
    committed: BTreeSet<u64>,
}

impl StandIn {
    /// Remembers where engines answer.
    pub fn know(&mut self, engines: &BTreeMap<String, SocketAddr>) {
        let engines = engines
            .iter()
            .map(|(name, address)| (name.clone(), *address));
        self.engines.extend(engines);
    }

    /// Takes in what stands.
    pub fn opened(&mut self, standing: &Standing) {
        let committed = standing.committed.iter().map(|decision| decision.version);
        self.committed.extend(committed);
        let current = standing.current.as_ref().map_or(0, |last| last.version);
        self.decided = self.decided.max(current);
    }

    /// Takes in a decision.
    pub fn decided(&mut self, decision: &Decision) {
        self.decided = self.decided.max(decision.version);
        if decision.verdict == Verdict::Commit {
            self.committed.insert(decision.version);
        }
    }

    /// The ranks to be let go now, while the coordinator tells an outcome to
    /// `waiting` of the agents that live.
    pub fn due(
        &mut self,
        telling: bool,
        waiting: &[&str],
        live: &BTreeMap<String, SocketAddr>,
        now: Instant,
    ) -> Vec<(String, SocketAddr)> {
        self.telling = if telling {
            self.telling.or(Some(now))
        } else {
            None
        };
        let late = self.telling.is_some_and(|since| now >= since + PATIENCE);
        let (tried, engines) = (&mut self.tried, &self.engines);
        tried.retain(|name, _| !live.contains_key(name) || waiting.contains(&name.as_str()));
        let mut due = Vec::new();
        for (name, address) in engines {
            let gone = !live.contains_key(name);
            let stands = late && waiting.contains(&name.as_str());
            if !gone && !stands {
                continue;
            }
            let (due_at, count) = tried.entry(name.clone()).or_insert((now, 0));
            if now >= *due_at && *count < TRIES {
                *due_at = now + AGAIN;
                *count += 1;
                due.push((name.clone(), *address));
            }
        }
        due
    }

    /// What is decided, for a rank that is to be let go.
    pub fn release(&self, fencing: u64) -> DecidedSwitches {
        DecidedSwitches {
            fencing,
            newest: self.decided,
            committed: self.committed.clone(),
        }
    }
}

/// Lets one rank go; whether it was held.
pub(crate) async fn let_go(
    cx: Arc<MapContext>,
    address: SocketAddr,
    release: DecidedSwitches,
) -> bool {
    let Some(engine) = cx.target_client.peer_client(address) else {
        return false;
    };
    match engine.release_rank(&release).await {
        Ok(held) => held,
        Err(e) => {
            log::info!(engine:display = address; "rank can't be let go in its agent's place: {e}");
            false
        }
    }
}
