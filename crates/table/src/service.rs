//! Services that routes refer to.

use crate::Engine;
use std::time::Duration;

/// A set of interchangeable targets that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service, under which its targets announce themselves.
    pub name: String,
    /// Maximum number of connections that one target accepts in total.
    pub connections: u32,
    /// Performance profile, if the targets are model engines.
    pub engine: Option<Engine>,
    /// Limits of targets that have just started, if there are any.
    pub cold_start: Option<ColdStart>,
}

/// Limits of a target that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which a target is cold.
    pub duration: Duration,
    /// Number of requests that it bears in a second.
    pub requests_per_second: f64,
}

impl Service {
    /// Creates a service whose targets are not model engines.
    ///
    /// ```
    /// assert!(table::Service::new("order-desk", 96).engine.is_none());
    /// ```
    #[must_use]
    pub fn new(name: impl Into<String>, connections: u32) -> Service {
        Service {
            name: name.into(),
            connections,
            engine: None,
            cold_start: None,
        }
    }
}
