//! Settings of a request queue.

/// Settings of a [`RequestQueue`](crate::RequestQueue).
///
/// ```
/// use route::RequestQueueSettings;
///
/// let settings = RequestQueueSettings { max_requests: 64, ..RequestQueueSettings::default() };
/// assert_eq!(settings.max_bytes, 16 << 20);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestQueueSettings {
    /// Most requests that may wait.
    pub max_requests: usize,
    /// Most memory that waiting requests may hold.
    pub max_bytes: usize,
    /// Most of the queue that one account may fill, from 0 to 1, while others
    /// wait and the queue is at least a quarter full. NaN counts as 1.
    pub account_share: f64,
    /// Least share of the starts for requests of lower priority, from 0 to 0.5.
    /// NaN counts as 0. With more than one half, the order of priorities would
    /// be reversed.
    pub background_share: f64,
}

impl Default for RequestQueueSettings {
    fn default() -> Self {
        RequestQueueSettings {
            max_requests: 512,
            max_bytes: 16 << 20,
            account_share: 0.5,
            background_share: 0.1,
        }
    }
}

impl RequestQueueSettings {
    /// Returns the settings with all shares within their bounds.
    pub(crate) fn clamped(self) -> Self {
        let or = |share: f64, default| if share.is_nan() { default } else { share };
        RequestQueueSettings {
            account_share: or(self.account_share, 1.0).clamp(0.0, 1.0),
            background_share: or(self.background_share, 0.0).clamp(0.0, 0.5),
            ..self
        }
    }
}
