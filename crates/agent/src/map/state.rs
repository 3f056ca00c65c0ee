//! Participant and coordinator of one agent, and what they want done.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use expert::{
    Coordinator, CoordinatorOutput, DecideOutcome, Map, Participant, ParticipantOutput, Standing,
    StepClock, Verdict,
};
use note::Group;
use ractor::ActorRef;
use wire::Incoming;
use wire::proto::frame::Body;

use crate::command::CommandQueue;
use crate::map::chooser::Chooser;
use crate::map::control_call::ControlCall;
use crate::map::formations::Formations;
use crate::map::map_context::MapContext;
use crate::map::members::Members;
use crate::map::msg::MapMsg;
use crate::map::party::Party;
use crate::map::peers::Peers;
use crate::map::stand_in::{StandIn, let_go};
use crate::map::switcher::Start;
use crate::map::translate::{self, Received};
use crate::map::windows::Windows;
use crate::map::{control_calls, engine_calls};

/// Participant and coordinator of one agent, and what they want done.
pub(crate) struct State {
    pub cx: Arc<MapContext>,
    commands: CommandQueue,
    peers: Peers,
    pub inbox: ActorRef<MapMsg>,
    participant: Participant,
    pub coordinator: Option<Coordinator>,
    pub members: Members,
    pub formations: Formations,
    pub party: Party,
    formation_due: Instant,
    pub chooser: Option<Chooser>,
    /// The newest committed map, as the coordinator knows it; `None` before
    /// the first.
    pub present: Option<Map>,
    pub windows: Windows,
    pub window_ends: Instant,
    /// Number of the last order to the engine.
    serial: u64,
    stand_in: StandIn,
    /// When it is logged again what the coordinator waits for.
    pub log_at: Instant,
    /// How long steps take.
    pub steps: StepClock,
    /// The coordinator has not asked for counts yet since it began.
    pub begins: bool,
    /// No switch was under way when the ranks were last asked for their counts,
    /// so that they counted on the map that is in use.
    pub asked_idle: bool,
    /// Calls to control that are on their way.
    calls: BTreeSet<ControlCall>,
}

impl State {
    pub fn new(start: Start, inbox: ActorRef<MapMsg>) -> Self {
        let now = Instant::now();
        let maps = &start.cx.cfg;
        State {
            participant: Participant::new(maps.timing, now),
            window_ends: now + maps.window,
            cx: start.cx,
            commands: start.commands,
            peers: start.peers,
            inbox,
            coordinator: None,
            members: Members::default(),
            formations: Formations::default(),
            party: Party::default(),
            formation_due: now,
            chooser: None,
            present: None,
            windows: Windows::default(),
            serial: 0,
            begins: false,
            asked_idle: false,
            steps: StepClock::default(),
            log_at: now,
            stand_in: StandIn::default(),
            calls: BTreeSet::new(),
        }
    }

    pub fn take(&mut self, msg: MapMsg) {
        let now = Instant::now();
        match msg {
            MapMsg::Incoming(incoming) => {
                let Incoming { body, link, .. } = *incoming;
                self.peers.heard(&link);
                let from = link.peer().name.clone();
                self.receive(&from, body, now);
            }
            MapMsg::Own(body) => {
                let me = self.cx.name.clone();
                self.receive(&me, *body, now);
            }
            MapMsg::Tick => self.tick(now),
            // The answer to an order that was given up is not the next one's.
            MapMsg::Engine { serial, .. } if serial != self.serial => {}
            MapMsg::Engine { state, .. } => {
                let outputs = self.participant.on_engine(state, now);
                self.participate(outputs);
            }
            MapMsg::Standing(standing) => {
                self.calls.remove(&ControlCall::Ask);
                if let Some(standing) = standing {
                    let outputs = self.participant.on_standing(&standing, now);
                    self.participate(outputs);
                }
            }
            MapMsg::Opened(standing) => self.opened(standing, now),
            MapMsg::Decided(outcome) => self.decided(outcome, now),
            MapMsg::JoinOpened {
                formation,
                standing,
            } => {
                self.calls.remove(&ControlCall::Join);
                if let Some(standing) = standing {
                    let outputs = self.participant.on_opened(formation, &standing, now);
                    self.participate(outputs);
                }
            }
            MapMsg::LetGo(name) => self.let_go(&name, now),
            MapMsg::Formed { to, map } => self.formed(&to, map),
            MapMsg::Counted { to, counts, map } => self.counted(&to, counts, &map),
        }
    }

