//! Places for requests on the targets of a pool.

/// Places for requests on the targets of a pool.
///
/// ```
/// let places = route::Capacity::fixed(8.0);
/// assert_eq!(places.open, places.all);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Requests that this entry may run at once just now: those that run,
    /// and as many more as there is room for.
    pub open: f64,
    /// This entry's own part of all places.
    pub part: f64,
    /// Places for the requests of all entries.
    pub all: f64,
    /// Room beyond those, where requests wait at the targets so that no
    /// place is ever empty.
    pub spare: f64,
}

impl Capacity {
    /// So many places for one entry alone.
    #[must_use]
    pub const fn fixed(count: f64) -> Self {
        Capacity {
            open: count,
            part: count,
            all: count,
            spare: 0.0,
        }
    }
}
