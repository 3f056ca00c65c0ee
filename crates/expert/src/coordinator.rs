//! Drives the participants of a group through map switches.

use crate::{
    CoordinatorMessage, CoordinatorOutput, DecideOutcome, Decision, GroupState, ParticipantMessage,
    Refusal, SwitchTiming, Verdict,
};
use bytes::Bytes;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Drives the participants of a group through map switches.
///
/// Two-phase commit whose decision is kept in the durable state: all stage,
/// all promise to stop before a barrier step, the decision is committed, all
/// are told. Several coordinators may be at work at once, for instance on
/// both sides of a network partition: only the one with the current fencing
/// number gets decisions through.
#[derive(Clone, Debug)]
pub struct Coordinator {
    timing: SwitchTiming,
    members: BTreeSet<String>,
    formation: u64,
    fencing: u64,
    next_version: u64,
    phase: Phase,
    /// Usual time of a step, if it is known.
    step_time: Option<Duration>,
    /// When what the phase waits for is sent again.
    resend_at: Instant,
}

#[derive(Clone, Debug)]
enum Phase {
    Opening,
    Idle,
    Staging {
        map: Bytes,
        waiting: BTreeSet<String>,
        step: u64,
        until: Instant,
    },
    Holding {
        map: Bytes,
        barrier_step: u64,
        waiting: BTreeSet<String>,
        until: Instant,
    },
    Deciding(Decision),
    Telling {
        decision: Decision,
        waiting: BTreeSet<String>,
    },
    Deposed,
}

impl Coordinator {
    /// A coordinator for the agents `members`, which must be all whose
    /// engines run the group's steps in `formation`. It does nothing until
    /// [`tick`](Coordinator::tick).
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

    /// Formation in which the engines of the members step.
    #[must_use]
    pub fn formation(&self) -> u64 {
        self.formation
    }

    /// Its fencing number; 0 before it is opened.
    #[must_use]
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// What it is at, and the agents that it waits for.
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

    /// Agents that take part.
    #[must_use]
    pub fn members(&self) -> &BTreeSet<String> {
        &self.members
    }

    /// Takes in how long a step takes at present. On a start map steps may take
    /// four times as long as on a good one; a barrier as many of them ahead as
    /// usual would put relief off by a second.
    pub fn set_step_time(&mut self, step: Option<Duration>) {
        self.step_time = step;
    }

    /// Begins a switch to `map`, which takes `loading` to load at the rate of
    /// the weight store; does nothing unless idle.
    pub fn begin_switch(
        &mut self,
        map: Bytes,
        loading: Duration,
        now: Instant,
    ) -> Vec<CoordinatorOutput> {
        if !self.is_idle() || map.is_empty() {
            return Vec::new();
        }
        self.phase = Phase::Staging {
            map,
            waiting: self.members.clone(),
            step: 0,
            until: now + self.timing.phase_timeout + loading,
        };
        self.send(now)
    }

    /// Takes in that the coordinator was opened.
    ///
    /// A former coordinator may have got ranks to stage the next version and
    /// to wait for its outcome. That version is aborted first, so that they
    /// go on, and so that a version never has two contents.
    pub fn on_opened(&mut self, standing: &GroupState, now: Instant) -> Vec<CoordinatorOutput> {
        if !matches!(self.phase, Phase::Opening) {
            return Vec::new();
        }
        self.fencing = standing.fencing;
        self.next_version = standing.next_version();
        self.phase = Phase::Deciding(self.abort());
        self.send(now)
    }

    /// Takes in the answer to a decision.
    pub fn on_decided(&mut self, outcome: DecideOutcome, now: Instant) -> Vec<CoordinatorOutput> {
        let Phase::Deciding(asked) = &self.phase else {
            return Vec::new();
        };
        let decision = match outcome {
            DecideOutcome::Accepted(decision) if decision == *asked => decision,
            DecideOutcome::Accepted(_) => return Vec::new(),
            DecideOutcome::Refused {
                refusal: Refusal::Barrier,
                ..
            } => {
                self.phase = Phase::Deciding(self.abort());
                return self.send(now);
            }
            DecideOutcome::Refused { .. } => return self.depose(),
        };
        self.next_version = decision.version + 1;
        self.phase = Phase::Telling {
            decision,
            waiting: self.members.clone(),
        };
        self.send(now)
    }

