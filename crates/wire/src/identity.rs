//! Identity of a process on a link.

use crate::proto::Role;

/// The identity that a process presents on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The role of the process.
    pub role: Role,
    /// The name of the process, from its settings.
    pub name: String,
    /// A random number that identifies this run of the process; it changes with each
    /// restart.
    pub incarnation: u64,
}

impl Identity {
    /// Creates an identity.
    ///
    /// ```
    /// let me = wire::Identity::new(wire::Role::Agent, "advisor-01", 9);
    /// assert_eq!(me.name, "advisor-01");
    /// ```
    #[must_use]
    pub fn new(role: Role, name: impl Into<String>, incarnation: u64) -> Self {
        Identity {
            role,
            name: name.into(),
            incarnation,
        }
    }
}
