//! Capacity of the targets of a pool.

/// Capacity of the targets of a pool, in concurrent requests.
///
/// ```
/// let capacity = route::Capacity::fixed(8.0);
/// assert_eq!(capacity.usable, capacity.total);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Requests that this entry may currently run: those that it runs already,
    /// plus those for which there is room.
    pub usable: f64,
    /// This entry's own share of the total.
    pub own_share: f64,
    /// Slots for the requests of all entries.
    pub total: f64,
    /// Requests beyond the total that may wait at the targets, so that no slot
    /// stays empty.
    pub overcommit: f64,
}

impl Capacity {
    /// Capacity of `count` slots that a single entry uses alone.
    #[must_use]
    pub const fn fixed(count: f64) -> Self {
        Capacity {
            usable: count,
            own_share: count,
            total: count,
            overcommit: 0.0,
        }
    }
}
