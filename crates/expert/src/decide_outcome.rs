//! The answer to a decision.

use crate::{Decision, Refusal};

/// The answer to a decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecideOutcome {
    /// The decision stands, now or since it was first asked for.
    Accepted(Decision),
    /// Nothing changed.
    Refused {
        /// Why.
        refusal: Refusal,
        /// The latest decision, which stands.
        current: Option<Decision>,
    },
}

impl DecideOutcome {
    /// Whether the decision that was asked for stands.
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
