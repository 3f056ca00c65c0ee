//! Places for requests on the targets of a pool.

/// Places for requests on the targets of a pool.
///
/// ```
/// let capacity = route::Capacity::fixed(8.0);
/// assert_eq!(capacity.usable, capacity.total);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Requests that this entry may run at once just now: those that run,
    /// and as many more as there is room for.
    pub usable: f64,
    /// This entry's own part of all places.
    pub own_share: f64,
    /// Places for the requests of all entries.
    pub total: f64,
    /// Room beyond those, where requests wait at the targets so that no
    /// place is ever empty.
    pub overcommit: f64,
}

impl Capacity {
    /// So many places for one entry alone.
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
