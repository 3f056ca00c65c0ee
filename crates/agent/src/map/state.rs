//! Participant and coordinator of one agent, and what they want done.

use std::sync::Arc;
use std::time::Instant;

use expert::{
    Coordinator, CoordinatorOutput, DecideOutcome, Map, Participant, ParticipantOutput, Standing,
    Verdict,
};
use ractor::ActorRef;
use wire::Incoming;
use wire::proto::GroupLoad;
use wire::proto::frame::Body;

use crate::context::Context;
use crate::engine::ExpertCounts;
use crate::map::chooser::Chooser;
use crate::map::members::Members;
use crate::map::msg::MapMsg;
use crate::map::peers::Peers;
use crate::map::switcher::Start;
use crate::map::translate::{self, Received};
use crate::map::windows::Windows;
use crate::map::{control_calls, engine_calls};
use crate::order::Orders;

/// Participant and coordinator of one agent, and what they want done.
pub(crate) struct State {
    cx: Arc<Context>,
    orders: Orders,
    peers: Peers,
    inbox: ActorRef<MapMsg>,
    participant: Participant,
    coordinator: Option<Coordinator>,
    members: Members,
    chooser: Option<Chooser>,
    /// The newest committed map, as the coordinator knows it; `None` before
    /// the first.
    present: Option<Map>,
    windows: Windows,
    window_ends: Instant,
    /// Number of the last order to the engine.
    serial: u64,
    /// Whether a call to control is on its way, by kind.
    opening: bool,
    deciding: bool,
    asking: bool,
}

