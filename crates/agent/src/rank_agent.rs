//! Keeps an agent for the rank that an engine is, whichever that is.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use expert::{MoveCost, SwitchNeed, SwitchTiming};
use eyre::WrapErr;
use member::{SpeedReports, TargetSpeed};
use node::{Decode, Follower, FollowerSettings};
use note::{Group, Weights};
use table::{Experts, Table};
use tokio::net::TcpListener;
use tokio::time::sleep;
use wire::proto::{NodeInfo, RouteTableQuery, query, query_reply};
use wire::{ClusterKey, Identity, LinkSettings, Role};

use crate::engine::{ArmingDialect, ArmingState, ClientSettings, TargetClient};
use crate::{MapAgent, MapAgentSettings, MapSettings, StartMap};

/// Between two renewals of the lease, a third of it.
const RENEW: Duration = Duration::from_millis(200);
/// Between two looks at what is due in a switch: a tenth of the time that a
/// switch takes.
const POLL: Duration = Duration::from_millis(25);
/// Between two tries while engine or control don't answer yet.
const AGAIN: Duration = Duration::from_millis(150);
/// Between two looks at which rank the engine is, and how fast.
const LOOK: Duration = Duration::from_millis(200);
/// Wait for control's answer.
const ANSWER: Duration = Duration::from_secs(2);
/// Length of a window: popularity changes every few seconds, and a map that
/// comes later than a fraction of that is of little use.
const WINDOW: Duration = Duration::from_millis(250);
/// Windows in three seconds, about as long as popularity stays.
const HORIZON: u32 = 12;
/// Time in which a group forms anew.
const FORMATION: Duration = Duration::from_millis(300);
/// Passes between the newest that is known to be begun and the switch: about
/// 0.2 s, in which holding, arming and the decision take place, so that the
/// group need not wait.
const LEAD: u64 = 3;
/// Time of these passes at most: to hold, to arm and to decide takes as long
/// however slow passes are.
const LEAD_TIME: Duration = Duration::from_millis(200);
/// Times of a switch. An order reaches an engine within a few milliseconds and
/// copying experts takes up to a second; an attempt that takes longer is given
/// up, since the popularity that it was planned for is over soon.
const SWITCH: SwitchTiming = SwitchTiming {
    resend: Duration::from_millis(100),
    attempt: Duration::from_millis(1_500),
    order: Duration::from_millis(2_500),
    ghost: Duration::from_millis(200),
    lead_steps: LEAD,
    lead_time: LEAD_TIME,
};
/// Part of the shortest pause that streams may make below which passes are
/// fast enough: the rest is for prompts that are read in between, and for the
/// time until a switch takes effect.
const FAST_PASS: f64 = 0.55;
/// Part of that pause at which passes are about to be too slow.
const SLOW_PASS: f64 = 0.75;
/// Part of the experts' work that a switch must save, about what is lost while
/// experts are copied.
const LEAST_GAIN: f64 = 0.08;
/// Pause that streams may make where no route tells one.
const USUAL_PAUSE: Duration = Duration::from_millis(120);
/// Times towards the engine on the same host.
const CLIENT: ClientSettings = ClientSettings {
    connect: Duration::from_millis(200),
    head: Duration::from_millis(400),
    progress: Duration::from_secs(1),
    question: Duration::from_millis(500),
};

/// Settings of a rank agent.
#[derive(Clone)]
pub struct RankAgentSettings {
    /// Name of the agent.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Where the engine answers.
    pub engine: SocketAddr,
    /// How it is spoken to.
    pub dialect: ArmingDialect,
    /// The service that it belongs to.
    pub service: String,
    /// Where links of other agents are accepted.
    pub links: SocketAddr,
    /// Links of a few control replicas.
    pub controls: Vec<SocketAddr>,
    /// The cluster key.
    pub key: ClusterKey,
    /// Times of links.
    pub link: LinkSettings,
    /// Reads a route table.
    pub decode: Decode,
    /// Share of a pass that copying experts costs.
    pub slowdown: f64,
}

