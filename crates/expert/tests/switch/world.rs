//! A group, its coordinators, the durable state and an unreliable network,
//! driven by a seed.

mod misfortune;

use crate::engine::{Engine, fencing};
use crate::event::Event;
use bytes::Bytes;
use expert::{
    Coordinator, CoordinatorOutput, Decisions, EngineCommand, EngineState, Participant,
    ParticipantOutput, SwitchTiming,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

pub const RANKS: usize = 3;
const GROUP: &str = "blank-advisor";

/// Ticks that an order may be on its way; below `order` and `ghost` of the
/// timing together.
const ORDER_DELAY: u64 = 18;
const MESSAGE_DELAY: u64 = 60;

/// How the network and the processes behave.
#[derive(Clone, Copy, PartialEq)]
pub enum Weather {
    Foul,
    Fair,
}

/// One agent's participant.
struct Agent {
    participant: Participant,
    life: usize,
    /// Serial of the order whose answer is awaited.
    serial: u64,
    /// Highest fencing number of its orders; learnt before the first.
    fence: Option<u64>,
}

pub struct World {
    seed: u64,
    rng: StdRng,
    /// Ranks that step together, and the number of their formation.
    pub formed: BTreeSet<usize>,
    formation: u64,
    /// The same as coordinators know it.
    known: (BTreeSet<usize>, u64),
    weather: Weather,
    start: Instant,
    tick: u64,
    pub decisions: Decisions,
    pub engines: Vec<Engine>,
    agents: Vec<Agent>,
    coordinators: BTreeMap<usize, Coordinator>,
    lives: usize,
    serials: u64,
    maps: u64,
    post: Vec<(u64, Event)>,
    /// Contents that each step ran on.
    pub ran: BTreeMap<u64, BTreeSet<Bytes>>,
}

fn timing() -> SwitchTiming {
    SwitchTiming {
        resend_interval: Duration::from_millis(15),
        phase_timeout: Duration::from_millis(150),
        command_timeout: Duration::from_millis(10),
        late_command_window: Duration::from_millis(10),
        lead_steps: 12,
        lead_time: Duration::MAX,
    }
}

impl World {
    pub fn new(seed: u64) -> World {
        let start = Instant::now();
        let agent = || Agent {
            participant: Participant::new(timing(), start),
            life: 0,
            serial: 0,
            fence: None,
        };
        let mut world = World {
            seed,
            formed: (0..RANKS).collect(),
            formation: 0,
            known: (BTreeSet::new(), 0),
            rng: StdRng::seed_from_u64(seed),
            weather: Weather::Foul,
            start,
            tick: 0,
            decisions: Decisions::new(),
            engines: (0..RANKS)
                .map(|rank| misfortune::engine(seed, rank, 0))
                .collect(),
            agents: (0..RANKS).map(|_| agent()).collect(),
            coordinators: BTreeMap::new(),
            lives: 0,
            serials: 0,
            maps: 0,
            post: Vec::new(),
            ran: BTreeMap::new(),
        };
        world.form();
        world
    }

    pub fn set_weather(&mut self, weather: Weather) {
        self.weather = weather;
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.tick)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// One millisecond.
    pub fn step(&mut self) {
        self.tick += 1;
        if self.weather == Weather::Foul {
            self.misfortune();
        }
        self.deliver();
        for rank in 0..RANKS {
            let now = self.now();
            let outputs = self.agents[rank].participant.tick(now);
            self.carry_out(rank, outputs);
        }
        for life in self.coordinators.keys().copied().collect::<Vec<_>>() {
            self.drive(life);
        }
        self.run_steps();
    }

    /// It may not know yet that ranks were lost or came back.
    pub fn add_coordinator(&mut self) {
        self.lives += 1;
        if self.weather == Weather::Fair || self.known.1 == 0 || self.chance(85) {
            self.known = (self.formed.clone(), self.formation);
        }
        let members = self.known.0.iter().map(ToString::to_string).collect();
        let coordinator = Coordinator::new(members, self.known.1, timing(), self.now());
        self.coordinators.insert(self.lives, coordinator);
    }

    pub fn remove_coordinators(&mut self) {
        self.coordinators.clear();
    }

    fn drive(&mut self, life: usize) {
        let now = self.now();
        let idle = self.coordinators[&life].is_idle();
        let begin = idle && self.chance(20);
        if begin {
            self.maps += 1;
        }
        let map = Bytes::from(format!("map {}", self.maps));
        let Some(coordinator) = self.coordinators.get_mut(&life) else {
            return;
        };
        let mut outputs = coordinator.tick(now);
        if begin {
            outputs.extend(coordinator.begin_switch(map, Duration::ZERO, now));
        }
        self.send(life, outputs);
    }

    /// Each engine may run a step once all have run the one before.
    fn run_steps(&mut self) {
        for rank in self.formed.clone() {
            let next = self.engines[rank].state.step + 1;
            let mut formed = self.formed.iter();
            let all = formed.all(|other| self.engines[*other].state.step + 1 >= next);
            if all && self.engines[rank].may_run(next) && self.chance(30) {
                let step = self.engines[rank].run();
                let content = self.engines[rank].content.clone();
                self.ran.entry(step).or_default().insert(content);
            }
        }
    }

    fn deliver(&mut self) {
        let tick = self.tick;
        let (due, later) = std::mem::take(&mut self.post)
            .into_iter()
            .partition(|(at, _)| *at <= tick);
        self.post = later;
        let mut due: Vec<(u64, Event)> = due;
        while !due.is_empty() {
            let next = self.rng.random_range(0..due.len());
            let (_, event) = due.swap_remove(next);
            self.take(event);
        }
    }

    /// Posts a message that may be lost, doubled and late.
    fn post(&mut self, event: Event) {
        let mut copies = 1;
        if self.weather == Weather::Foul {
            copies = match self.rng.random_range(0..100) {
                0..8 => 0,
                8..20 => 2,
                _ => 1,
            };
        }
        for event in std::iter::repeat_n(event, copies) {
            let most = if self.chance(10) { MESSAGE_DELAY } else { 4 };
            self.post_within(most, event);
        }
    }

    fn post_within(&mut self, most: u64, event: Event) {
        let most = if self.weather == Weather::Fair {
            2
        } else {
            most
        };
        let at = self.tick + self.rng.random_range(1..=most);
        self.post.push((at, event));
    }

    fn take(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::ToParticipant {
                rank,
                from,
                message,
            } => {
                let agent = &mut self.agents[rank];
                let outputs = agent
                    .participant
                    .on_message(&from.to_string(), message, now);
                self.carry_out(rank, outputs);
            }
            Event::ToCoordinator {
                life,
                from,
                message,
            } => self.with(life, |c| c.on_message(&from.to_string(), message, now)),
            Event::JoinOpened {
                rank,
                life,
                formation,
                standing,
            } => {
                if self.agents[rank].life == life {
                    let participant = &mut self.agents[rank].participant;
                    let outputs = participant.on_opened(formation, &standing, now);
                    self.carry_out(rank, outputs);
                }
            }
            Event::Open { .. }
            | Event::OpenJoin { .. }
            | Event::Decide { .. }
            | Event::Ask { .. } => self.ask(event),
            Event::Opened { life, standing } => self.with(life, |c| c.on_opened(&standing, now)),
            Event::Decided { life, outcome } => self.with(life, |c| c.on_decided(outcome, now)),
            Event::Answer {
                rank,
                life,
                standing,
            } => {
                if self.agents[rank].life == life {
                    let outputs = self.agents[rank].participant.on_group_state(&standing, now);
                    self.carry_out(rank, outputs);
                }
            }
            Event::Order {
                rank,
                life,
                serial,
                order,
            } => {
                let state = self.obey(rank, life, &order);
                if self.weather == Weather::Fair || !self.chance(15) {
                    self.post_within(
                        4,
                        Event::Obeyed {
                            rank,
                            life,
                            serial,
                            state,
                        },
                    );
                }
            }
            Event::Obeyed {
                rank,
                life,
                serial,
                state,
            } => {
                let agent = &mut self.agents[rank];
                if agent.life == life && agent.serial == serial {
                    let outputs = agent.participant.on_engine_state(state, now);
                    self.carry_out(rank, outputs);
                }
            }
        }
    }

    /// What the durable state does and answers.
    fn ask(&mut self, event: Event) {
        match event {
            Event::Open { life } => {
                let standing = self.decisions.open_coordinator(GROUP, "agent", life as u64);
                self.post(Event::Opened { life, standing });
            }
            Event::OpenJoin {
                rank,
                life,
                formation,
            } => {
                let standing = self.decisions.open_coordinator(GROUP, "agent", life as u64);
                self.post(Event::JoinOpened {
                    rank,
                    life,
                    formation,
                    standing,
                });
            }
            Event::Decide { life, decision } => {
                let outcome = self.decisions.decide(GROUP, decision);
                self.post(Event::Decided { life, outcome });
            }
            Event::Ask { rank, life } => {
                let standing = self
                    .decisions
                    .group_state(GROUP)
                    .cloned()
                    .unwrap_or_default();
                self.post(Event::Answer {
                    rank,
                    life,
                    standing,
                });
            }
            _ => {}
        }
    }

    /// The agent refuses orders under a lower number than it has learnt.
    fn obey(&mut self, rank: usize, life: usize, order: &EngineCommand) -> Option<EngineState> {
        let current = self.decisions.group_state(GROUP).map_or(0, |s| s.fencing);
        let agent = &mut self.agents[rank];
        if let Some(fencing) = fencing(order).filter(|_| agent.life == life) {
            let fence = agent.fence.get_or_insert(current);
            if fencing < *fence {
                return None;
            }
            *fence = fencing;
        }
        let engine = &mut self.engines[rank];
        engine.alive.then(|| engine.obey(order))?
    }

    fn with(&mut self, life: usize, act: impl FnOnce(&mut Coordinator) -> Vec<CoordinatorOutput>) {
        if let Some(coordinator) = self.coordinators.get_mut(&life) {
            let outputs = act(coordinator);
            self.send(life, outputs);
        }
    }

    fn send(&mut self, life: usize, outputs: Vec<CoordinatorOutput>) {
        for output in outputs {
            match output {
                CoordinatorOutput::OpenCoordinator => self.post(Event::Open { life }),
                CoordinatorOutput::Decide(decision) => self.post(Event::Decide { life, decision }),
                CoordinatorOutput::Send { to, message } => self.post(Event::ToParticipant {
                    rank: to.parse().unwrap(),
                    from: life,
                    message,
                }),
                CoordinatorOutput::Deposed => {
                    self.coordinators.remove(&life);
                }
            }
        }
    }

    fn carry_out(&mut self, rank: usize, outputs: Vec<ParticipantOutput>) {
        let life = self.agents[rank].life;
        for output in outputs {
            match output {
                ParticipantOutput::OpenFencing { formation } => self.post(Event::OpenJoin {
                    rank,
                    life,
                    formation,
                }),
                ParticipantOutput::ReadGroupState => self.post(Event::Ask { rank, life }),
                ParticipantOutput::Send { to, message } => self.post(Event::ToCoordinator {
                    life: to.parse().unwrap(),
                    from: rank,
                    message,
                }),
                ParticipantOutput::Command(order) => {
                    self.serials += 1;
                    self.agents[rank].serial = self.serials;
                    let event = Event::Order {
                        rank,
                        life,
                        serial: self.serials,
                        order,
                    };
                    if self.weather == Weather::Fair || !self.chance(10) {
                        let most = if self.chance(20) { ORDER_DELAY } else { 3 };
                        self.post_within(most, event);
                    }
                }
            }
        }
    }
}