    fn receive(&mut self, from: &str, body: Body, now: Instant) {
        let body = match body {
            Body::GroupLoad(load) => {
                self.group_load(from, load);
                return;
            }
            body => body,
        };
        match translate::from_body(&self.cx.group, body) {
            Some(Received::Participant(message)) => {
                let outputs = self.participant.on_message(from, message, now);
                self.participate(outputs);
            }
            Some(Received::Coordinator(message)) => {
                if let Some(coordinator) = &mut self.coordinator {
                    let outputs = coordinator.on_message(from, message, now);
                    self.coordinate(outputs);
                }
            }
            None => log::debug!("passed over a message of {from}"),
        }
    }

    fn tick(&mut self, now: Instant) {
        let outputs = self.participant.tick(now);
        self.participate(outputs);
        self.elect(now);
        if let Some(coordinator) = &mut self.coordinator {
            let outputs = coordinator.tick(now);
            self.coordinate(outputs);
        }
        self.let_ranks_go(now);
        self.log_waiting(now);
        if now >= self.formation_due {
            self.formation_due = now + self.cx.cfg.formation;
            self.ask_formation();
        }
        self.repair(now);
        if now >= self.window_ends || self.begins_to_count() {
            self.ask_counts(now);
        }
    }

    /// Whether a coordinator that has just begun can ask for its first counts.
    /// Were they asked for at the end of the window only, a group that has
    /// formed anew would run on its start map for up to that much longer.
    fn begins_to_count(&self) -> bool {
        self.begins && self.coordinator.as_ref().is_some_and(Coordinator::is_idle)
    }

    /// Lets ranks go whose agents stand still or have gone.
    fn let_ranks_go(&mut self, now: Instant) {
        let Some(coordinator) = &self.coordinator else {
            return;
        };
        let (phase, waiting) = coordinator.standing();
        let telling = phase == "telling";
        if !telling && phase != "idle" {
            return;
        }
        let fencing = coordinator.fencing();
        let live = &self.members.addresses;
        for (name, address) in self.stand_in.due(telling, &waiting, live, now) {
            let release = self.stand_in.release(fencing);
            let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
            tokio::spawn(async move {
                if let_go(cx, address, release).await {
                    let _ = inbox.send_message(MapMsg::LetGo(name));
                }
            });
        }
    }

    /// A rank was let go in its agent's place, under the highest number that
    /// there is for this coordinator. The next switch needs a higher one, which
    /// the agent has to learn of.
    fn let_go(&mut self, name: &str, now: Instant) {
        log::info!(agent = name; "coordinates anew after a rank was let go");
        self.begin_coordination(now);
    }

    /// Takes up or gives up the coordinator's part.
    fn elect(&mut self, now: Instant) {
        let view = self.cx.follower.view();
        let group = self.cx.offered();
        let ranks = group.as_ref().map_or(0, |group| group.ranks);
        let members = Members::new(&view, &self.cx.group);
        // A leader that has just been elected hears of all nodes within the
        // time of a lease only. Nobody is missing once each rank has its agent.
        if !view.settled && !members.has_all(ranks) {
            return;
        }
        self.stand_in.know(&members.engines);
        if members.lowest() != Some(&self.cx.name) {
            self.coordinator = None;
            self.chooser = None;
            return;
        }
        let deposed = self
            .coordinator
            .as_ref()
            .is_none_or(Coordinator::is_deposed);
        self.formations.keep(&members.addresses);
        let party = Party::new(&members, self.formations.newest(), ranks);
        self.members = members;
        if self.coordinator.is_none() {
            self.formation_due = now;
        }
        if deposed || party != self.party {
            log::info!("coordinates the expert maps of {}", self.cx.group);
            self.party = party;
            self.begin_coordination(now);
            self.choose_for(group.as_ref());
        }
    }

