//! Failures of a command.

use std::fmt;

use serde_json::{Value, json};

use super::Exit;

/// Failure of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Failure {
    /// The request was refused, with the problem document or the findings.
    Refused(Value),
    /// The command line, the environment or a file is invalid.
    Usage(String),
    /// No host responded; the text has one line per host.
    Unreachable(String),
}

impl Failure {
    /// Findings of a local check, in the same form as in a response.
    #[must_use]
    pub fn findings(findings: &[note::Finding]) -> Failure {
        let findings: Vec<Value> = findings
            .iter()
            .map(|finding| json!({"place": finding.place, "message": finding.message}))
            .collect();
        let detail = format!("{} findings", findings.len());
        Failure::Refused(json!({"detail": detail, "findings": findings}))
    }

    /// The exit code for this failure.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Failure::Refused(_) => Exit::Refused,
            Failure::Usage(_) => Exit::Usage,
            Failure::Unreachable(_) => Exit::Unreachable,
        }
    }

    /// Returns the failure as JSON.
    #[must_use]
    pub fn to_json(&self) -> Value {
        match self {
            Failure::Refused(problem) => problem.clone(),
            Failure::Usage(detail) | Failure::Unreachable(detail) => json!({"detail": detail}),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let problem = match self {
            Failure::Refused(problem) => problem,
            Failure::Usage(detail) | Failure::Unreachable(detail) => return f.write_str(detail),
        };
        let detail = problem["detail"].as_str().unwrap_or("refused");
        f.write_str(detail)?;
        for finding in problem["findings"].as_array().into_iter().flatten() {
            let place = finding["place"].as_str().unwrap_or_default();
            let message = finding["message"].as_str().unwrap_or_default();
            write!(f, "\n{}", note::Finding::new(place, message))?;
        }
        if let Some(digest) = problem["digest"].as_str() {
            write!(f, "\nits SHA-256 is {digest}")?;
        }
        Ok(())
    }
}
