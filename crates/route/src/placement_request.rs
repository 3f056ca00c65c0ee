//! What a request asks of a target.

use crate::TargetKey;

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Prompt tokens; 1 for a call of a plain service.
    pub tokens: u32,
    /// Hash of the prompt's leading part, for prefix affinity.
    pub prefix: Option<Prefix>,
    /// Whether the quarantine holds the request suspect.
    pub suspicion: Suspicion,
    /// Targets that this request has already failed on.
    pub avoid: &'a [TargetKey],
}

/// The leading part of a prompt, which a target may hold in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of the leading part.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Whether a request may have crashed a target before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing is held against it.
    #[default]
    Clear,
    /// It may run only where no other suspect runs.
    Suspect,
}

impl PlacementRequest<'_> {
    /// The same demand at the target that its prefix belongs to. Part of the
    /// prefill there is an investment: those that follow find the prefix in
    /// the cache, while spread over all targets it would be in none.
    pub(crate) fn with_prefix_to_come(&self) -> Self {
        let part = self.prefix.map_or(0, |prefix| prefix.tokens / 2);
        PlacementRequest {
            tokens: self.tokens.saturating_sub(part).max(1),
            ..*self
        }
    }

    /// A request with nothing special about it.
    ///
    /// ```
    /// let demand = route::PlacementRequest::of_tokens(300);
    /// assert!(demand.avoid.is_empty());
    /// ```
    #[must_use]
    pub const fn of_tokens(tokens: u32) -> PlacementRequest<'static> {
        PlacementRequest {
            tokens,
            prefix: None,
            suspicion: Suspicion::Clear,
            avoid: &[],
        }
    }
}
