//! The line on standard output that reports where a daemon listens.

use serde::Serialize;
use std::io::{Write, stdout};
use std::net::SocketAddr;

/// Printed to standard output as one line of JSON once a daemon accepts requests.
#[derive(Debug, Serialize)]
pub(crate) struct ReadyLine<'a> {
    /// Name of the daemon from its settings.
    #[serde(rename = "ready")]
    pub name: &'a str,
    /// Address for connections from other daemons.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub links: Option<SocketAddr>,
    /// HTTP address.
    pub http: SocketAddr,
}

impl ReadyLine<'_> {
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
