//! Result of a proposed decision.

use crate::{Decision, Refusal};

/// Result of a proposed decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecideOutcome {
    /// The decision is in effect, as of now or of an earlier proposal.
    Accepted(Decision),
    /// The decision was refused and nothing changed.
    Refused {
        /// Reason of the refusal.
        refusal: Refusal,
        /// The latest decision of the group, if any.
        current: Option<Decision>,
    },
}

impl DecideOutcome {
    /// Whether the proposed decision is in effect.
    ///
    /// ```
    /// use expert::{DecideOutcome, Refusal};
    ///
    /// let outcome = DecideOutcome::Refused { refusal: Refusal::Fencing, current: None };
    /// assert!(!outcome.is_accepted());
    /// ```
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        matches!(self, DecideOutcome::Accepted(_))
    }

    /// The latest decision of the group.
    ///
    /// ```
    /// use expert::{DecideOutcome, Refusal};
    ///
    /// let outcome = DecideOutcome::Refused { refusal: Refusal::Fencing, current: None };
    /// assert_eq!(outcome.current(), None);
    /// ```
    #[must_use]
    pub fn current(&self) -> Option<&Decision> {
        match self {
            DecideOutcome::Accepted(decision) => Some(decision),
            DecideOutcome::Refused { current, .. } => current.as_ref(),
        }
    }
}
