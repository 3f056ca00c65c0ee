//! Coordinator of the map switches of a group.

use crate::{
    CoordinatorMessage, CoordinatorOutput, DecideOutcome, Decision, GroupState, MAX_DIRECT_AGENTS,
    ParticipantMessage, Refusal, SwitchTiming, Verdict,
};
use bytes::Bytes;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Drives the participants of a group through map switches.
///
/// This is two-phase commit with the decision kept in the durable state: all
/// participants stage the map, all promise to stop before a barrier step, the
/// decision is committed, and all participants get the outcome. Several
/// coordinators may be active at once, for instance on both sides of a network
/// partition, but only decisions with the current fencing number are accepted.
#[derive(Clone, Debug)]
pub struct Coordinator {
    timing: SwitchTiming,
    members: BTreeSet<String>,
    formation: u64,
    fencing: u64,
    next_version: u64,
    phase: Phase,
    /// Current time of a step, if known.
    step_time: Option<Duration>,
    /// When the outstanding requests of the phase are sent again.
    resend_at: Instant,
    /// When the participants of the current switch were asked to hold.
    hold_sent_at: Option<Instant>,
    /// How long it took until all of them had promised.
    hold_time: Duration,
    /// Mean time from the request to hold until the participants have the outcome.
    exchange_time: Option<Duration>,
}

/// Phase of a coordinator. `waiting` holds the agents whose replies are
/// outstanding.
#[derive(Clone, Debug)]
enum Phase {
    Opening,
    Idle,
    Staging {
        map: Bytes,
        waiting: BTreeSet<String>,
        /// Newest step that a participant has reported.
        last_step: u64,
        deadline: Instant,
    },
    Holding {
        map: Bytes,
        barrier_step: u64,
        waiting: BTreeSet<String>,
        deadline: Instant,
    },
    Deciding(Decision),
    Telling {
        decision: Decision,
        waiting: BTreeSet<String>,
    },
    Deposed,
}

impl Coordinator {
    /// A coordinator for the agents `members`, which must be all agents whose
    /// engines run the steps of the group in `formation`. It takes no action
    /// before [`tick`](Coordinator::tick).
    ///
    /// ```
    /// use expert::{Coordinator, CoordinatorOutput, SwitchTiming};
    /// use std::collections::BTreeSet;
    ///
    /// let now = std::time::Instant::now();
    /// let members = BTreeSet::from(["advisor-01".to_owned()]);
    /// let mut coordinator = Coordinator::new(members, 0, SwitchTiming::default(), now);
    /// assert_eq!(coordinator.tick(now), [CoordinatorOutput::OpenCoordinator]);
    /// ```
    #[must_use]
    pub fn new(
        members: BTreeSet<String>,
        formation: u64,
        timing: SwitchTiming,
        now: Instant,
    ) -> Coordinator {
        Coordinator {
            timing,
            members,
            formation,
            fencing: 0,
            next_version: 0,
            phase: Phase::Opening,
            step_time: None,
            resend_at: now,
            hold_sent_at: None,
            hold_time: Duration::ZERO,
            exchange_time: None,
        }
    }

    /// Whether a switch can begin.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    /// Whether another coordinator has taken over.
    #[must_use]
    pub fn is_deposed(&self) -> bool {
        matches!(self.phase, Phase::Deposed)
    }

    /// Formation in which the engines of the members run steps.
    #[must_use]
    pub fn formation(&self) -> u64 {
        self.formation
    }

    /// Fencing number of the coordinator; 0 before it is opened.
    #[must_use]
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Name of the current phase, and the agents whose replies are outstanding.
    #[must_use]
    pub fn status(&self) -> (&'static str, Vec<&str>) {
        let (phase, waiting) = match &self.phase {
            Phase::Opening => ("opening", None),
            Phase::Idle => ("idle", None),
            Phase::Staging { waiting, .. } => ("staging", Some(waiting)),
            Phase::Holding { waiting, .. } => ("holding", Some(waiting)),
            Phase::Deciding(_) => ("deciding", None),
            Phase::Telling { waiting, .. } => ("telling", Some(waiting)),
            Phase::Deposed => ("deposed", None),
        };
        let waiting = waiting.into_iter().flatten().map(String::as_str);
        (phase, waiting.collect())
    }

    /// Agents that take part in the switches.
    #[must_use]
    pub fn members(&self) -> &BTreeSet<String> {
        &self.members
    }

    /// Sets the current time of a step, from which the lead of the barrier is
    /// derived. Steps may take four times as long on an initial map as on a good
    /// one. With the usual number of steps ahead of the barrier, the switch to a
    /// better map would then come a second later.
    pub fn set_step_time(&mut self, step_time: Option<Duration>) {
        self.step_time = step_time;
    }

