//! State of the map actor.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use expert::{
    Coordinator, CoordinatorMessage, CoordinatorOutput, DecideOutcome, GroupState, Map,
    Participant, ParticipantOutput, RelayTree, StepTimer, Verdict,
};
use note::Group;
use ractor::ActorRef;
use wire::Incoming;
use wire::proto::frame::Body;

use crate::command::CommandQueue;
use crate::map::control_call::ControlCall;
use crate::map::formations::Formations;
use crate::map::gathers::Gathers;
use crate::map::map_actor::MapActorArgs;
use crate::map::map_context::MapContext;
use crate::map::map_planner::MapPlanner;
use crate::map::members::Members;
use crate::map::msg::MapMsg;
use crate::map::participants::Participants;
use crate::map::peers::Peers;
use crate::map::rank_releaser::{RankReleaser, release_rank};
use crate::map::translate::{self, Received};
use crate::map::window_counter::WindowCounter;
use crate::map::{control_calls, engine_calls};

/// How often a message is sent through the same relay. Answers may take longer than
/// the interval between two sends, and a new relay first has to connect to its branch.
const SENDS_PER_RELAY: u32 = 3;
/// Number of windows after which counts are requested again although some are missing.
/// A request that overtakes the previous one only adds to what delays its answers.
const COUNTS_TIMEOUT_WINDOWS: u32 = 2;

/// State of the map actor: drives the participant and, while this agent
/// coordinates, the coordinator.
pub(crate) struct State {
    pub cx: Arc<MapContext>,
    commands: CommandQueue,
    pub peers: Peers,
    /// Paths of messages to the agents, while this agent coordinates.
    pub relay_tree: RelayTree,
    /// The coordinator's last message, and how often it was sent in a row.
    last_message: Option<CoordinatorMessage>,
    times_sent: u32,
    /// Answers that this agent merges for coordinators.
    pub gathers: Gathers,
    pub inbox: ActorRef<MapMsg>,
    participant: Participant,
    pub coordinator: Option<Coordinator>,
    pub members: Members,
    pub formations: Formations,
    pub participants: Participants,
    formation_due: Instant,
    pub planner: Option<MapPlanner>,
    /// The newest committed map that the coordinator knows; `None` before the
    /// first.
    pub committed_map: Option<Map>,
    pub windows: WindowCounter,
    pub window_ends: Instant,
    /// Number of the last command to the engine.
    serial: u64,
    rank_releaser: RankReleaser,
    /// When to log next what the coordinator waits for.
    pub next_waiting_log: Instant,
    /// Measures the duration of steps.
    pub steps: StepTimer,
    /// The coordinator hasn't requested counts yet since it started.
    pub awaits_first_counts: bool,
    /// Some ranks have not answered the last request for counts.
    pub awaits_counts: bool,
    /// No switch was under way when counts were last requested, so they were
    /// taken on the map in use.
    pub idle_when_requested: bool,
    /// Calls to control that are in flight.
    calls: BTreeSet<ControlCall>,
}

impl State {
    pub fn new(args: MapActorArgs, inbox: ActorRef<MapMsg>) -> Self {
        let now = Instant::now();
        let maps = &args.cx.cfg;
        State {
            participant: Participant::new(maps.timing, now),
            window_ends: now + maps.window,
            cx: args.cx,
            commands: args.commands,
            peers: args.peers,
            relay_tree: RelayTree::default(),
            last_message: None,
            times_sent: 0,
            gathers: Gathers::default(),
            inbox,
            coordinator: None,
            members: Members::default(),
            formations: Formations::default(),
            participants: Participants::default(),
            formation_due: now,
            planner: None,
            committed_map: None,
            windows: WindowCounter::default(),
            serial: 0,
            awaits_first_counts: false,
            awaits_counts: false,
            idle_when_requested: false,
            steps: StepTimer::default(),
            next_waiting_log: now,
            rank_releaser: RankReleaser::default(),
            calls: BTreeSet::new(),
        }
    }