    /// Takes in an answer of the participant `from`.
    pub fn on_message(
        &mut self,
        from: &str,
        message: ParticipantMessage,
        now: Instant,
    ) -> Vec<CoordinatorOutput> {
        match message {
            ParticipantMessage::Fenced { fencing } if fencing > self.fencing => self.depose(),
            ParticipantMessage::Fenced { .. } => Vec::new(),
            ParticipantMessage::Refused { version } => self.refused(version, now),
            ParticipantMessage::Staged { version, step } => self.staged(from, version, step, now),
            ParticipantMessage::Held { version } => self.held(from, version, now),
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

    /// Sends again what is unanswered, and gives up a switch that takes too
    /// long. Called from time to time.
    pub fn tick(&mut self, now: Instant) -> Vec<CoordinatorOutput> {
        if now < self.resend_at {
            return Vec::new();
        }
        if let Phase::Staging { until, .. } | Phase::Holding { until, .. } = self.phase
            && now >= until
        {
            self.phase = Phase::Deciding(self.abort());
        }
        self.send(now)
    }

    fn staged(
        &mut self,
        from: &str,
        version: u64,
        ran: u64,
        now: Instant,
    ) -> Vec<CoordinatorOutput> {
        let Phase::Staging {
            map,
            waiting,
            step,
            until,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        if version != self.next_version {
            return Vec::new();
        }
        waiting.remove(from);
        *step = ran.max(*step);
        if !waiting.is_empty() {
            return Vec::new();
        }
        self.phase = Phase::Holding {
            map: std::mem::take(map),
            barrier_step: *step + self.timing.barrier_lead(self.step_time),
            waiting: self.members.clone(),
            until: *until + self.timing.phase_timeout,
        };
        self.send(now)
    }

    fn held(&mut self, from: &str, version: u64, now: Instant) -> Vec<CoordinatorOutput> {
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
        // former map while the others run it on the new one.
        if !waiting.is_empty() {
            return Vec::new();
        }
        self.phase = Phase::Deciding(Decision {
            fencing: self.fencing,
            version,
            barrier_step: *barrier_step,
            verdict: Verdict::Commit,
            map: std::mem::take(map),
        });
        self.send(now)
    }

    /// One participant can't go along: nobody switches.
    fn refused(&mut self, version: u64, now: Instant) -> Vec<CoordinatorOutput> {
        let undecided = matches!(self.phase, Phase::Staging { .. } | Phase::Holding { .. });
        if !undecided || version != self.next_version {
            return Vec::new();
        }
        self.phase = Phase::Deciding(self.abort());
        self.send(now)
    }

    fn depose(&mut self) -> Vec<CoordinatorOutput> {
        if self.is_deposed() {
            return Vec::new();
        }
        self.phase = Phase::Deposed;
        vec![CoordinatorOutput::Deposed]
    }

    fn abort(&self) -> Decision {
        Decision {
            fencing: self.fencing,
            version: self.next_version,
            barrier_step: 0,
            verdict: Verdict::Abort,
            map: Bytes::new(),
        }
    }

    /// What the phase waits for, sent for the first time or again.
    fn send(&mut self, now: Instant) -> Vec<CoordinatorOutput> {
        self.resend_at = now + self.timing.resend_interval;
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

fn to_all(waiting: &BTreeSet<String>, message: &CoordinatorMessage) -> Vec<CoordinatorOutput> {
    let send = |to: &String| CoordinatorOutput::Send {
        to: to.clone(),
        message: message.clone(),
    };
    waiting.iter().map(send).collect()
}
