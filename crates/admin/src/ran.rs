//! Whether a request ran.

/// Whether a request ran, as its caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    /// It is proved that it did not run and never will.
    No,
    /// It may have run, or may still.
    Unknown,
    /// It ran.
    Yes,
}

impl Ran {
    /// The word in a problem's JSON.
    ///
    /// ```
    /// assert_eq!(admin::Ran::Unknown.as_str(), "unknown");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        }
    }
}
