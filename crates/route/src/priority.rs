//! Priority of a request.

/// Priority of a request: that of its account before that of its route. The
/// least value is the most urgent.
///
/// ```
/// use route::Priority;
///
/// let premium = Priority { account: 0, route: 7 };
/// let standard = Priority { account: 1, route: 0 };
/// assert!(premium < standard);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority {
    /// Priority of the client account; 0 is the most urgent.
    pub account: u32,
    /// Priority of the route; 0 is the most urgent.
    pub route: u32,
}
