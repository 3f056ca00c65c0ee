//! All errors in a document, reported together.

use std::fmt;

use crate::Finding;

/// All findings of one document, displayed on one line each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Whether there are no findings.
    ///
    /// ```
    /// assert!(cfg::Findings::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the findings in the order in which they were added.
    ///
    /// ```
    /// let findings = cfg::Findings::from(vec![cfg::Finding::new("a", "missing")]);
    /// assert_eq!(findings.as_slice()[0].place, "a");
    /// ```
    #[must_use]
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }

    /// Converts into the list of findings.
    ///
    /// ```
    /// assert_eq!(cfg::Findings::default().into_vec(), Vec::new());
    /// ```
    #[must_use]
    pub fn into_vec(self) -> Vec<Finding> {
        self.0
    }
}

impl From<Vec<Finding>> for Findings {
    fn from(findings: Vec<Finding>) -> Self {
        Findings(findings)
    }
}

impl From<Finding> for Findings {
    fn from(finding: Finding) -> Self {
        Findings(vec![finding])
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, finding) in self.0.iter().enumerate() {
            if position > 0 {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
