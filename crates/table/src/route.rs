//! Routes of a table.

use crate::{Access, RequestKind};
use std::time::Duration;

/// A rule that sends requests for a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// Host of the request.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Services that share the traffic, with their weights.
    pub split: Vec<WeightedService>,
    /// Whether its requests may be repeated.
    pub kind: RequestKind,
    /// Maximum time that a caller waits for its answer.
    pub timeout: Duration,
    /// Latency objective of an answer; for a stream, of its first event.
    pub objective: Duration,
    /// Priority of its requests; 0 is the highest.
    pub priority: u32,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
    /// Who may use the route.
    pub access: Access,
}

/// A service with its share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

impl Route {
    /// Selects the service for one request by weight. `draw` is a uniformly
    /// distributed random number.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use table::{Access, RequestKind, Route, WeightedService};
    ///
    /// let share = |service: &str, weight| WeightedService { service: service.into(), weight };
    /// let route = Route {
    ///     name: "split".into(),
    ///     host: "desk.example".into(),
    ///     prefix: "/".into(),
    ///     split: vec![share("old", 9), share("new", 1)],
    ///     kind: RequestKind::Once,
    ///     timeout: Duration::from_secs(1),
    ///     objective: Duration::from_secs(1),
    ///     priority: 0,
    ///     attempts: 1,
    ///     access: Access::Anyone,
    /// };
    /// let to_new = (0..100).filter(|draw| route.service(*draw) == "new").count();
    /// assert_eq!(to_new, 10);
    /// ```
    #[must_use]
    pub fn service(&self, draw: u64) -> &str {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = draw % total.max(1);
        for share in &self.split {
            let weight = u64::from(share.weight);
            if left < weight {
                return &share.service;
            }
            left -= weight;
        }
        ""
    }
}
