//! Places for requests on the targets of a pool.

/// Places for requests on the targets of a pool.
///
/// ```
/// let places = route::Places::fixed(8.0);
/// assert_eq!(places.open, places.all);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Places {
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

impl Places {
    /// So many places for one entry alone.
    #[must_use]
    pub const fn fixed(count: f64) -> Self {
        Places {
            open: count,
            part: count,
            all: count,
            spare: 0.0,
        }
    }
}
