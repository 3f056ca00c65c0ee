//! How many tokens a window must have to be used.

/// Fraction of the usual number of tokens that a window must have.
const MIN_SHARE: f64 = 0.5;
/// Weight of the newest window in the usual number.
const NEWEST_WEIGHT: f64 = 0.5;

/// Decides whether a window has enough tokens, compared with those before.
///
/// While steps are slow, a window holds the tokens of a single step or of none. Such
/// counts are mostly noise: popularity would seem to change with each of them, and a
/// rank would seem to take seconds for a token.
///
/// ```
/// let mut threshold = expert::TokenThreshold::default();
/// assert!(threshold.admits(1_000));
/// assert!(!threshold.admits(400));
/// assert!(threshold.admits(600));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenThreshold {
    /// Smoothed number of tokens of the windows admitted so far.
    usual: f64,
}

impl TokenThreshold {
    /// Whether a window of so many tokens is to be used. The tokens of one that is not
    /// are to be added to the next.
    pub fn admits(&mut self, tokens: u64) -> bool {
        #[allow(
            clippy::cast_precision_loss,
            reason = "rounding a sum of tokens is harmless"
        )]
        let tokens = tokens as f64;
        if tokens <= 0.0 || tokens < self.usual * MIN_SHARE {
            return false;
        }
        let weight = if self.usual > 0.0 { NEWEST_WEIGHT } else { 1.0 };
        self.usual += weight * (tokens - self.usual);
        true
    }
}
