//! What routes lead to.

use crate::Engine;

/// A service: targets that all answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name; targets announce themselves under it.
    pub name: String,
    /// Connections that one target accepts from all callers together.
    pub connections: u32,
    /// What its engines are like, where its targets are model engines.
    pub engine: Option<Engine>,
}

impl Service {
    /// A service of plain targets.
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
