//! The actor that manages the links to all agents.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use node::Follower;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use route::{RankLoadReport, Reachability, SubsetSettings, TargetLoadReport, TargetStatus};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use wire::proto::LoadReport;
use wire::{ClusterKey, Identity, LinkSettings};

use super::connection::maintain_link;
use super::event::LinkEvent;
use super::subsets::Subsets;
use super::{Agent, AnnouncedTarget};
use crate::metrics::{LinkMetrics, PoolMetrics};
use crate::placement::{LiveTarget, Placement};

/// Interval for advancing the admission queues if nothing else triggers it.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Heartbeat intervals without use after which the link to an agent outside the subset
/// is closed. A short-lived change of the subset thus closes no links.
const IDLE_HEARTBEATS: u32 = 10;

/// Manages the links to all agents and updates the pools from the member view, the
/// release note in force and the state of the links.
pub(crate) struct LinkManager;

/// Startup arguments of the actor.
pub(crate) struct LinkManagerArguments {
    pub(crate) follower: Follower,
    pub(crate) placement: Arc<Placement>,
    pub(crate) identity: Identity,
    pub(crate) key: ClusterKey,
    pub(crate) link: LinkSettings,
    pub(crate) pool_metrics: PoolMetrics,
    pub(crate) link_metrics: LinkMetrics,
    pub(crate) zone: String,
    pub(crate) subset: SubsetSettings,
}

/// State of the actor.
pub(crate) struct LinkManagerState {
    args: LinkManagerArguments,
    agents: BTreeMap<String, KnownAgent>,
    subsets: Subsets,
    /// When the next unavailable agent exceeds the grace period.
    next_reconcile: Option<Instant>,
    timer: JoinHandle<()>,
}

struct KnownAgent {
    agent: Arc<Agent>,
    task: JoinHandle<()>,
    /// Whether the agent has announced on its link that it is leaving. The member view
    /// shows this later.
    leaving: bool,
    /// Whether the agent is selected for a link.
    selected: bool,
    /// When the agent became unavailable while selected.
    unavailable_since: Option<Instant>,
}

