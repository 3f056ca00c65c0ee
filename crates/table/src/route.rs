//! Where a request goes.

use crate::{Access, RequestKind};
use std::time::Duration;

/// Where the requests for a host and the paths below a prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: String,
    /// The services that it leads to.
    pub split: Vec<WeightedService>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time; of a stream, its first event.
    pub objective: Duration,
    /// 0 goes first.
    pub priority: u32,
    /// Targets that one request is given to at most.
    pub attempts: u32,
    /// Who may use it.
    pub access: Access,
}

/// A part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service that gets it.
    pub service: String,
    /// How much, against the other shares of the route.
    pub weight: u32,
}

impl Route {
    /// The service for one request; `draw` is any number, evenly distributed.
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
        let all: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = draw % all.max(1);
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
