//! Options of `lovageramp bench`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Bpaf, Parser};
use eyre::{bail, ensure};

use super::account::Account;
use super::mix::Mix;

/// Options of `lovageramp bench`.
#[derive(Bpaf, Clone, Debug)]
pub struct BenchOptions {
    /// An entry's address, ip:port; may be given more than once. The address
    /// list is asked of them, as callers do
    #[bpaf(argument("ADDR"), many)]
    pub host: Vec<SocketAddr>,
    /// Bearer key of a client account, with *N for N times the load of the
    /// others; may be given more than once
    #[bpaf(argument("KEY[*N]"), many)]
    pub key: Vec<Account>,
    /// association or hotline; both, one after the other, without
    #[bpaf(argument("MIX"), optional)]
    pub mix: Option<String>,
    /// Model to ask for instead of the mix's own
    #[bpaf(argument("NAME"), optional)]
    pub model: Option<String>,
    /// Plain service to call instead of the mix's own
    #[bpaf(argument("NAME"), optional)]
    pub service: Option<String>,
    /// Requests a second
    #[bpaf(argument("N"), fallback(50.0), display_fallback)]
    pub rate: f64,
    /// Seconds of load for each mix
    #[bpaf(argument("N"), fallback(20), display_fallback)]
    pub seconds: u64,
    /// Seed of the plan
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Address of a fake service, asked what reached it; may be given more
    /// than once. Name all of them, or lost calls are counted wrongly
    #[bpaf(argument("ADDR"), many)]
    pub seen: Vec<SocketAddr>,
    /// Print the figures as JSON
    pub json: bool,
    /// Draw time to first token over the run
    #[bpaf(argument("FILE.svg"), optional)]
    pub plot: Option<PathBuf>,
}

/// The parser of `lovageramp bench`.
#[must_use]
pub fn options() -> impl Parser<BenchOptions> {
    bench_options()
}

impl BenchOptions {
    /// Length of the load.
    pub(super) fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// The mixes to play, checked.
    pub(super) fn mixes(&self) -> eyre::Result<Vec<Mix>> {
        ensure!(
            self.rate > 0.0 && self.rate.is_finite(),
            "--rate must be above 0"
        );
        ensure!(!self.host.is_empty(), "name an entry: --host ip:port");
        ensure!(!self.key.is_empty(), "give a client account: --key KEY");
        let mut mixes = match self.mix.as_deref() {
            None => vec![Mix::association(), Mix::hotline()],
            Some("association") => vec![Mix::association()],
            Some("hotline") => vec![Mix::hotline()],
            Some(other) => bail!("unknown mix {other:?}, known are association and hotline"),
        };
        for mix in &mut mixes {
            if let Some(model) = &self.model {
                mix.model.clone_from(model);
            }
            if let Some(service) = &self.service {
                mix.service.clone_from(service);
            }
        }
        Ok(mixes)
    }
}
