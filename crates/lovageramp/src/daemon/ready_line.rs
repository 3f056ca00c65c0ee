//! The line that tells whoever started a daemon where it listens.

use serde::Serialize;
use std::io::{Write, stdout};
use std::net::SocketAddr;

/// Printed to standard output as one line of JSON once a daemon answers.
#[derive(Debug, Serialize)]
pub(crate) struct Ready<'a> {
    /// The daemon's name from its settings.
    #[serde(rename = "ready")]
    pub name: &'a str,
    /// Where other daemons dial it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub links: Option<SocketAddr>,
    /// Where it answers HTTP.
    pub http: SocketAddr,
}

impl Ready<'_> {
    /// Prints the line.
    ///
    /// # Errors
    ///
    /// Fails when standard output is closed.
    pub(crate) fn print(&self) -> eyre::Result<()> {
        let line = serde_json::to_string(self)?;
        let mut out = stdout().lock();
        writeln!(out, "{line}")?;
        out.flush()?;
        Ok(())
    }
}
