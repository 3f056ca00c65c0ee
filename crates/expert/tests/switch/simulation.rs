//! Seeded simulation of a group, its coordinators, the durable state and an
//! unreliable network. A tick is one millisecond.

mod faults;

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

/// Maximum delay of a command, in ticks. It must be below `command_timeout` and
/// `late_command_window` together.
const MAX_COMMAND_DELAY: u64 = 18;
/// Maximum delay of a message, in ticks.
const MAX_MESSAGE_DELAY: u64 = 60;

/// How the network and the processes behave.
#[derive(Clone, Copy, PartialEq)]
pub enum Conditions {
    Faulty,
    Healthy,
}

/// The participant of one agent.
struct Agent {
    participant: Participant,
    incarnation: usize,
    /// Identifier of the last command, whose answer is awaited.
    command_id: u64,
    /// Highest fencing number known to the agent. It is read from the durable
    /// state before the first command, and is `None` until then.
    max_fencing: Option<u64>,
}

pub struct Simulation {
    seed: u64,
    /// Number of steps between the newest known step and a barrier.
    lead_steps: u64,
    rng: StdRng,
    /// Ranks that run steps together.
    pub formed: BTreeSet<usize>,
    /// Number of their formation.
    formation: u64,
    /// Ranks and formation as known to coordinators.
    known_formation: (BTreeSet<usize>, u64),
    conditions: Conditions,
    start: Instant,
    tick: u64,
    pub decisions: Decisions,
    pub engines: Vec<Engine>,
    agents: Vec<Agent>,
    coordinators: BTreeMap<usize, Coordinator>,
    incarnations: usize,
    command_ids: u64,
    maps: u64,
    /// Events in flight, with the tick of their arrival.
    in_flight: Vec<(u64, Event)>,
    /// Maps that each step ran on.
    pub maps_by_step: BTreeMap<u64, BTreeSet<Bytes>>,
}

fn timing(lead_steps: u64) -> SwitchTiming {
    SwitchTiming {
        resend_interval: Duration::from_millis(15),
        group_read_delay: Duration::from_millis(15),
        phase_timeout: Duration::from_millis(150),
        command_timeout: Duration::from_millis(10),
        late_command_window: Duration::from_millis(10),
        lead_steps,
        lead_time: Duration::MAX,
    }
}