    pub fn handle(&mut self, msg: MapMsg) {
        let now = Instant::now();
        match msg {
            MapMsg::Incoming(incoming) => {
                let Incoming { body, link, .. } = *incoming;
                self.peers.record_link(&link);
                if let Body::Forwarded(forwarded) = body {
                    return self.on_forwarded(forwarded, &link, now);
                }
                let from = link.peer().name.clone();
                self.peers.forget_route(&from);
                self.receive(&from, body, now);
            }
            MapMsg::Local(body) => {
                let me = self.cx.name.clone();
                self.receive(&me, *body, now);
            }
            MapMsg::Tick => self.tick(now),
            // A late answer to an abandoned command is ignored.
            MapMsg::Engine { serial, .. } if serial != self.serial => {}
            MapMsg::Engine { state, .. } => {
                let outputs = self.participant.on_engine_state(state, now);
                self.handle_participant_outputs(outputs);
            }
            MapMsg::Standing(standing) => {
                self.calls.remove(&ControlCall::ReadStanding);
                if let Some(standing) = standing {
                    let outputs = self.participant.on_group_state(&standing, now);
                    self.handle_participant_outputs(outputs);
                }
            }
            MapMsg::Opened(standing) => self.on_opened(standing, now),
            MapMsg::Decided(outcome) => self.on_decided(outcome, now),
            MapMsg::JoinOpened {
                formation,
                standing,
            } => {
                self.calls.remove(&ControlCall::OpenToJoin);
                if let Some(standing) = standing {
                    let outputs = self.participant.on_opened(formation, &standing, now);
                    self.handle_participant_outputs(outputs);
                }
            }
            MapMsg::RankReleased(name) => self.rank_released(&name, now),
            MapMsg::Formed { to, map } => self.send_formation(&to, map),
            MapMsg::Counted { to, counts, map } => self.send_counts(&to, counts, &map),
        }
    }

    pub fn receive(&mut self, from: &str, body: Body, now: Instant) {
        let body = match body {
            Body::GroupLoad(load) => {
                self.on_group_load(from, load);
                return;
            }
            body => body,
        };
        match translate::from_body(&self.cx.group, body) {
            Some(Received::Participant(message)) => {
                let outputs = self.participant.on_message(from, message, now);
                self.handle_participant_outputs(outputs);
            }
            Some(Received::Coordinator(message)) => {
                if let Some(coordinator) = &mut self.coordinator {
                    let outputs = coordinator.on_message(from, message, now);
                    self.handle_coordinator_outputs(outputs);
                }
            }
            None => log::debug!("ignored an unexpected message from {from}"),
        }
    }

    fn tick(&mut self, now: Instant) {
        let outputs = self.participant.tick(now);
        self.handle_participant_outputs(outputs);
        self.expire_gathers(now);
        self.update_coordinator(now);
        if let Some(coordinator) = &mut self.coordinator {
            let outputs = coordinator.tick(now);
            self.handle_coordinator_outputs(outputs);
        }
        self.release_ranks(now);
        self.log_waiting(now);
        if now >= self.formation_due {
            self.formation_due = now + self.cx.cfg.formation_interval;
            self.request_formations();
        }
        self.repair(now);
        if self.counts_due(now) || self.first_counts_due() {
            self.request_counts(now);
        }
    }

    /// Whether the window is over, and the counts of the previous one are complete or
    /// overdue.
    fn counts_due(&self, now: Instant) -> bool {
        let overdue = self.window_ends + self.cx.cfg.window * (COUNTS_TIMEOUT_WINDOWS - 1);
        now >= self.window_ends && (!self.awaits_counts || now >= overdue)
    }

    /// Whether a coordinator that has just started can request its first counts.
    /// If it waited for the end of the window, a newly formed group would run on
    /// its initial map for up to one window longer.
    fn first_counts_due(&self) -> bool {
        self.awaits_first_counts && self.coordinator.as_ref().is_some_and(Coordinator::is_idle)
    }