    /// Begins a switch to `map`, which takes `load_time` to load at the rate of
    /// the weight store. Does nothing unless idle, or if the map is empty.
    pub fn begin_switch(
        &mut self,
        map: Bytes,
        load_time: Duration,
        now: Instant,
    ) -> Vec<CoordinatorOutput> {
        if !self.is_idle() || map.is_empty() {
            return Vec::new();
        }
        self.phase = Phase::Staging {
            map,
            waiting: self.members.clone(),
            last_step: 0,
            deadline: now + self.timing.phase_timeout + load_time,
        };
        self.send_outstanding(now)
    }

    /// Handles the result of [`CoordinatorOutput::OpenCoordinator`].
    ///
    /// Ranks may have staged the next version for a previous coordinator and may
    /// wait for its outcome. That version is aborted first, so that they
    /// continue, and so that no version has two different maps.
    pub fn on_opened(&mut self, group_state: &GroupState, now: Instant) -> Vec<CoordinatorOutput> {
        if !matches!(self.phase, Phase::Opening) {
            return Vec::new();
        }
        self.fencing = group_state.fencing;
        self.next_version = group_state.next_version();
        self.phase = Phase::Deciding(self.abort_decision(now));
        self.send_outstanding(now)
    }

    /// Handles the result of [`CoordinatorOutput::Decide`].
    pub fn on_decided(&mut self, outcome: DecideOutcome, now: Instant) -> Vec<CoordinatorOutput> {
        let Phase::Deciding(proposed) = &self.phase else {
            return Vec::new();
        };
        let decision = match outcome {
            DecideOutcome::Accepted(decision) if decision == *proposed => decision,
            DecideOutcome::Accepted(_) => return Vec::new(),
            DecideOutcome::Refused {
                refusal: Refusal::Barrier,
                ..
            } => {
                self.phase = Phase::Deciding(self.abort_decision(now));
                return self.send_outstanding(now);
            }
            DecideOutcome::Refused { .. } => return self.depose(),
        };
        self.next_version = decision.version + 1;
        self.record_exchange(now);
        self.phase = Phase::Telling {
            decision,
            waiting: self.members.clone(),
        };
        self.send_outstanding(now)
    }

    /// Handles a message from the participant `from`.
    pub fn on_message(
        &mut self,
        from: &str,
        message: ParticipantMessage,
        now: Instant,
    ) -> Vec<CoordinatorOutput> {
        match message {
            ParticipantMessage::Fenced { fencing } if fencing > self.fencing => self.depose(),
            ParticipantMessage::Fenced { .. } => Vec::new(),
            ParticipantMessage::Refused { version } => self.on_refused(version, now),
            ParticipantMessage::Staged { version, step } => {
                self.on_staged(from, version, step, now)
            }
            ParticipantMessage::Held { version } => self.on_held(from, version, now),
            ParticipantMessage::Applied { version } => {
                if let Phase::Telling { decision, waiting } = &mut self.phase
                    && decision.version == version
                {
                    waiting.remove(from);
                    if waiting.is_empty() {
                        self.phase = Phase::Idle;
                    }
                }
                Vec::new()
            }
        }
    }

    /// Repeats outstanding requests, and aborts a switch that takes too long. To
    /// be called periodically.
    pub fn tick(&mut self, now: Instant) -> Vec<CoordinatorOutput> {
        if now < self.resend_at {
            return Vec::new();
        }
        if let Phase::Staging { deadline, .. } | Phase::Holding { deadline, .. } = self.phase
            && now >= deadline
        {
            self.phase = Phase::Deciding(self.abort_decision(now));
        }
        self.send_outstanding(now)
    }

    fn on_staged(
        &mut self,
        from: &str,
        version: u64,
        step: u64,
        now: Instant,
    ) -> Vec<CoordinatorOutput> {
        let Phase::Staging {
            map,
            waiting,
            last_step,
            ..
        } = &mut self.phase
        else {
            return Vec::new();
        };
        if version != self.next_version {
            return Vec::new();
        }
        waiting.remove(from);
        *last_step = step.max(*last_step);
        if !waiting.is_empty() {
            return Vec::new();
        }
        let lead = if self.members.len() > MAX_DIRECT_AGENTS {
            self.timing
                .barrier_lead_in_large_group(self.step_time, self.exchange_time)
        } else {
            self.timing.barrier_lead(self.step_time)
        };
        self.hold_sent_at = Some(now);
        self.phase = Phase::Holding {
            map: std::mem::take(map),
            barrier_step: *last_step + lead,
            waiting: self.members.clone(),
            deadline: now + self.timing.phase_timeout,
        };
        self.send_outstanding(now)
    }