impl Actor for LinkManager {
    type Msg = LinkEvent;
    type State = LinkManagerState;
    type Arguments = LinkManagerArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<LinkEvent>,
        args: LinkManagerArguments,
    ) -> Result<LinkManagerState, ActorProcessingErr> {
        let timer = tokio::spawn(run_timer(myself, args.follower.clone()));
        let subsets = Subsets::new(args.subset, &args.identity.name, &args.zone);
        Ok(LinkManagerState {
            args,
            agents: BTreeMap::new(),
            subsets,
            next_reconcile: None,
            timer,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<LinkEvent>,
        event: LinkEvent,
        state: &mut LinkManagerState,
    ) -> Result<(), ActorProcessingErr> {
        match event {
            LinkEvent::Changed => state.reconcile(&myself),
            LinkEvent::Tick => state.tick(&myself),
            LinkEvent::IncarnationEnded(agent) => {
                agent.ended.cancel();
                state.reconcile(&myself);
            }
            LinkEvent::Leaving(agent) => state.mark_leaving(&agent, &myself),
            LinkEvent::LoadReport(agent, report) => state.record_load(&agent, &report),
            LinkEvent::CacheEvents(agent, events) => {
                state.args.placement.cache_events(&agent, &events);
            }
        }
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<LinkEvent>,
        state: &mut LinkManagerState,
    ) -> Result<(), ActorProcessingErr> {
        state.timer.abort();
        for known in state.agents.values() {
            known.agent.ended.cancel();
            known.task.abort();
        }
        Ok(())
    }
}

/// Sends an event on each change of the follower state, and ticks in between.
async fn run_timer(link_manager: ActorRef<LinkEvent>, follower: Follower) {
    let mut changed = follower.changed();
    let mut event = LinkEvent::Changed;
    while link_manager.send_message(event).is_ok() {
        event = match timeout(TICK_INTERVAL, changed.changed()).await {
            Ok(Ok(())) => LinkEvent::Changed,
            // The follower ends only shortly before the entry itself.
            Ok(Err(_)) => return,
            Err(_) => LinkEvent::Tick,
        };
    }
}

impl LinkManagerState {
    fn tick(&mut self, myself: &ActorRef<LinkEvent>) {
        let now = Instant::now();
        let idle_timeout = self.args.link.heartbeat_interval * IDLE_HEARTBEATS;
        for known in self.agents.values().filter(|known| !known.selected) {
            known.agent.release_if_idle(now, idle_timeout);
        }
        if self.next_reconcile.is_some_and(|next| now >= next) {
            self.reconcile(myself);
        }
        let uses = self
            .args
            .placement
            .exchange_quotas(now, &self.args.follower.quota_shares());
        self.args.follower.set_account_usage(uses);
        self.args.placement.advance(now);
        self.args
            .placement
            .export_metrics(now, &self.args.pool_metrics);
        let up = self
            .agents
            .values()
            .filter(|known| known.agent.is_connected());
        self.args.link_metrics.up.set(to_i64(up.count()));
        self.args.link_metrics.agents.set(to_i64(self.agents.len()));
    }

    /// Updates links and pools from the member view and the release note.
    fn reconcile(&mut self, myself: &ActorRef<LinkEvent>) {
        let now = Instant::now();
        let view = self.args.follower.view();
        let catalogue = self.args.follower.catalogue();
        let announced_targets = AnnouncedTarget::from_view(&view);
        for announced in &announced_targets {
            self.ensure_agent(announced, myself);
        }
        self.remove_unreachable(&announced_targets);
        self.subsets.update(&view, &catalogue, &announced_targets);
        let linked = self.select_agents(now, &announced_targets);
        let live_targets = announced_targets.iter().filter_map(|announced| {
            let entries = linked.get(&announced.target)?;
            self.live_target(announced, *entries)
        });
        let live_targets: Vec<LiveTarget> = live_targets.collect();
        let entries = view
            .nodes
            .iter()
            .filter(|node| node.role() == wire::Role::Entry && !node.leaving);
        let entries = u32::try_from(entries.count()).unwrap_or(u32::MAX);
        let known_agents = self.agents.values().map(|known| Arc::clone(&known.agent));
        let placement = &self.args.placement;
        placement.set_quarantine(&self.args.follower.quarantine());
        placement.update(now, &catalogue, &live_targets, entries.max(1));
        placement.set_agents(known_agents);
    }

    /// Selects the agents to link and requests connections to them.
    fn select_agents(
        &mut self,
        now: Instant,
        announced_targets: &[AnnouncedTarget],
    ) -> BTreeMap<String, u32> {
        let grace = self.args.link.heartbeat_interval;
        for announced in announced_targets {
            if let Some(known) = self.agents.get_mut(&announced.target) {
                known.update_unavailable_since(now, announced);
            }
        }
        let mut linked = self.subsets.linked(|target| {
            let unavailable_since = self
                .agents
                .get(target)
                .and_then(|known| known.unavailable_since);
            match unavailable_since {
                Some(since) if now >= since + grace => Reachability::Down,
                _ => Reachability::Unknown,
            }
        });
        self.next_reconcile = None;
        for announced in announced_targets {
            let Some(known) = self.agents.get_mut(&announced.target) else {
                continue;
            };
            if announced.leaving && known.selected {
                // Attempts there may finish. One target less is no reason to make
                // requests for other targets wait for new connections.
                linked.insert(announced.target.clone(), 1);
            }
            let selected = linked.contains_key(&announced.target);
            if selected || known.selected {
                known.agent.request_link();
            }
            known.selected = selected;
            known.update_unavailable_since(now, announced);
            let due = known.unavailable_since.map(|since| since + grace);
            let due = due.filter(|due| *due > now);
            self.next_reconcile = self.next_reconcile.into_iter().chain(due).min();
        }
        linked
    }

    /// Ensures that the announced incarnation is the one that is linked.
    fn ensure_agent(&mut self, announced: &AnnouncedTarget, myself: &ActorRef<LinkEvent>) {
        if let Some(known) = self.agents.get(&announced.target) {
            let same = known.agent.incarnation == announced.incarnation;
            if same && known.agent.address == announced.address {
                return;
            }
            known.agent.ended.cancel();
            known.task.abort();
        }
        let agent = Agent::new(&announced.target, announced.incarnation, announced.address);
        let agent = Arc::new(agent);
        let task = tokio::spawn(maintain_link(
            Arc::clone(&agent),
            self.args.identity.clone(),
            self.args.key.clone(),
            self.args.link.clone(),
            myself.clone(),
        ));
        let known = KnownAgent {
            agent,
            task,
            leaving: false,
            selected: false,
            unavailable_since: None,
        };
        self.agents.insert(announced.target.clone(), known);
    }

    /// Removes agents that are no longer announced and have neither a connection nor a
    /// running attempt. An agent whose connection is up may only be cut off from
    /// control, so its attempts may finish.
    fn remove_unreachable(&mut self, announced_targets: &[AnnouncedTarget]) {
        self.agents.retain(|name, known| {
            let is_announced = announced_targets
                .iter()
                .any(|announced| announced.target == *name);
            let alive = known.agent.is_connected() || !known.agent.is_idle();
            if is_announced || alive {
                return true;
            }
            known.agent.ended.cancel();
            known.task.abort();
            false
        });
    }

    fn live_target(&self, announced: &AnnouncedTarget, entries: u32) -> Option<LiveTarget> {
        let known = self.agents.get(&announced.target)?;
        let status = if announced.leaving || known.leaving {
            TargetStatus::Draining
        } else if known.is_available(announced) {
            TargetStatus::Ready
        } else {
            TargetStatus::Unavailable
        };
        Some(LiveTarget {
            agent: Arc::clone(&known.agent),
            announced: announced.clone(),
            status,
            entries,
        })
    }

    fn mark_leaving(&mut self, agent: &Arc<Agent>, myself: &ActorRef<LinkEvent>) {
        if let Some(known) = self.agents.get_mut(&agent.name)
            && Arc::ptr_eq(&known.agent, agent)
        {
            known.leaving = true;
        }
        self.reconcile(myself);
    }

    fn record_load(&self, agent: &Arc<Agent>, report: &LoadReport) {
        let age = Duration::from_millis(u64::from(report.age_ms));
        let now = Instant::now();
        let ranks = report.ranks.iter().map(|rank| RankLoadReport {
            rank: rank.rank,
            running: rank.running,
            queued_tokens: rank.queued_tokens,
            kv_used_permille: rank.kv_used_permille,
            step: Duration::from_micros(u64::from(rank.step_us)),
        });
        let mut ranks: Vec<RankLoadReport> = ranks.collect();
        if ranks.is_empty() {
            // A service has no ranks and reports its total load.
            ranks.push(RankLoadReport {
                running: report.running,
                ..RankLoadReport::default()
            });
        }
        let report = TargetLoadReport {
            taken_at: now.checked_sub(age).unwrap_or(now),
            limit: report.limit,
            queued: report.queued,
            ranks,
        };
        self.args.placement.report(agent, &report);
    }
}

impl KnownAgent {
    /// Updates the time at which the agent became unavailable while selected.
    fn update_unavailable_since(&mut self, now: Instant, announced: &AnnouncedTarget) {
        let since = self.unavailable_since.unwrap_or(now);
        self.unavailable_since = (self.selected && !self.is_available(announced)).then_some(since);
    }

    /// Whether the target can accept work, disregarding that it may be leaving.
    fn is_available(&self, announced: &AnnouncedTarget) -> bool {
        announced.healthy && self.agent.is_connected() && !self.agent.ended.is_cancelled()
    }
}

fn to_i64(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
