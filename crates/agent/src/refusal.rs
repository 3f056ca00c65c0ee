//! Why an attempt is refused.

use wire::proto;

/// Why an attempt is refused; no part of it has run or ever will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// It is addressed to another incarnation of this agent.
    Incarnation,
    /// Different release notes are in force at the entry and the agent.
    Note,
    /// Neither the entry nor the agent holds a valid lease.
    Lease,
    /// The target is leaving.
    Leaving,
    /// The release note in force doesn't offer the target for this work.
    NotOffered,
    /// The agent has reached one of its limits.
    Full,
    /// The attempt was barred before.
    Barred,
    /// The target doesn't answer.
    Unhealthy,
    /// The request is convicted of crashing targets, or it is suspect and another
    /// suspect request is running.
    Suspect,
}

impl Refusal {
    /// Name of the refusal in metrics and logs.
    ///
    /// ```
    /// assert_eq!(agent::Refusal::NotOffered.name(), "not_offered");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Incarnation => "incarnation",
            Refusal::Note => "note",
            Refusal::Lease => "lease",
            Refusal::Leaving => "leaving",
            Refusal::NotOffered => "not_offered",
            Refusal::Full => "full",
            Refusal::Barred => "barred",
            Refusal::Unhealthy => "unhealthy",
            Refusal::Suspect => "suspect",
        }
    }
}

impl From<Refusal> for proto::Refusal {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Incarnation => proto::Refusal::Incarnation,
            Refusal::Note => proto::Refusal::Note,
            Refusal::Lease => proto::Refusal::Lease,
            Refusal::Leaving => proto::Refusal::Leaving,
            Refusal::NotOffered => proto::Refusal::NotOffered,
            Refusal::Full => proto::Refusal::Full,
            Refusal::Barred => proto::Refusal::Barred,
            Refusal::Unhealthy => proto::Refusal::Unhealthy,
            Refusal::Suspect => proto::Refusal::Suspect,
        }
    }
}
