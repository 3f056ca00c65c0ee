//! Name of a pool of targets.

/// The model or service that a request addresses; its targets form one pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PoolName {
    Model(String),
    Service(String),
}

impl PoolName {
    pub(crate) fn as_str(&self) -> &str {
        match self {
            PoolName::Model(name) | PoolName::Service(name) => name,
        }
    }
}