/// Lead with which barriers are usually reached in time.
const USUAL_LEAD_STEPS: u64 = 12;

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        Simulation::with_lead_steps(seed, USUAL_LEAD_STEPS)
    }

    pub fn with_lead_steps(seed: u64, lead_steps: u64) -> Simulation {
        let start = Instant::now();
        let agent = || Agent {
            participant: Participant::new(timing(lead_steps), start),
            incarnation: 0,
            command_id: 0,
            max_fencing: None,
        };
        let mut simulation = Simulation {
            seed,
            lead_steps,
            formed: (0..RANKS).collect(),
            formation: 0,
            known_formation: (BTreeSet::new(), 0),
            rng: StdRng::seed_from_u64(seed),
            conditions: Conditions::Faulty,
            start,
            tick: 0,
            decisions: Decisions::new(),
            engines: (0..RANKS)
                .map(|rank| faults::engine(seed, rank, 0))
                .collect(),
            agents: (0..RANKS).map(|_| agent()).collect(),
            coordinators: BTreeMap::new(),
            incarnations: 0,
            command_ids: 0,
            maps: 0,
            in_flight: Vec::new(),
            maps_by_step: BTreeMap::new(),
        };
        simulation.enter_formation();
        simulation
    }

    pub fn set_conditions(&mut self, conditions: Conditions) {
        self.conditions = conditions;
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.tick)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Advances the simulation by one tick.
    pub fn advance(&mut self) {
        self.tick += 1;
        if self.conditions == Conditions::Faulty {
            self.inject_faults();
        }
        self.deliver();
        for rank in 0..RANKS {
            let now = self.now();
            let outputs = self.agents[rank].participant.tick(now);
            self.execute(rank, outputs);
        }
        for incarnation in self.coordinators.keys().copied().collect::<Vec<_>>() {
            self.advance_coordinator(incarnation);
        }
        self.run_steps();
    }

    /// Adds a coordinator, which may not know the current formation yet.
    pub fn add_coordinator(&mut self) {
        self.incarnations += 1;
        if self.conditions == Conditions::Healthy || self.known_formation.1 == 0 || self.chance(85)
        {
            self.known_formation = (self.formed.clone(), self.formation);
        }
        let (ranks, formation) = &self.known_formation;
        let members = ranks.iter().map(ToString::to_string).collect();
        let coordinator =
            Coordinator::new(members, *formation, timing(self.lead_steps), self.now());
        self.coordinators.insert(self.incarnations, coordinator);
    }

    pub fn remove_coordinators(&mut self) {
        self.coordinators.clear();
    }

    fn advance_coordinator(&mut self, incarnation: usize) {
        let now = self.now();
        let idle = self.coordinators[&incarnation].is_idle();
        let begin = idle && self.chance(20);
        if begin {
            self.maps += 1;
        }
        let map = Bytes::from(format!("map {}", self.maps));
        let Some(coordinator) = self.coordinators.get_mut(&incarnation) else {
            return;
        };
        let mut outputs = coordinator.tick(now);
        if begin {
            outputs.extend(coordinator.begin_switch(map, Duration::ZERO, now));
        }
        self.execute_coordinator(incarnation, outputs);
    }

    /// Each engine may run a step once all have run the previous one.
    fn run_steps(&mut self) {
        for rank in self.formed.clone() {
            let next = self.engines[rank].state.step + 1;
            let mut formed = self.formed.iter();
            let all = formed.all(|other| self.engines[*other].state.step + 1 >= next);
            if all && self.engines[rank].may_run(next) && self.chance(30) {
                let step = self.engines[rank].run();
                let map = self.engines[rank].map.clone();
                self.maps_by_step.entry(step).or_default().insert(map);
            }
        }
    }

    fn deliver(&mut self) {
        let tick = self.tick;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _)| *at <= tick);
        self.in_flight = later;
        let mut due: Vec<(u64, Event)> = due;
        while !due.is_empty() {
            let next = self.rng.random_range(0..due.len());
            let (_, event) = due.swap_remove(next);
            self.dispatch(event);
        }
    }

    /// Sends a message, which may be lost, duplicated or delayed.
    fn send(&mut self, event: Event) {
        let mut copies = 1;
        if self.conditions == Conditions::Faulty {
            copies = match self.rng.random_range(0..100) {
                0..8 => 0,
                8..20 => 2,
                _ => 1,
            };
        }
        for event in std::iter::repeat_n(event, copies) {
            let max_delay = if self.chance(10) {
                MAX_MESSAGE_DELAY
            } else {
                4
            };
            self.send_within(max_delay, event);
        }
    }

    fn send_within(&mut self, max_delay: u64, event: Event) {
        let max_delay = if self.conditions == Conditions::Healthy {
            2
        } else {
            max_delay
        };
        let at = self.tick + self.rng.random_range(1..=max_delay);
        self.in_flight.push((at, event));
    }

    fn dispatch(&mut self, event: Event) {
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
                self.execute(rank, outputs);
            }
            Event::ToCoordinator {
                incarnation,
                from,
                message,
            } => self.with_coordinator(incarnation, |c| {
                c.on_message(&from.to_string(), message, now)
            }),
            Event::FencingOpened {
                rank,
                incarnation,
                formation,
                group_state,
            } => {
                if self.agents[rank].incarnation == incarnation {
                    let participant = &mut self.agents[rank].participant;
                    let outputs = participant.on_opened(formation, &group_state, now);
                    self.execute(rank, outputs);
                }
            }
            Event::OpenCoordinator { .. }
            | Event::OpenFencing { .. }
            | Event::Decide { .. }
            | Event::ReadGroupState { .. } => self.call_durable_state(event),
            Event::CoordinatorOpened {
                incarnation,
                group_state,
            } => self.with_coordinator(incarnation, |c| c.on_opened(&group_state, now)),
            Event::Decided {
                incarnation,
                outcome,
            } => self.with_coordinator(incarnation, |c| c.on_decided(outcome, now)),
            Event::GroupStateRead {
                rank,
                incarnation,
                group_state,
            } => {
                if self.agents[rank].incarnation == incarnation {
                    let outputs = self.agents[rank]
                        .participant
                        .on_group_state(&group_state, now);
                    self.execute(rank, outputs);
                }
            }
            Event::Command {
                rank,
                incarnation,
                command_id,
                command,
            } => {
                let state = self.execute_command(rank, incarnation, &command);
                if self.conditions == Conditions::Healthy || !self.chance(15) {
                    self.send_within(
                        4,
                        Event::CommandDone {
                            rank,
                            incarnation,
                            command_id,
                            state,
                        },
                    );
                }
            }
            Event::CommandDone {
                rank,
                incarnation,
                command_id,
                state,
            } => {
                let agent = &mut self.agents[rank];
                if agent.incarnation == incarnation && agent.command_id == command_id {
                    let outputs = agent.participant.on_engine_state(state, now);
                    self.execute(rank, outputs);
                }
            }
        }
    }

    /// Applies a call to the durable state and sends the reply.
    fn call_durable_state(&mut self, event: Event) {
        match event {
            Event::OpenCoordinator { incarnation } => {
                let group_state =
                    self.decisions
                        .open_coordinator(GROUP, "agent", incarnation as u64);
                self.send(Event::CoordinatorOpened {
                    incarnation,
                    group_state,
                });
            }
            Event::OpenFencing {
                rank,
                incarnation,
                formation,
            } => {
                let group_state =
                    self.decisions
                        .open_coordinator(GROUP, "agent", incarnation as u64);
                self.send(Event::FencingOpened {
                    rank,
                    incarnation,
                    formation,
                    group_state,
                });
            }
            Event::Decide {
                incarnation,
                decision,
            } => {
                let outcome = self.decisions.decide(GROUP, decision);
                self.send(Event::Decided {
                    incarnation,
                    outcome,
                });
            }
            Event::ReadGroupState { rank, incarnation } => {
                let group_state = self
                    .decisions
                    .group_state(GROUP)
                    .cloned()
                    .unwrap_or_default();
                self.send(Event::GroupStateRead {
                    rank,
                    incarnation,
                    group_state,
                });
            }
            _ => {}
        }
    }

    /// Executes a command. The agent refuses it if it knows of a higher fencing
    /// number.
    fn execute_command(
        &mut self,
        rank: usize,
        incarnation: usize,
        command: &EngineCommand,
    ) -> Option<EngineState> {
        let current = self.decisions.group_state(GROUP).map_or(0, |s| s.fencing);
        let agent = &mut self.agents[rank];
        if let Some(fencing) = fencing(command).filter(|_| agent.incarnation == incarnation) {
            let max_fencing = agent.max_fencing.get_or_insert(current);
            if fencing < *max_fencing {
                return None;
            }
            *max_fencing = fencing;
        }
        let engine = &mut self.engines[rank];
        engine.alive.then(|| engine.execute(command))?
    }

    fn with_coordinator(
        &mut self,
        incarnation: usize,
        act: impl FnOnce(&mut Coordinator) -> Vec<CoordinatorOutput>,
    ) {
        if let Some(coordinator) = self.coordinators.get_mut(&incarnation) {
            let outputs = act(coordinator);
            self.execute_coordinator(incarnation, outputs);
        }
    }

    /// Carries out the actions requested by a coordinator.
    fn execute_coordinator(&mut self, incarnation: usize, outputs: Vec<CoordinatorOutput>) {
        for output in outputs {
            match output {
                CoordinatorOutput::OpenCoordinator => {
                    self.send(Event::OpenCoordinator { incarnation });
                }
                CoordinatorOutput::Decide(decision) => self.send(Event::Decide {
                    incarnation,
                    decision,
                }),
                CoordinatorOutput::Send { to, message } => self.send(Event::ToParticipant {
                    rank: to.parse().unwrap(),
                    from: incarnation,
                    message,
                }),
                CoordinatorOutput::Deposed => {
                    self.coordinators.remove(&incarnation);
                }
            }
        }
    }

    /// Carries out the actions requested by a participant.
    fn execute(&mut self, rank: usize, outputs: Vec<ParticipantOutput>) {
        let incarnation = self.agents[rank].incarnation;
        for output in outputs {
            match output {
                ParticipantOutput::OpenFencing { formation } => self.send(Event::OpenFencing {
                    rank,
                    incarnation,
                    formation,
                }),
                ParticipantOutput::ReadGroupState => {
                    self.send(Event::ReadGroupState { rank, incarnation });
                }
                ParticipantOutput::Send { to, message } => self.send(Event::ToCoordinator {
                    incarnation: to.parse().unwrap(),
                    from: rank,
                    message,
                }),
                ParticipantOutput::Command(command) => {
                    self.command_ids += 1;
                    self.agents[rank].command_id = self.command_ids;
                    let event = Event::Command {
                        rank,
                        incarnation,
                        command_id: self.command_ids,
                        command,
                    };
                    if self.conditions == Conditions::Healthy || !self.chance(10) {
                        let max_delay = if self.chance(20) {
                            MAX_COMMAND_DELAY
                        } else {
                            3
                        };
                        self.send_within(max_delay, event);
                    }
                }
            }
        }
    }
}
