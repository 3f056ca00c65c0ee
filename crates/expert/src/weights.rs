//! What a client of the group holds dear.

/// How much slow steps and moved experts weigh, from the release note.
///
/// Only their ratio decides which moves pay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of a second of step time.
    pub skew: f64,
    /// Weight of a second that moving experts costs.
    pub moves: f64,
}
