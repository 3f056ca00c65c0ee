//! Whether a request ran.

/// Whether a request ran, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    /// It is certain that the request did not run and never will.
    No,
    /// The request may have run or may still run.
    Unknown,
    /// The request ran.
    Yes,
}

impl Ran {
    /// Returns the value of the member `ran` in a problem's JSON.
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