/// Keeps an agent for the rank that an engine is. The agent begins anew each
/// time the engine joins another group or becomes another rank.
///
/// # Errors
///
/// An address can't be listened on.
pub async fn run_rank_agent(cfg: RankAgentSettings) -> eyre::Result<()> {
    let client = TargetClient::arming(cfg.engine, cfg.dialect, CLIENT);
    let me = Identity::new(Role::Agent, cfg.name.clone(), rand::random());
    let follower = follow(&cfg, &me);
    let (experts, pause) = known_service(&cfg, &follower).await;
    loop {
        let state = known_state(&client).await;
        let bound = TcpListener::bind(cfg.links).await;
        let listener = bound.wrap_err_with(|| format!("can't listen on {}", cfg.links))?;
        let settings = MapAgentSettings {
            me: me.clone(),
            group: state.group.clone(),
            rank: state.rank,
            engine: cfg.engine,
            dialect: cfg.dialect,
            follower: follower.clone(),
            poll: POLL,
            key: cfg.key.clone(),
            link: cfg.link.clone(),
            client: CLIENT,
            maps: maps(experts, pause, cfg.slowdown),
        };
        let agent = MapAgent::start(settings, listener).await?;
        agent.set_group(group(&state, experts));
        log::info!(group = state.group.as_str(), rank = state.rank; "agent serves its rank");
        watch_engine(&client, &state, cfg.engine, &follower).await;
        log::info!("the engine is a rank elsewhere now");
    }
}

fn follow(cfg: &RankAgentSettings, me: &Identity) -> Follower {
    let info = NodeInfo {
        role: Role::Agent.into(),
        name: me.name.clone(),
        incarnation: me.incarnation,
        zone: cfg.zone.clone(),
        link_address: cfg.links.to_string(),
        // Whoever coordinates may have to tell the engine an outcome in this
        // agent's place.
        caller_address: cfg.engine.to_string(),
        ..NodeInfo::default()
    };
    let following = FollowerSettings {
        controls: cfg.controls.clone(),
        renew: RENEW,
        key: cfg.key.clone(),
        link: cfg.link.clone(),
    };
    Follower::spawn_from_seeds(me.clone(), info, following)
}

/// Waits until the engine tells its rank.
async fn known_state(client: &TargetClient) -> ArmingState {
    loop {
        match client.arming_state().await {
            Ok(state) => return state,
            Err(e) => log::debug!("the engine doesn't tell its rank: {e}"),
        }
        sleep(AGAIN).await;
    }
}

/// Reports how fast the engine is, until it belongs to another group or is
/// another rank.
async fn watch_engine(
    client: &TargetClient,
    known: &ArmingState,
    engine: SocketAddr,
    follower: &Follower,
) {
    let place = |state: &ArmingState| (state.group.clone(), state.rank, state.ranks);
    let mut reports = SpeedReports::default();
    loop {
        sleep(LOOK).await;
        let Ok(state) = client.arming_state().await else {
            continue;
        };
        if place(&state) != place(known) {
            return;
        }
        if reports.is_due(state.slowdown, Instant::now()) {
            let speed = TargetSpeed {
                address: engine,
                slowdown: state.slowdown,
            };
            if follower.report_speed(speed, LOOK).await {
                reports.confirmed(state.slowdown, Instant::now());
            }
        }
    }
}

/// Waits until the route table tells the experts of the service, and the
/// shortest pause that its streams may make.
async fn known_service(cfg: &RankAgentSettings, follower: &Follower) -> (Experts, Duration) {
    loop {
        let asked = query::Body::RouteTable(RouteTableQuery {});
        if let Ok(reply) = follower.query(asked, ANSWER).await
            && let Some(query_reply::Body::RouteTable(told)) = reply.body
            && let Ok(table) = (cfg.decode)(&told.source)
            && let Some(experts) = experts(&table, &cfg.service)
        {
            let pause = table.shortest_pause(&cfg.service);
            return (experts, pause.unwrap_or(USUAL_PAUSE));
        }
        sleep(AGAIN).await;
    }
}

fn experts(table: &Table, service: &str) -> Option<Experts> {
    table.service(service)?.engine?.experts
}

fn maps(experts: Experts, pause: Duration, slowdown: f64) -> MapSettings {
    MapSettings {
        window: WINDOW,
        formation: FORMATION,
        horizon: HORIZON,
        cost: MoveCost {
            expert_bytes: experts.bytes,
            store_bytes_per_s: experts.bytes_per_second,
            slowdown,
            store_price: 0.0,
            plan_bytes: u64::MAX,
        },
        timing: SWITCH,
        most_new: usize::try_from(experts.most_new).unwrap_or(usize::MAX),
        start: StartMap::Bare,
        need: Some(SwitchNeed {
            step: pause.mul_f64(FAST_PASS),
            soon: pause.mul_f64(SLOW_PASS),
            gain: LEAST_GAIN,
        }),
    }
}

fn group(state: &ArmingState, experts: Experts) -> Group {
    let even = experts.experts.div_ceil(state.ranks.max(1));
    Group {
        name: state.group.clone(),
        model: String::new(),
        ranks: state.ranks,
        layers: experts.layers,
        experts: experts.experts,
        spare_slots: experts.slots.saturating_sub(even),
        weights: Weights {
            skew: 1.0,
            moves: 1.0,
        },
    }
}