    /// Releases held ranks whose agents are unresponsive or gone.
    fn release_ranks(&mut self, now: Instant) {
        let Some(coordinator) = &self.coordinator else {
            return;
        };
        let (phase, waiting) = coordinator.status();
        let telling = phase == "telling";
        if !telling && phase != "idle" {
            return;
        }
        let fencing = coordinator.fencing();
        let live = &self.members.addresses;
        for (name, address) in self.rank_releaser.due(telling, &waiting, live, now) {
            let decided = self.rank_releaser.decided_switches(fencing);
            let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
            tokio::spawn(async move {
                if release_rank(cx, address, decided).await {
                    let _ = inbox.send_message(MapMsg::RankReleased(name));
                }
            });
        }
    }

    /// Restarts the coordinator after it released a rank in place of the rank's
    /// agent. The release used the highest serial under this coordinator's fencing
    /// number, so the agent's commands for the next switch need a higher number.
    fn rank_released(&mut self, name: &str, now: Instant) {
        log::info!(agent = name; "restarting the coordinator after releasing a rank in place of its agent");
        self.restart_coordinator(now);
    }

    /// Starts, keeps or stops the coordinator according to the member view.
    fn update_coordinator(&mut self, now: Instant) {
        let view = self.cx.follower.view();
        let group = self.cx.group_info();
        let ranks = group.as_ref().map_or(0, |group| group.ranks);
        let members = Members::new(&view, &self.cx.group);
        // A newly elected leader knows all nodes only after the lease time. If
        // every rank has an agent, no one is missing.
        if !view.settled && !members.has_all(ranks) {
            return;
        }
        self.rank_releaser.add_engines(&members.engines);
        if members.coordinator_name() != Some(&self.cx.name) {
            self.coordinator = None;
            self.planner = None;
            self.cx.metrics.remove(&self.cx.group);
            return;
        }
        let deposed = self
            .coordinator
            .as_ref()
            .is_none_or(Coordinator::is_deposed);
        self.formations.retain_agents(&members.addresses);
        let participants = Participants::new(&members, self.formations.newest(), ranks);
        if members.agents_by_rank() != self.members.agents_by_rank() {
            let tree = RelayTree::new(members.agents_by_rank(), |agent| members.zone(agent));
            self.relay_tree = tree.with_skipped_relays_of(&self.relay_tree);
        }
        self.members = members;
        if self.coordinator.is_none() {
            self.formation_due = now;
        }
        if deposed || participants != self.participants {
            log::info!("coordinating the expert maps of group {}", self.cx.group);
            self.participants = participants;
            self.restart_coordinator(now);
            self.update_planner(group.as_ref());
        }
    }

    /// Starts a new coordinator, which gets a new fencing number.
    fn restart_coordinator(&mut self, now: Instant) {
        self.awaits_first_counts = true;
        let agents = self.participants.agents.clone();
        let (formation, timing) = (self.participants.formation, self.cx.cfg.timing);
        self.coordinator = Some(Coordinator::new(agents, formation, timing, now));
    }

    /// Adapts the planner to the ranks of the present formation. If the placement
    /// is unknown, there is no planner and no switch begins.
    fn update_planner(&mut self, group: Option<&Group>) {
        let planner = self.planner.take();
        let Some((group, ranks)) = group.zip(self.participants.ranks.clone()) else {
            return;
        };
        self.planner = match planner.filter(|planner| planner.is_for(group)) {
            Some(mut planner) => {
                planner.set_placement(ranks);
                Some(planner)
            }
            None => MapPlanner::new(group, ranks),
        };
    }

    fn on_opened(&mut self, standing: Option<GroupState>, now: Instant) {
        self.calls.remove(&ControlCall::Open);
        let (Some(standing), Some(coordinator)) = (standing, &mut self.coordinator) else {
            return;
        };
        let outputs = coordinator.on_opened(&standing, now);
        self.rank_releaser.opened(&standing);
        let newest = standing.committed.first();
        self.committed_map = newest.and_then(|decision| Map::from_bytes(decision.map.clone()).ok());
        self.handle_coordinator_outputs(outputs);
    }

