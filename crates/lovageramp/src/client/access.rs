//! Connection options of the client.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;

use super::Failure;

const HOST_VARIABLE: &str = "LOVAGERAMP_HOST";
const TOKEN_VARIABLE: &str = "LOVAGERAMP_TOKEN";

/// Connection options of the client.
#[derive(Bpaf, Clone, Debug)]
pub struct Access {
    /// HTTP address of an entry or control, ip:port; may be given more than
    /// once, the next is tried if one does not respond. Defaults to the
    /// environment variable `LOVAGERAMP_HOST`, comma-separated
    #[bpaf(argument("ADDR"), many)]
    host: Vec<SocketAddr>,
    /// File with the operator token; defaults to the environment variable
    /// `LOVAGERAMP_TOKEN`
    #[bpaf(argument("FILE"), optional)]
    token_file: Option<PathBuf>,
    /// Operator name stored with a note; defaults to the environment variable USER
    #[bpaf(argument("NAME"), optional)]
    operator: Option<String>,
    /// Milliseconds to wait for a response from each host
    #[bpaf(argument("MS"), fallback(10_000), display_fallback)]
    timeout_ms: u64,
}

impl Access {
    /// The hosts to try, in order.
    ///
    /// # Errors
    ///
    /// Fails when no host is given, or the environment variable is malformed.
    pub fn hosts(&self) -> Result<Vec<SocketAddr>, Failure> {
        if !self.host.is_empty() {
            return Ok(self.host.clone());
        }
        let listed = std::env::var(HOST_VARIABLE).unwrap_or_default();
        let parse = |host: &str| {
            let invalid = |_| Failure::Usage(format!("{host:?} in {HOST_VARIABLE} is not ip:port"));
            host.parse().map_err(invalid)
        };
        let entries = listed.split(',').map(str::trim);
        let hosts: Result<Vec<SocketAddr>, Failure> =
            entries.filter(|host| !host.is_empty()).map(parse).collect();
        let hosts = hosts?;
        if hosts.is_empty() {
            let detail = format!("no host given: use --host ip:port or {HOST_VARIABLE}");
            return Err(Failure::Usage(detail));
        }
        Ok(hosts)
    }

    /// Whether a host is given on the command line.
    #[must_use]
    pub fn has_host_argument(&self) -> bool {
        !self.host.is_empty()
    }

    /// The operator token.
    ///
    /// # Errors
    ///
    /// Fails when no token is given, or its file can't be read.
    pub fn token(&self) -> Result<String, Failure> {
        let token = match &self.token_file {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|err| Failure::Usage(format!("cannot read {}: {err}", path.display())))?,
            None => std::env::var(TOKEN_VARIABLE).map_err(|_| {
                Failure::Usage(format!(
                    "no token given: use --token-file FILE or {TOKEN_VARIABLE}"
                ))
            })?,
        };
        Ok(token.trim().to_owned())
    }

    /// The operator's name.
    #[must_use]
    pub fn operator(&self) -> String {
        let given = self.operator.clone();
        given
            .or_else(|| std::env::var("USER").ok())
            .filter(|name| !name.is_empty())
            .unwrap_or_else(|| "operator".to_owned())
    }

    /// Time limit for the response of each host.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
