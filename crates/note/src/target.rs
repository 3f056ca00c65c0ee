//! Targets.

use cfg::Reader;
use serde_json::{Value, json};

use crate::{Assignment, name};

/// A configured target. It receives requests only while its agent announces it
/// for the same group or service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The target's name, as announced by its agent.
    pub name: String,
    /// The group or service that the target is assigned to.
    pub assignment: Assignment,
}

impl Target {
    /// Returns the model group that the target belongs to, if any.
    ///
    /// ```
    /// let target = note::Target {
    ///     name: "advisor-01".into(),
    ///     assignment: note::Assignment::Group("blank-advisor".into()),
    /// };
    /// assert_eq!(target.group(), Some("blank-advisor"));
    /// assert_eq!(target.service(), None);
    /// ```
    #[must_use]
    pub fn group(&self) -> Option<&str> {
        match &self.assignment {
            Assignment::Group(name) => Some(name),
            Assignment::Service(_) => None,
        }
    }

    /// Returns the plain service that the target serves, if any.
    ///
    /// ```
    /// let target = note::Target {
    ///     name: "desk-01".into(),
    ///     assignment: note::Assignment::Service("order-desk".into()),
    /// };
    /// assert_eq!(target.service(), Some("order-desk"));
    /// ```
    #[must_use]
    pub fn service(&self) -> Option<&str> {
        match &self.assignment {
            Assignment::Group(_) => None,
            Assignment::Service(name) => Some(name),
        }
    }

    pub(crate) fn read(r: &mut Reader) -> Option<Self> {
        let name = name::read(r, "name");
        let assignment = match (r.has("group"), r.has("service")) {
            (true, false) => name::read(r, "group").map(Assignment::Group),
            (false, true) => name::read(r, "service").map(Assignment::Service),
            _ => {
                r.finding("group", "exactly one of group and service must be set");
                r.accept_rest();
                None
            }
        };
        Some(Target {
            name: name?,
            assignment: assignment?,
        })
    }

    pub(crate) fn to_value(&self) -> Value {
        match &self.assignment {
            Assignment::Group(group) => {
                json!({"kind": "target", "name": self.name, "group": group})
            }
            Assignment::Service(service) => {
                json!({"kind": "target", "name": self.name, "service": service})
            }
        }
    }
}