    fn on_decided(&mut self, outcome: Option<DecideOutcome>, now: Instant) {
        self.calls.remove(&ControlCall::Decide);
        let (Some(outcome), Some(coordinator)) = (outcome, &mut self.coordinator) else {
            return;
        };
        if let DecideOutcome::Accepted(decision) = &outcome
            && decision.verdict == Verdict::Commit
            && let Ok(map) = Map::from_bytes(decision.map.clone())
        {
            self.committed_map = Some(map);
        }
        if let DecideOutcome::Accepted(decision) = &outcome {
            self.rank_releaser.decided(decision);
        }
        let outputs = coordinator.on_decided(outcome, now);
        self.handle_coordinator_outputs(outputs);
    }

    pub fn handle_coordinator_outputs(&mut self, outputs: Vec<CoordinatorOutput>) {
        let mut messages: Vec<(CoordinatorMessage, BTreeSet<String>)> = Vec::new();
        for output in outputs {
            match output {
                CoordinatorOutput::OpenCoordinator if self.calls.contains(&ControlCall::Open) => {}
                CoordinatorOutput::OpenCoordinator => {
                    self.calls.insert(ControlCall::Open);
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    tokio::spawn(control_calls::open(cx, inbox));
                }
                CoordinatorOutput::Decide(_) if self.calls.contains(&ControlCall::Decide) => {}
                CoordinatorOutput::Decide(decision) => {
                    log::info!(
                        group = self.cx.group.as_str(), version = decision.version,
                        step = decision.barrier_step, fencing = decision.fencing;
                        "requesting the decision to {:?} the expert map", decision.verdict
                    );
                    self.calls.insert(ControlCall::Decide);
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    tokio::spawn(control_calls::decide(cx, decision, inbox));
                }
                CoordinatorOutput::Send { to, message } => {
                    match messages.last_mut().filter(|(last, _)| *last == message) {
                        Some((_, recipients)) => drop(recipients.insert(to)),
                        None => messages.push((message, BTreeSet::from([to]))),
                    }
                }
                CoordinatorOutput::Deposed => {
                    log::info!("deposed as map coordinator; another agent coordinates");
                }
            }
        }
        for (message, recipients) in messages {
            self.send_to_participants(message, &recipients);
        }
    }

    /// Sends a message of the coordinator to the participants that have not answered it.
    fn send_to_participants(&mut self, message: CoordinatorMessage, recipients: &BTreeSet<String>) {
        if self.last_message.as_ref() == Some(&message) {
            self.times_sent += 1;
        } else {
            self.times_sent = 1;
        }
        if self.times_sent.is_multiple_of(SENDS_PER_RELAY) {
            self.relay_tree
                .skip_silent_relays(&self.cx.name, recipients);
        }
        let body = translate::to_participant(&self.cx.group, message.clone());
        self.last_message = Some(message);
        self.send_to_all(recipients, &body);
    }

    fn handle_participant_outputs(&mut self, outputs: Vec<ParticipantOutput>) {
        for output in outputs {
            match output {
                ParticipantOutput::OpenFencing { .. }
                    if self.calls.contains(&ControlCall::OpenToJoin) => {}
                ParticipantOutput::OpenFencing { formation } => {
                    self.calls.insert(ControlCall::OpenToJoin);
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    tokio::spawn(control_calls::open_to_join(cx, formation, inbox));
                }
                ParticipantOutput::ReadGroupState
                    if self.calls.contains(&ControlCall::ReadStanding) => {}
                ParticipantOutput::ReadGroupState => {
                    self.calls.insert(ControlCall::ReadStanding);
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    tokio::spawn(control_calls::read_standing(cx, inbox));
                }
                ParticipantOutput::Command(order) => {
                    self.serial += 1;
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    let commands = self.commands.clone();
                    let command = engine_calls::run_order(cx, commands, self.serial, order, inbox);
                    tokio::spawn(command);
                }
                ParticipantOutput::Send { to, message } => {
                    let body = translate::to_coordinator(&self.cx.group, message);
                    self.send(&to, body);
                }
            }
        }
    }

    pub fn send(&self, to: &str, body: Body) {
        if to == self.cx.name {
            let _ = self.inbox.send_message(MapMsg::Local(Box::new(body)));
            return;
        }
        let address = self.members.addresses.get(to).copied();
        self.peers.send(to, address, body, &self.inbox);
    }
}
