//! Whether an attempt is taken.

use crate::Refusal;

/// Whether a lease lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    /// It lasts.
    Live,
    /// It has run out, or there never was one.
    Over,
}

/// Whether the target takes new work at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does.
    Serving,
    /// It is leaving: what runs is finished, nothing new is taken.
    Leaving,
}

/// Whether the note in force offers the target for the work that is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It does.
    Yes,
    /// It doesn't, or the target was withdrawn.
    No,
}

/// Whether the target answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It does.
    Up,
    /// It doesn't.
    Down,
}

/// What is known of a request with this fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing.
    None,
    /// It ran on a target that crashed.
    Suspect,
    /// It crashes targets.
    Convicted,
}

/// The agent as it stands when an attempt arrives.
#[derive(Clone, Copy, Debug)]
pub struct Gate {
    /// This incarnation.
    pub incarnation: u64,
    /// Number of the note in force here.
    pub note: u64,
    /// The agent's own lease.
    pub lease: Lease,
    /// Whether the target is leaving.
    pub phase: Phase,
    /// Whether the target is offered for the work.
    pub offered: Offered,
    /// Whether the target answers.
    pub health: Health,
    /// Attempts that run.
    pub running: usize,
    /// Attempts that may run at once.
    pub limit: usize,
    /// Suspect requests that run.
    pub suspects: usize,
}

/// What an attempt says of itself.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The incarnation that it is meant for.
    pub incarnation: u64,
    /// Number of the note that its entry goes by.
    pub note: u64,
    /// Its entry's lease when it was sent.
    pub lease: Lease,
    /// What the quarantine says of its request.
    pub suspicion: Suspicion,
}

impl Gate {
    /// Decides whether an attempt is taken.
    ///
    /// # Errors
    ///
    /// The reason why it isn't; then nothing of it runs.
    ///
    /// ```
    /// use agent::{Arrival, Gate, Health, Lease, Offered, Phase, Refusal, Suspicion};
    ///
    /// let gate = Gate {
    ///     incarnation: 7,
    ///     note: 3,
    ///     lease: Lease::Over,
    ///     phase: Phase::Serving,
    ///     offered: Offered::Yes,
    ///     health: Health::Up,
    ///     running: 0,
    ///     limit: 8,
    ///     suspects: 0,
    /// };
    /// let arrival = Arrival {
    ///     incarnation: 7,
    ///     note: 3,
    ///     lease: Lease::Live,
    ///     suspicion: Suspicion::None,
    /// };
    /// assert_eq!(gate.admit(&arrival), Ok(()));
    /// let cut_off = Arrival { lease: Lease::Over, ..arrival };
    /// assert_eq!(gate.admit(&cut_off), Err(Refusal::Lease));
    /// ```
    pub fn admit(&self, arrival: &Arrival) -> Result<(), Refusal> {
        if arrival.incarnation != self.incarnation {
            return Err(Refusal::Incarnation);
        }
        // One side may not have heard of the newest note. Were the work taken, a
        // target withdrawn by it would go on working: so the numbers must be equal,
        // and one of the two must know by its lease that this number is the newest.
        if arrival.note != self.note {
            return Err(Refusal::Note);
        }
        if self.lease == Lease::Over && arrival.lease == Lease::Over {
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
        self.admit_suspicion(arrival.suspicion)?;
        if self.running >= self.limit {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    /// Suspects run alone among suspects: if the target crashes again, the one
    /// that did it is known, and none that merely ran beside it is convicted.
    fn admit_suspicion(&self, suspicion: Suspicion) -> Result<(), Refusal> {
        match suspicion {
            Suspicion::None => Ok(()),
            Suspicion::Suspect if self.suspects == 0 => Ok(()),
            Suspicion::Suspect | Suspicion::Convicted => Err(Refusal::Suspect),
        }
    }
}
