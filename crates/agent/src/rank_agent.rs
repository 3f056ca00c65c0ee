//! Runs a map agent for whichever rank an engine has.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use expert::{MoveCost, SwitchCriteria, SwitchTiming};
use member::{SpeedReportSchedule, TargetSpeed};
use node::{ControlAddresses, DecodeRouteTable, Follower, FollowerSettings};
use note::{Group, Weights};
use table::{Experts, Table};
use tokio::sync::watch;
use tokio::time::sleep;
use wire::proto::NodeInfo;
use wire::{ClusterKey, Identity, LinkSettings, Role};

use crate::early_relay::EarlyRelay;
use crate::engine::{ArmingDialect, ArmingState, ClientSettings, TargetClient};
use crate::{InitialMap, MapAgent, MapAgentSettings, MapSettings};

/// Interval of lease renewals: a third of the lease time.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of ticks during a switch: a tenth of the time that a switch takes.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Delay between two tries while the engine or control doesn't answer yet.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval at which the rank and the speed of the engine are polled.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of queries to control.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Length of a window. Expert popularity changes every few seconds, and a map is
/// useful only if it arrives within a fraction of that time.
const WINDOW: Duration = Duration::from_millis(250);
/// Number of windows in three seconds, which is about how long popularity lasts.
const HORIZON_WINDOWS: u32 = 12;
/// Interval at which the formation is polled: about the time in which a group
/// re-forms.
const FORMATION_INTERVAL: Duration = Duration::from_millis(300);
/// Steps between the newest step known to have begun and the switch: about 0.2 s.
/// Holding, arming and the decision happen in this time, so that the group doesn't
/// wait for them.
const LEAD_STEPS: u64 = 3;
/// Upper bound on the time of these steps, since holding, arming and the decision
/// take no longer when steps are slow.
const LEAD_TIME: Duration = Duration::from_millis(200);
/// Interval after which an unanswered message of a switch is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Timing of a switch. A command reaches an engine within a few milliseconds, and
/// copying experts takes up to a second. A switch that takes longer is abandoned,
/// because the popularity for which it was planned will soon be outdated.
const SWITCH_TIMING: SwitchTiming = SwitchTiming {
    resend_interval: RESEND_INTERVAL,
    group_read_delay: RESEND_INTERVAL,
    phase_timeout: Duration::from_millis(1_500),
    command_timeout: Duration::from_millis(2_500),
    late_command_window: Duration::from_millis(200),
    lead_steps: LEAD_STEPS,
    lead_time: LEAD_TIME,
};
/// Steps are fast enough below this fraction of the shortest allowed gap between
/// tokens. The rest of the gap is left for prompts that are processed in between,
/// and for the time until a switch takes effect.
const FAST_STEP_RATIO: f64 = 0.55;
/// Fraction of that gap from which steps are about to become too slow.
const SLOW_STEP_RATIO: f64 = 0.75;
/// Fraction of the experts' work that a switch must save: about what is lost while
/// experts are copied.
const MIN_GAIN: f64 = 0.08;
/// Allowed gap between tokens if no route sets one.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(120);
/// Timeouts of requests to the engine on the same host.
const CLIENT_SETTINGS: ClientSettings = ClientSettings {
    connect_timeout: Duration::from_millis(200),
    head_timeout: Duration::from_millis(400),
    progress_timeout: Duration::from_secs(1),
    request_timeout: Duration::from_millis(500),
};

/// Settings of [`run_rank_agent`].
#[derive(Clone)]
pub struct RankAgentSettings {
    /// Name of the agent.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Wire format of the engine's commands.
    pub dialect: ArmingDialect,
    /// Service to which the engine belongs.
    pub service: String,
    /// Address on which links of other agents are accepted.
    pub links: SocketAddr,
    /// Current link addresses of a few control replicas.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// The cluster key.
    pub key: ClusterKey,
    /// Settings of links.
    pub link: LinkSettings,
    /// Decodes a route table.
    pub decode: DecodeRouteTable,
    /// Fraction by which copying experts slows down a step.
    pub slowdown: f64,
}

/// Runs a map agent for the rank of an engine. The agent is restarted each time
/// the engine joins another group or becomes another rank.
///
/// # Errors
///
/// Fails when the link address can never be bound.
pub async fn run_rank_agent(cfg: RankAgentSettings) -> eyre::Result<()> {
    // Bound before the follower announces the address to other nodes.
    let listener = Arc::new(wire::listen_when_free(cfg.links).await?);
    let client = TargetClient::arming(cfg.engine, cfg.dialect, CLIENT_SETTINGS);
    let me = Identity::new(Role::Agent, cfg.name.clone(), rand::random());
    let follower = spawn_follower(&cfg, &me);
    let relaying = EarlyRelay {
        me: me.clone(),
        key: cfg.key.clone(),
        link: cfg.link.clone(),
        follower: follower.clone(),
    };
    let service = wait_for_service(&cfg, &follower);
    let (experts, max_gap) = relaying.serve_until(&listener, service).await;
    loop {
        let state = wait_for_state(&client);
        let state = relaying.serve_until(&listener, state).await;
        let settings = MapAgentSettings {
            me: me.clone(),
            group: state.group.clone(),
            rank: state.rank,
            engine: cfg.engine,
            dialect: cfg.dialect,
            follower: follower.clone(),
            tick_interval: POLL_INTERVAL,
            key: cfg.key.clone(),
            link: cfg.link.clone(),
            client: CLIENT_SETTINGS,
            maps: map_settings(experts, state.ranks, max_gap, cfg.slowdown),
        };
        let agent = MapAgent::start(settings, Arc::clone(&listener)).await?;
        agent.set_group(group_info(&state, experts));
        log::info!(group = state.group.as_str(), rank = state.rank; "serving a rank");
        watch_engine(&client, &state, cfg.engine, &follower).await;
        log::info!("the engine changed its group or rank; restarting the map agent");
    }
}