impl State {
    pub fn new(start: Start, inbox: ActorRef<MapMsg>) -> Self {
        let now = Instant::now();
        let maps = &start.cx.cfg.maps;
        State {
            participant: Participant::new(maps.timing, now),
            window_ends: now + maps.window,
            cx: start.cx,
            orders: start.orders,
            peers: start.peers,
            inbox,
            coordinator: None,
            members: Members::default(),
            chooser: None,
            present: None,
            windows: Windows::default(),
            serial: 0,
            opening: false,
            deciding: false,
            asking: false,
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
                let me = self.cx.cfg.name.clone();
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
                self.asking = false;
                if let Some(standing) = standing {
                    let outputs = self.participant.on_standing(&standing, now);
                    self.participate(outputs);
                }
            }
            MapMsg::Opened(standing) => self.opened(standing, now),
            MapMsg::Decided(outcome) => self.decided(outcome, now),
            MapMsg::Counted { to, counts } => self.counted(&to, counts),
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
        match translate::from_body(&self.cx.cfg.serves, body) {
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
        if now >= self.window_ends {
            self.window_ends = now + self.cx.cfg.maps.window;
            self.plan(now);
        }
    }

    /// Takes up or gives up the coordinator's part.
    fn elect(&mut self, now: Instant) {
        let view = self.cx.follower.view();
        if !view.settled {
            return;
        }
        let members = Members::new(&view, &self.cx.cfg.serves);
        if members.lowest() != Some(&self.cx.cfg.name) {
            self.coordinator = None;
            self.chooser = None;
            return;
        }
        let deposed = self
            .coordinator
            .as_ref()
            .is_none_or(Coordinator::is_deposed);
        if deposed || members != self.members {
            log::info!("coordinates the expert maps of {}", self.cx.cfg.serves);
            let timing = self.cx.cfg.maps.timing;
            self.coordinator = Some(Coordinator::new(members.names(), timing, now));
            self.chooser = None;
            self.members = members;
        }
    }

    /// Begins a switch if one pays, and has the next window counted.
    fn plan(&mut self, now: Instant) {
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let catalogue = self.cx.follower.catalogue();
        let Some(group) = catalogue.group(&self.cx.cfg.serves) else {
            return;
        };
        // Without all ranks the chooser is missing, and no switch begins.
        if self
            .chooser
            .as_ref()
            .is_none_or(|chooser| !chooser.is_for(group))
        {
            let hosts = self.members.hosts(group.ranks);
            self.chooser = hosts.and_then(|hosts| Chooser::new(group, hosts));
        }
        if let Some(chooser) = &mut self.chooser
            && coordinator.is_idle()
            && let Some(map) = chooser.plan(self.present.as_ref(), group, &self.cx.cfg.maps)
        {
            log::info!("switches the expert map of {}", self.cx.cfg.serves);
            let outputs = coordinator.begin(map.to_bytes(), now);
            self.coordinate(outputs);
        }
        for name in self.members.names() {
            let load = GroupLoad {
                group: self.cx.cfg.serves.clone(),
                ..GroupLoad::default()
            };
            self.send(&name, Body::GroupLoad(load));
        }
    }

    /// Without ranks it asks for this agent's counts.
    fn group_load(&mut self, from: &str, load: GroupLoad) {
        if load.group != self.cx.cfg.serves {
            return;
        }
        if !load.ranks.is_empty() {
            if let Some(chooser) = &mut self.chooser {
                chooser.take(load.ranks);
            }
            return;
        }
        let (cx, inbox, to) = (Arc::clone(&self.cx), self.inbox.clone(), from.to_owned());
        tokio::spawn(async move {
            if let Ok(counts) = cx.outlet.experts().await {
                let _ = inbox.send_message(MapMsg::Counted { to, counts });
            }
        });
    }

    fn counted(&mut self, to: &str, counts: ExpertCounts) {
        let ranks = self.windows.next(counts);
        if !ranks.is_empty() {
            let load = GroupLoad {
                group: self.cx.cfg.serves.clone(),
                window: 0,
                ranks,
            };
            self.send(to, Body::GroupLoad(load));
        }
    }

    fn opened(&mut self, standing: Option<Standing>, now: Instant) {
        self.opening = false;
        let (Some(standing), Some(coordinator)) = (standing, &mut self.coordinator) else {
            return;
        };
        let outputs = coordinator.on_opened(&standing, now);
        let newest = standing.committed.first();
        self.present = newest.and_then(|decision| Map::from_bytes(decision.map.clone()).ok());
        self.coordinate(outputs);
    }

    fn decided(&mut self, outcome: Option<DecideOutcome>, now: Instant) {
        self.deciding = false;
        let (Some(outcome), Some(coordinator)) = (outcome, &mut self.coordinator) else {
            return;
        };
        if let DecideOutcome::Accepted(decision) = &outcome
            && decision.verdict == Verdict::Commit
            && let Ok(map) = Map::from_bytes(decision.map.clone())
        {
            self.present = Some(map);
        }
        let outputs = coordinator.on_decided(outcome, now);
        self.coordinate(outputs);
    }

    fn coordinate(&mut self, outputs: Vec<CoordinatorOutput>) {
        for output in outputs {
            match output {
                CoordinatorOutput::Open if self.opening => {}
                CoordinatorOutput::Open => {
                    self.opening = true;
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    tokio::spawn(control_calls::open(cx, inbox));
                }
                CoordinatorOutput::Decide(_) if self.deciding => {}
                CoordinatorOutput::Decide(decision) => {
                    self.deciding = true;
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    tokio::spawn(control_calls::decide(cx, decision, inbox));
                }
                CoordinatorOutput::Send { to, message } => {
                    let body = translate::to_participant(&self.cx.cfg.serves, message);
                    self.send(&to, body);
                }
                CoordinatorOutput::Deposed => log::info!("another agent coordinates"),
            }
        }
    }

    fn participate(&mut self, outputs: Vec<ParticipantOutput>) {
        for output in outputs {
            match output {
                ParticipantOutput::Ask if self.asking => {}
                ParticipantOutput::Ask => {
                    self.asking = true;
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    tokio::spawn(control_calls::ask(cx, inbox));
                }
                ParticipantOutput::Order(order) => {
                    self.serial += 1;
                    let (cx, inbox) = (Arc::clone(&self.cx), self.inbox.clone());
                    let orders = self.orders.clone();
                    let order = engine_calls::order(cx, orders, self.serial, order, inbox);
                    tokio::spawn(order);
                }
                ParticipantOutput::Send { to, message } => {
                    let body = translate::to_coordinator(&self.cx.cfg.serves, message);
                    self.send(&to, body);
                }
            }
        }
    }

    fn send(&self, to: &str, body: Body) {
        if to == self.cx.cfg.name {
            let _ = self.inbox.send_message(MapMsg::Own(Box::new(body)));
            return;
        }
        let address = self.members.addresses.get(to).copied();
        self.peers.send(to, address, body, &self.inbox);
    }
}
