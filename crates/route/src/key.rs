//! Keys of targets and attempts.

use slotmap::new_key_type;

new_key_type! {
    /// A target in a [`Pool`](crate::Pool) or [`TargetSet`](crate::TargetSet).
    pub struct TargetKey;
    /// A running attempt on a target of a [`Pool`](crate::Pool).
    pub struct AttemptKey;
}