fn spawn_follower(cfg: &RankAgentSettings, me: &Identity) -> Follower {
    let info = NodeInfo {
        role: Role::Agent.into(),
        name: me.name.clone(),
        incarnation: me.incarnation,
        zone: cfg.zone.clone(),
        link_address: cfg.links.to_string(),
        // A coordinator may have to send the engine an outcome in place of this
        // agent.
        caller_address: cfg.engine.to_string(),
        ..NodeInfo::default()
    };
    let settings = FollowerSettings {
        controls: ControlAddresses::Seeds(cfg.seeds.clone()),
        renew_interval: RENEW_INTERVAL,
        key: cfg.key.clone(),
        link: cfg.link.clone(),
    };
    Follower::spawn(me.clone(), info, settings)
}

/// Waits until the engine reports its rank.
async fn wait_for_state(client: &TargetClient) -> ArmingState {
    loop {
        match client.arming_state().await {
            Ok(state) => return state,
            Err(e) => log::debug!("failed to read the rank of the engine: {e}"),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reports the speed of the engine until it belongs to another group or is another
/// rank.
async fn watch_engine(
    client: &TargetClient,
    known: &ArmingState,
    engine: SocketAddr,
    follower: &Follower,
) {
    let identity = |state: &ArmingState| (state.group.clone(), state.rank, state.ranks);
    let mut reports = SpeedReportSchedule::default();
    loop {
        sleep(ENGINE_POLL_INTERVAL).await;
        let Ok(state) = client.arming_state().await else {
            continue;
        };
        if identity(&state) != identity(known) {
            return;
        }
        if reports.is_due(state.slowdown, Instant::now()) {
            let speed = TargetSpeed {
                address: engine,
                slowdown: state.slowdown,
            };
            if follower.report_speed(speed, ENGINE_POLL_INTERVAL).await {
                reports.confirmed(state.slowdown, Instant::now());
            }
        }
    }
}

/// Waits until the route table has the experts of the service. Returns them with
/// the shortest allowed gap between tokens.
async fn wait_for_service(cfg: &RankAgentSettings, follower: &Follower) -> (Experts, Duration) {
    loop {
        if let Ok(route_table) = follower.any_route_table(CONTROL_TIMEOUT).await
            && let Ok(table) = (cfg.decode)(&route_table.source)
            && let Some(experts) = experts(&table, &cfg.service)
        {
            let max_gap = table.shortest_pause(&cfg.service);
            return (experts, max_gap.unwrap_or(DEFAULT_MAX_GAP));
        }
        sleep(RETRY_DELAY).await;
    }
}

fn experts(table: &Table, service: &str) -> Option<Experts> {
    table.service(service)?.engine?.experts
}

fn map_settings(experts: Experts, ranks: u32, max_gap: Duration, slowdown: f64) -> MapSettings {
    let ranks = usize::try_from(ranks).unwrap_or(usize::MAX);
    let timing = SwitchTiming {
        group_read_delay: SWITCH_TIMING.stage_resend_interval(ranks),
        ..SWITCH_TIMING
    };
    MapSettings {
        window: WINDOW,
        formation_interval: FORMATION_INTERVAL,
        horizon_windows: HORIZON_WINDOWS,
        cost: MoveCost {
            expert_bytes: experts.bytes_per_expert,
            store_bytes_per_s: experts.bytes_per_second,
            slowdown,
            store_price: 0.0,
            max_plan_bytes: u64::MAX,
        },
        timing,
        max_new_experts: usize::try_from(experts.max_new_per_layer).unwrap_or(usize::MAX),
        initial_map: InitialMap::Unreplicated,
        need: Some(SwitchCriteria {
            slow_step: max_gap.mul_f64(FAST_STEP_RATIO),
            projected_slow_step: max_gap.mul_f64(SLOW_STEP_RATIO),
            min_gain: MIN_GAIN,
        }),
    }
}

fn group_info(state: &ArmingState, experts: Experts) -> Group {
    let even = experts.experts_per_layer.div_ceil(state.ranks.max(1));
    Group {
        name: state.group.clone(),
        model: String::new(),
        ranks: state.ranks,
        layers: experts.layers,
        experts: experts.experts_per_layer,
        spare_slots: experts.slots_per_layer.saturating_sub(even),
        weights: Weights {
            skew: 1.0,
            moves: 1.0,
        },
    }
}
