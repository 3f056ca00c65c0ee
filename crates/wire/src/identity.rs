//! Who stands at one end of a link.

use crate::proto::Role;

/// A process as it introduces itself on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// What the process does.
    pub role: Role,
    /// Its name from its settings.
    pub name: String,
    /// Random number of this run of the process; a restart makes a new one.
    pub incarnation: u64,
}

impl Identity {
    /// Puts an identity together.
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
