//! What may tell a request that crashes targets from others.

use crate::Fingerprint;

/// A request as a whole, and what it may share with others.
///
/// ```
/// use route::{Features, Fingerprint};
///
/// let first_message = Fingerprint::of_parts(&[b"part", b"5c1e07a2"]);
/// let features = Features {
///     request: Fingerprint::new([1; 32]),
///     parts: vec![first_message],
/// };
/// assert!(features.iter().any(|feature| *feature == first_message));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Features {
    /// Identity of the request in all attempts of its caller.
    pub request: Fingerprint,
    /// Parts of its prompt that prompts of other requests may have, too.
    pub parts: Vec<Fingerprint>,
}

impl Features {
    /// Maximum number of parts that are looked at. The first parts are the most shared.
    pub const MAX_PARTS: usize = 32;

    /// All features: the request itself, and each part.
    ///
    /// ```
    /// # use route::{Features, Fingerprint};
    /// let features = Features::from(Fingerprint::new([1; 32]));
    /// assert_eq!(features.iter().count(), 1);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Fingerprint> {
        std::iter::once(&self.request).chain(&self.parts)
    }
}

impl From<Fingerprint> for Features {
    fn from(request: Fingerprint) -> Features {
        Features {
            request,
            parts: Vec::new(),
        }
    }
}

/// A request that ran on a target when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedRequest {
    /// What the request may share with others.
    pub features: Features,
    /// Whether targets have completed the same request lately, so that only one of its
    /// parts may be the cause.
    pub has_completed: bool,
    /// Of the latest requests of the entry, how many had each part.
    pub with_part: Vec<u32>,
    /// How many requests these are.
    pub recent: u32,
}

impl From<Features> for CrashedRequest {
    fn from(features: Features) -> CrashedRequest {
        CrashedRequest {
            with_part: vec![0; features.parts.len()],
            features,
            has_completed: false,
            recent: 0,
        }
    }
}

impl From<Fingerprint> for CrashedRequest {
    fn from(request: Fingerprint) -> CrashedRequest {
        Features::from(request).into()
    }
}
