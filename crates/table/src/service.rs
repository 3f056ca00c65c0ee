//! Services that routes refer to.

use crate::Engine;

/// A set of interchangeable targets that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service, under which its targets announce themselves.
    pub name: String,
    /// Maximum number of connections that one target accepts in total.
    pub connections: u32,
    /// Performance profile, if the targets are model engines.
    pub engine: Option<Engine>,
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
        }
    }
}
