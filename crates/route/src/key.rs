//! Keys into the arenas of a pool.

use slotmap::new_key_type;

new_key_type! {
    /// A target in a [`Pool`](crate::Pool).
    pub struct TargetKey;
    /// An attempt that runs on a target of a [`Pool`](crate::Pool).
    pub struct AttemptKey;
}
