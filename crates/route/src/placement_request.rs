//! A request to be placed on a target.

use crate::TargetKey;

/// A request to be placed on a target.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Number of prompt tokens; 1 for a service that is not a model engine.
    pub tokens: u32,
    /// Leading part of the prompt, for prefix affinity.
    pub prefix: Option<Prefix>,
    /// Whether the quarantine lists the request as suspect.
    pub suspicion: Suspicion,
    /// Targets on which this request has already failed.
    pub avoid: &'a [TargetKey],
}

/// The leading part of a prompt, which a target may have in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of the leading part.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Whether a request is suspected of having crashed a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Suspicion {
    /// The request is not suspect.
    #[default]
    Clear,
    /// The request may only run on a target without another suspect.
    Suspect,
}

impl PlacementRequest<'_> {
    /// The same request with part of the prefix discounted, for the target that
    /// the prefix is assigned to. Prefill there benefits later requests, which
    /// find the prefix in the cache; spread over all targets, it would be cached
    /// on none.
    pub(crate) fn with_prefix_discount(&self) -> Self {
        let discount = self.prefix.map_or(0, |prefix| prefix.tokens / 2);
        PlacementRequest {
            tokens: self.tokens.saturating_sub(discount).max(1),
            ..*self
        }
    }

    /// Creates a request without a prefix, suspicion or excluded targets.
    ///
    /// ```
    /// let request = route::PlacementRequest::of_tokens(300);
    /// assert!(request.avoid.is_empty());
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
