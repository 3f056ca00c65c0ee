//! Decides whether an attempt is accepted.

use crate::Refusal;

/// Whether a lease is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// The lease is valid.
    Live,
    /// The lease has expired, or there never was one.
    Expired,
}

/// Whether the target accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts new work.
    Serving,
    /// It finishes running work and accepts no new work.
    Leaving,
}

/// Whether the release note in force offers the target for the requested work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It is offered.
    Yes,
    /// It is not offered, or was withdrawn.
    No,
}

/// Whether the target answers health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    Up,
    /// It doesn't answer.
    Down,
}

/// Whether a request with the same fingerprint is known to crash targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing is known.
    None,
    /// Such a request ran on a target when it crashed.
    Suspect,
    /// Such requests crash targets.
    Convicted,
}

/// State of the agent when an attempt arrives.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionState {
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Number of the release note in force at the agent.
    pub note: u64,
    /// The agent's own lease.
    pub lease: Lease,
    /// Whether the target is leaving.
    pub phase: Phase,
    /// Whether the target is offered for the requested work.
    pub offered: Offered,
    /// Whether the target answers.
    pub health: Health,
    /// Number of running attempts.
    pub running: usize,
    /// Maximum number of running attempts.
    pub limit: usize,
    /// Number of running suspect requests.
    pub suspects: usize,
}

/// Properties of an arriving attempt.
#[derive(Clone, Copy, Debug)]
pub struct IncomingAttempt {
    /// The agent incarnation that it is addressed to.
    pub incarnation: u64,
    /// Number of the release note in force at its entry.
    pub note: u64,
    /// The entry's lease when the attempt was sent.
    pub lease: Lease,
    /// Suspicion against its request.
    pub suspicion: Suspicion,
}

impl AdmissionState {
    /// Decides whether an attempt is accepted.
    ///
    /// # Errors
    ///
    /// The reason for the refusal. A refused attempt never runs.
    ///
    /// ```
    /// use agent::{
    ///     AdmissionState, Health, IncomingAttempt, Lease, Offered, Phase, Refusal, Suspicion,
    /// };
    ///
    /// let state = AdmissionState {
    ///     incarnation: 7,
    ///     note: 3,
    ///     lease: Lease::Expired,
    ///     phase: Phase::Serving,
    ///     offered: Offered::Yes,
    ///     health: Health::Up,
    ///     running: 0,
    ///     limit: 8,
    ///     suspects: 0,
    /// };
    /// let attempt = IncomingAttempt {
    ///     incarnation: 7,
    ///     note: 3,
    ///     lease: Lease::Live,
    ///     suspicion: Suspicion::None,
    /// };
    /// assert_eq!(state.admit(&attempt), Ok(()));
    /// let unleased = IncomingAttempt { lease: Lease::Expired, ..attempt };
    /// assert_eq!(state.admit(&unleased), Err(Refusal::Lease));
    /// ```
    pub fn admit(&self, attempt: &IncomingAttempt) -> Result<(), Refusal> {
        if attempt.incarnation != self.incarnation {
            return Err(Refusal::Incarnation);
        }
        // One side may not have received the newest note, and a target that it
        // withdraws must not accept work. Therefore both numbers must be equal, and
        // one side must know by its lease that this number is the newest.
        if attempt.note != self.note {
            return Err(Refusal::Note);
        }
        if self.lease == Lease::Expired && attempt.lease == Lease::Expired {
            return Err(Refusal::Lease);
        }
        if self.phase == Phase::Leaving {
            return Err(Refusal::Leaving);
        }
        if self.offered == Offered::No {
            return Err(Refusal::NotOffered);
        }
        if self.health == Health::Down {
            return Err(Refusal::Unhealthy);
        }
        self.admit_suspicion(attempt.suspicion)?;
        if self.running >= self.limit {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    /// Only one suspect runs at a time. If the target crashes again, the cause is
    /// known, and no request that merely ran at the same time is convicted.
    fn admit_suspicion(&self, suspicion: Suspicion) -> Result<(), Refusal> {
        match suspicion {
            Suspicion::None => Ok(()),
            Suspicion::Suspect if self.suspects == 0 => Ok(()),
            Suspicion::Suspect | Suspicion::Convicted => Err(Refusal::Suspect),
        }
    }
}
