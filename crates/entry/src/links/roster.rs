//! The actor that owns the links to all agents.

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

use super::follow::follow;
use super::news::News;
use super::subsets::Subsets;
use super::{Agent, Announced};
use crate::metrics::{LinkMetrics, PoolMetrics};
use crate::placement::{Member, Placement};

/// Between two looks at who waits for a place, if nothing changed.
const TICK: Duration = Duration::from_millis(50);
/// An agent that is no longer of the subset keeps its link for so many heartbeats
/// after its last use. A change that is soon taken back then moves no link.
const LINGER_BEATS: u32 = 10;

/// Owns the links to all agents and keeps the pools as the member view, the
/// note in force and the links themselves say.
pub(crate) struct Roster;

/// What the actor is started with.
pub(crate) struct RosterCx {
    pub(crate) follower: Follower,
    pub(crate) placement: Arc<Placement>,
    pub(crate) me: Identity,
    pub(crate) key: ClusterKey,
    pub(crate) link: LinkSettings,
    pub(crate) metrics: PoolMetrics,
    pub(crate) links: LinkMetrics,
    pub(crate) zone: String,
    pub(crate) subset: SubsetSettings,
}

/// What the actor keeps.
pub(crate) struct Links {
    cx: RosterCx,
    held: BTreeMap<String, Held>,
    subsets: Subsets,
    /// When an agent will have been out of reach for too long.
    next_look: Option<Instant>,
    clock: JoinHandle<()>,
}

struct Held {
    agent: Arc<Agent>,
    task: JoinHandle<()>,
    /// It said on its link that it leaves, which the member view tells later.
    leaving: bool,
    /// It is one of the targets to link.
    chosen: bool,
    /// Since when it is chosen and can't be given work.
    down: Option<Instant>,
}

impl Actor for Roster {
    type Msg = News;
    type State = Links;
    type Arguments = RosterCx;