    fn on_held(&mut self, from: &str, version: u64, now: Instant) -> Vec<CoordinatorOutput> {
        let Phase::Holding {
            map,
            barrier_step,
            waiting,
            ..
        } = &mut self.phase
        else {
            return Vec::new();
        };
        if version != self.next_version {
            return Vec::new();
        }
        waiting.remove(from);
        // A rank that hasn't promised could run the barrier step on the
        // previous map while the others run it on the new one.
        if !waiting.is_empty() {
            return Vec::new();
        }
        if let Some(sent) = self.hold_sent_at {
            self.hold_time = now.saturating_duration_since(sent);
        }
        self.phase = Phase::Deciding(Decision {
            fencing: self.fencing,
            version,
            barrier_step: *barrier_step,
            verdict: Verdict::Commit,
            map: std::mem::take(map),
        });
        self.send_outstanding(now)
    }

    /// Measures how long the exchange of a switch takes, once it is decided. The outcome
    /// takes about half as long as the requests to hold and the promises. Participants
    /// confirm it only after the barrier, so its own time cannot be measured.
    fn record_exchange(&mut self, now: Instant) {
        let Some(sent) = self.hold_sent_at.take() else {
            return;
        };
        let time = now.saturating_duration_since(sent) + self.hold_time / 2;
        self.exchange_time = Some(self.exchange_time.map_or(time, |mean| (mean + time) / 2));
    }

    /// One participant can't switch, so the switch is aborted for all.
    fn on_refused(&mut self, version: u64, now: Instant) -> Vec<CoordinatorOutput> {
        let undecided = matches!(self.phase, Phase::Staging { .. } | Phase::Holding { .. });
        if !undecided || version != self.next_version {
            return Vec::new();
        }
        self.phase = Phase::Deciding(self.abort_decision(now));
        self.send_outstanding(now)
    }

    fn depose(&mut self) -> Vec<CoordinatorOutput> {
        if self.is_deposed() {
            return Vec::new();
        }
        self.phase = Phase::Deposed;
        vec![CoordinatorOutput::Deposed]
    }

    /// The decision to abort the next version. If it ends an exchange, that would have
    /// taken longer still; until one succeeds, the barrier lies beyond this time, so that
    /// the group does not wait there for a promise that never comes.
    fn abort_decision(&mut self, now: Instant) -> Decision {
        if let Some(sent) = self.hold_sent_at.take() {
            let time = now.saturating_duration_since(sent);
            self.exchange_time = self.exchange_time.max(Some(time));
        }
        Decision {
            fencing: self.fencing,
            version: self.next_version,
            barrier_step: 0,
            verdict: Verdict::Abort,
            map: Bytes::new(),
        }
    }

    /// The requests of the current phase that are outstanding.
    fn send_outstanding(&mut self, now: Instant) -> Vec<CoordinatorOutput> {
        let resend_interval = match self.phase {
            Phase::Staging { .. } => self.timing.stage_resend_interval(self.members.len()),
            _ => self.timing.resend_interval,
        };
        self.resend_at = now + resend_interval;
        let (fencing, version) = (self.fencing, self.next_version);
        match &self.phase {
            Phase::Idle | Phase::Deposed => Vec::new(),
            Phase::Opening => vec![CoordinatorOutput::OpenCoordinator],
            Phase::Deciding(decision) => vec![CoordinatorOutput::Decide(decision.clone())],
            Phase::Staging { map, waiting, .. } => to_all(
                waiting,
                &CoordinatorMessage::Stage {
                    fencing,
                    version,
                    map: map.clone(),
                },
            ),
            Phase::Holding {
                barrier_step,
                waiting,
                ..
            } => to_all(
                waiting,
                &CoordinatorMessage::Hold {
                    fencing,
                    version,
                    barrier_step: *barrier_step,
                    formation: self.formation,
                },
            ),
            Phase::Telling { decision, waiting } => to_all(
                waiting,
                &CoordinatorMessage::Outcome {
                    fencing: decision.fencing,
                    version: decision.version,
                    barrier_step: decision.barrier_step,
                    verdict: decision.verdict,
                },
            ),
        }
    }
}

/// Sends `message` to all agents in `waiting`.
fn to_all(waiting: &BTreeSet<String>, message: &CoordinatorMessage) -> Vec<CoordinatorOutput> {
    let send = |to: &String| CoordinatorOutput::Send {
        to: to.clone(),
        message: message.clone(),
    };
    waiting.iter().map(send).collect()
}
