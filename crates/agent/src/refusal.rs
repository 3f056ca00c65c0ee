//! Why an attempt is not taken.

use wire::proto;

/// Why an attempt is not taken; nothing of it ran or ever will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// It is meant for another incarnation of this agent.
    Incarnation,
    /// Entry and agent go by different release notes.
    Note,
    /// Neither entry nor agent holds a live lease.
    Lease,
    /// The target is leaving.
    Leaving,
    /// The note in force doesn't offer the target for this work.
    NotOffered,
    /// The target runs as much as it may.
    Full,
    /// The attempt was barred before.
    Barred,
    /// The target doesn't answer.
    Unhealthy,
    /// The request crashes targets, or may and another such one runs here.
    Suspect,
}

impl Refusal {
    /// The name under which metrics and logs count it.
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