    async fn pre_start(
        &self,
        myself: ActorRef<News>,
        cx: RosterCx,
    ) -> Result<Links, ActorProcessingErr> {
        let clock = tokio::spawn(keep_time(myself, cx.follower.clone()));
        let subsets = Subsets::new(cx.subset, &cx.me.name, &cx.zone);
        Ok(Links {
            cx,
            held: BTreeMap::new(),
            subsets,
            next_look: None,
            clock,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<News>,
        news: News,
        links: &mut Links,
    ) -> Result<(), ActorProcessingErr> {
        match news {
            News::Look => links.look(&myself),
            News::Tick => links.tick(&myself),
            News::Gone(agent) => {
                agent.gone.cancel();
                links.look(&myself);
            }
            News::Leaving(agent) => links.leaving(&agent, &myself),
            News::Load(agent, report) => links.load(&agent, &report),
            News::Cache(agent, events) => links.cx.placement.cache_events(&agent, &events),
        }
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<News>,
        links: &mut Links,
    ) -> Result<(), ActorProcessingErr> {
        links.clock.abort();
        for held in links.held.values() {
            held.agent.gone.cancel();
            held.task.abort();
        }
        Ok(())
    }
}

/// Has the roster look at each change of what the follower holds.
async fn keep_time(roster: ActorRef<News>, follower: Follower) {
    let mut changed = follower.changed();
    let mut news = News::Look;
    while roster.send_message(news).is_ok() {
        news = match timeout(TICK, changed.changed()).await {
            Ok(Ok(())) => News::Look,
            // The follower is gone, and so is the entry in a moment.
            Ok(Err(_)) => return,
            Err(_) => News::Tick,
        };
    }
}

impl Links {
    fn tick(&mut self, myself: &ActorRef<News>) {
        let now = Instant::now();
        let linger = self.cx.link.heartbeat_interval * LINGER_BEATS;
        for held in self.held.values().filter(|held| !held.chosen) {
            held.agent.release(now, linger);
        }
        if self.next_look.is_some_and(|next| now >= next) {
            self.look(myself);
        }
        let uses = self.cx.placement.exchange(now, &self.cx.follower.parts());
        self.cx.follower.set_uses(uses);
        self.cx.placement.advance(now);
        self.cx.placement.show(now, &self.cx.metrics);
        let up = self.held.values().filter(|held| held.agent.is_up());
        self.cx.links.up.set(to_i64(up.count()));
        self.cx.links.targets.set(to_i64(self.held.len()));
    }

    /// Brings links and pools in line with the member view and the note.
    fn look(&mut self, myself: &ActorRef<News>) {
        let now = Instant::now();
        let view = self.cx.follower.view();
        let catalogue = self.cx.follower.catalogue();
        let announced = Announced::from_view(&view);
        for row in &announced {
            self.keep(row, myself);
        }
        self.drop_dead(&announced);
        self.subsets.update(&view, &catalogue, &announced);
        let linked = self.choose(now, &announced);
        let members = announced.iter().filter_map(|row| {
            let entries = linked.get(&row.target)?;
            self.member(row, *entries)
        });
        let members: Vec<Member> = members.collect();
        let entries = view
            .nodes
            .iter()
            .filter(|node| node.role() == wire::Role::Entry && !node.leaving);
        let entries = u32::try_from(entries.count()).unwrap_or(u32::MAX);
        let agents = self.held.values().map(|held| Arc::clone(&held.agent));
        let placement = &self.cx.placement;
        placement.set_quarantine(&self.cx.follower.quarantine());
        placement.update(now, &catalogue, &members, entries.max(1));
        placement.set_agents(agents);
    }

    /// Chooses the agents to link, and has them dialled.
    fn choose(&mut self, now: Instant, announced: &[Announced]) -> BTreeMap<String, u32> {
        let patience = self.cx.link.heartbeat_interval;
        for row in announced {
            if let Some(held) = self.held.get_mut(&row.target) {
                held.notice(now, row);
            }
        }
        let mut linked = self.subsets.linked(|target| {
            let down = self.held.get(target).and_then(|held| held.down);
            match down {
                Some(since) if now >= since + patience => Reachability::Down,
                _ => Reachability::Unknown,
            }
        });
        self.next_look = None;
        for row in announced {
            let Some(held) = self.held.get_mut(&row.target) else {
                continue;
            };
            if row.leaving && held.chosen {
                // What runs there finishes, and a target less is no reason to
                // let others wait for a connection.
                linked.insert(row.target.clone(), 1);
            }
            let chosen = linked.contains_key(&row.target);
            if chosen || held.chosen {
                held.agent.want();
            }
            held.chosen = chosen;
            held.notice(now, row);
            let due = held.down.map(|since| since + patience);
            let due = due.filter(|due| *due > now);
            self.next_look = self.next_look.into_iter().chain(due).min();
        }
        linked
    }

    /// Sees to it that the announced incarnation is linked.
    fn keep(&mut self, row: &Announced, myself: &ActorRef<News>) {
        if let Some(held) = self.held.get(&row.target) {
            let same = held.agent.incarnation == row.incarnation;
            if same && held.agent.address == row.address {
                return;
            }
            held.agent.gone.cancel();
            held.task.abort();
        }
        let agent = Agent::new(&row.target, row.incarnation, row.address);
        let agent = Arc::new(agent);
        let task = tokio::spawn(follow(
            Arc::clone(&agent),
            self.cx.me.clone(),
            self.cx.key.clone(),
            self.cx.link.clone(),
            myself.clone(),
        ));
        let held = Held {
            agent,
            task,
            leaving: false,
            chosen: false,
            down: None,
        };
        self.held.insert(row.target.clone(), held);
    }

    /// Ends the links to agents that are no longer announced and have neither
    /// a connection nor an attempt left. As long as the connection lives, the
    /// agent is only cut off from control, and what runs there finishes.
    fn drop_dead(&mut self, announced: &[Announced]) {
        self.held.retain(|name, held| {
            let known = announced.iter().any(|row| row.target == *name);
            let alive = held.agent.is_up() || !held.agent.is_idle();
            if known || alive {
                return true;
            }
            held.agent.gone.cancel();
            held.task.abort();
            false
        });
    }

    fn member(&self, row: &Announced, entries: u32) -> Option<Member> {
        let held = self.held.get(&row.target)?;
        let standing = if row.leaving || held.leaving {
            TargetStatus::Draining
        } else if held.is_fit(row) {
            TargetStatus::Ready
        } else {
            TargetStatus::Unavailable
        };
        Some(Member {
            agent: Arc::clone(&held.agent),
            announced: row.clone(),
            standing,
            entries,
        })
    }

    fn leaving(&mut self, agent: &Arc<Agent>, myself: &ActorRef<News>) {
        if let Some(held) = self.held.get_mut(&agent.name)
            && Arc::ptr_eq(&held.agent, agent)
        {
            held.leaving = true;
        }
        self.look(myself);
    }

    fn load(&self, agent: &Arc<Agent>, report: &LoadReport) {
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
            // A plain service reports itself as a whole.
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
        self.cx.placement.report(agent, &report);
    }
}

impl Held {
    /// Notes since when it can't be given the work that it is chosen for.
    fn notice(&mut self, now: Instant, row: &Announced) {
        let since = self.down.unwrap_or(now);
        self.down = (self.chosen && !self.is_fit(row)).then_some(since);
    }

    /// Whether the target can be given work, but for its leaving.
    fn is_fit(&self, row: &Announced) -> bool {
        row.healthy && self.agent.is_up() && !self.agent.gone.is_cancelled()
    }
}

fn to_i64(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
