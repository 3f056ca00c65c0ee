//! How the system is reached.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;

use super::Failure;

const HOST_VARIABLE: &str = "LOVAGERAMP_HOST";
const TOKEN_VARIABLE: &str = "LOVAGERAMP_TOKEN";

/// How the system is reached.
#[derive(Bpaf, Clone, Debug)]
pub struct Access {
    /// An entry's or control's HTTP address, ip:port; may be given more than
    /// once, the next is tried when one doesn't answer. Without it the
    /// environment variable `LOVAGERAMP_HOST`, comma-separated
    #[bpaf(argument("ADDR"), many)]
    host: Vec<SocketAddr>,
    /// File with the operators' token; without it the environment variable
    /// `LOVAGERAMP_TOKEN`
    #[bpaf(argument("FILE"), optional)]
    token_file: Option<PathBuf>,
    /// Name that is kept with a note; without it the environment variable USER
    #[bpaf(argument("NAME"), optional)]
    operator: Option<String>,
    /// Milliseconds to wait for each host
    #[bpaf(argument("MS"), fallback(10_000), display_fallback)]
    timeout_ms: u64,
}

impl Access {
    /// The hosts to try, in order.
    ///
    /// # Errors
    ///
    /// Fails when none is named, or the environment variable is malformed.
    pub fn hosts(&self) -> Result<Vec<SocketAddr>, Failure> {
        if !self.host.is_empty() {
            return Ok(self.host.clone());
        }
        let listed = std::env::var(HOST_VARIABLE).unwrap_or_default();
        let parse = |host: &str| {
            let wrong = |_| Failure::Usage(format!("{host:?} in {HOST_VARIABLE} isn't ip:port"));
            host.parse().map_err(wrong)
        };
        let named = listed.split(',').map(str::trim);
        let hosts: Result<Vec<SocketAddr>, Failure> =
            named.filter(|host| !host.is_empty()).map(parse).collect();
        let hosts = hosts?;
        if hosts.is_empty() {
            let detail = format!("name a host: --host ip:port, or {HOST_VARIABLE}");
            return Err(Failure::Usage(detail));
        }
        Ok(hosts)
    }

    /// Whether a host is named on the command line.
    #[must_use]
    pub fn names_host(&self) -> bool {
        !self.host.is_empty()
    }

    /// The operators' token.
    ///
    /// # Errors
    ///
    /// Fails when there is none, or its file can't be read.
    pub fn token(&self) -> Result<String, Failure> {
        let token = match &self.token_file {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|err| Failure::Usage(format!("can't read {}: {err}", path.display())))?,
            None => std::env::var(TOKEN_VARIABLE).map_err(|_| {
                Failure::Usage(format!("no token: --token-file FILE, or {TOKEN_VARIABLE}"))
            })?,
        };
        Ok(token.trim().to_owned())
    }

    /// The operator's name.
    #[must_use]
    pub fn operator(&self) -> String {
        let named = self.operator.clone();
        named
            .or_else(|| std::env::var("USER").ok())
            .filter(|name| !name.is_empty())
            .unwrap_or_else(|| "operator".to_owned())
    }

    /// How long each host may take.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
