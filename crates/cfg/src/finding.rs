//! An error in a document, with its place.

use std::fmt;

/// An error in a document, with its JSON path.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// JSON path such as `replicas[0].address`; empty for the whole document.
    pub place: String,
    /// Description of the error, in lower case and without a full stop.
    pub message: String,
}

impl Finding {
    /// Creates a finding.
    ///
    /// ```
    /// let finding = cfg::Finding::new("changed[3].model", "unknown model \"x\"");
    /// assert_eq!(finding.to_string(), "unknown model \"x\" at changed[3].model");
    /// ```
    #[must_use]
    pub fn new(place: impl Into<String>, message: impl Into<String>) -> Self {
        Finding {
            place: place.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.place.is_empty() {
            f.write_str(&self.message)
        } else {
            write!(f, "{} at {}", self.message, self.place)
        }
    }
}