    /// Begins the coordinator's part anew, under a new number.
    fn begin_coordination(&mut self, now: Instant) {
        self.begins = true;
        let agents = self.party.agents.clone();
        let (formation, timing) = (self.party.formation, self.cx.cfg.timing);
        self.coordinator = Some(Coordinator::new(agents, formation, timing, now));
    }

    /// Takes the chooser to the ranks that step now. Without all of them
    /// there is none, and no switch begins.
    fn choose_for(&mut self, group: Option<&Group>) {
        let chooser = self.chooser.take();
        let Some((group, ranks)) = group.zip(self.party.ranks.clone()) else {
            return;
        };
        self.chooser = match chooser.filter(|chooser| chooser.is_for(group)) {
            Some(mut chooser) => {
                chooser.set_party(ranks);
                Some(chooser)
            }
            None => Chooser::new(group, ranks),
        };
    }

    fn opened(&mut self, standing: Option<Standing>, now: Instant) {
        self.calls.remove(&ControlCall::Open);
        let (Some(standing), Some(coordinator)) = (standing, &mut self.coordinator) else {
            return;
        };
        let outputs = coordinator.on_opened(&standing, now);
        self.stand_in.opened(&standing);
        let newest = standing.committed.first();
        self.present = newest.and_then(|decision| Map::from_bytes(decision.map.clone()).ok());
        self.coordinate(outputs);
    }

    fn decided(&mut self, outcome: Option<DecideOutcome>, now: Instant) {
        self.calls.remove(&ControlCall::Decide);
        let (Some(outcome), Some(coordinator)) = (outcome, &mut self.coordinator) else {
            return;
        };
        if let DecideOutcome::Accepted(decision) = &outcome
            && decision.verdict == Verdict::Commit
            && let Ok(map) = Map::from_bytes(decision.map.clone())
        {
            self.present = Some(map);
        }
        if let DecideOutcome::Accepted(decision) = &outcome {
            self.stand_in.decided(decision);
        }
        let outputs = coordinator.on_decided(outcome, now);
        self.coordinate(outputs);
    }

    pub fn coordinate(&mut self, outputs: Vec<CoordinatorOutput>) {
        for output in outputs {
            match output {
                CoordinatorOutput::Open if self.calls.contains(&ControlCall::Open) => {}
                CoordinatorOutput::Open => {
                    self.calls.insert(ControlCall::Open);
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    tokio::spawn(control_calls::open(cx, inbox));
                }
                CoordinatorOutput::Decide(_) if self.calls.contains(&ControlCall::Decide) => {}
                CoordinatorOutput::Decide(decision) => {
                    log::info!(
                        group = self.cx.group.as_str(), version = decision.version,
                        step = decision.barrier_step, fencing = decision.fencing;
                        "asks for the decision to {:?} the expert map", decision.verdict
                    );
                    self.calls.insert(ControlCall::Decide);
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    tokio::spawn(control_calls::decide(cx, decision, inbox));
                }
                CoordinatorOutput::Send { to, message } => {
                    let body = translate::to_participant(&self.cx.group, message);
                    self.send(&to, body);
                }
                CoordinatorOutput::Deposed => log::info!("another agent coordinates"),
            }
        }
    }

    fn participate(&mut self, outputs: Vec<ParticipantOutput>) {
        for output in outputs {
            match output {
                ParticipantOutput::Open { .. } if self.calls.contains(&ControlCall::Join) => {}
                ParticipantOutput::Open { formation } => {
                    self.calls.insert(ControlCall::Join);
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    tokio::spawn(control_calls::open_to_join(cx, formation, inbox));
                }
                ParticipantOutput::Ask if self.calls.contains(&ControlCall::Ask) => {}
                ParticipantOutput::Ask => {
                    self.calls.insert(ControlCall::Ask);
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    tokio::spawn(control_calls::ask(cx, inbox));
                }
                ParticipantOutput::Order(order) => {
                    self.serial += 1;
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    let commands = self.commands.clone();
                    let order = engine_calls::order(cx, commands, self.serial, order, inbox);
                    tokio::spawn(order);
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
            let _ = self.inbox.send_message(MapMsg::Own(Box::new(body)));
            return;
        }
        let address = self.members.addresses.get(to).copied();
        self.peers.send(to, address, body, &self.inbox);
    }
}
