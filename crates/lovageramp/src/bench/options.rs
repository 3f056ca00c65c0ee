//! Options of `lovageramp bench`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Bpaf, Parser};

use super::account::Account;
use super::mix::Mix;
use crate::standalone::{DEMO_KEY, Deployment};

/// Highest rate in requests per second; more than one process can send.
const MAX_RATE: f64 = 100_000.0;

/// Options of `lovageramp bench`
#[derive(Bpaf, Clone, Debug)]
pub struct BenchOptions {
    /// Address of an entry, ip:port; may be given more than once. The list of
    /// entries is requested from them, as callers do. Without it, a system with
    /// 16 engines and 3 services is started in this process
    #[bpaf(argument("ADDR"), many)]
    pub host: Vec<SocketAddr>,
    /// Bearer key of a client account, with *N for N times the load of an account
    /// without it; may be given more than once
    #[bpaf(argument("KEY[*N]"), many)]
    pub key: Vec<Account>,
    /// association or hotline; by default both, one after the other
    #[bpaf(argument("MIX"), many)]
    pub mix: Vec<Mix>,
    /// Model to request instead of the default of the mix
    #[bpaf(argument("NAME"), optional)]
    pub model: Option<String>,
    /// Plain service to call instead of the default of the mix
    #[bpaf(argument("NAME"), optional)]
    pub service: Option<String>,
    /// Requests per second
    #[bpaf(
        argument("N"),
        guard(is_valid_rate, "must be above 0 and at most 100000"),
        fallback(50.0),
        display_fallback
    )]
    pub rate: f64,
    /// Duration of the load for each mix in seconds
    #[bpaf(argument("N"), fallback(20), display_fallback)]
    pub seconds: u64,
    /// Seed of the random request plan
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Address of a fake service whose request counts are checked; may be given
    /// more than once. Give all of them, otherwise calls are counted as lost
    #[bpaf(argument("ADDR"), many)]
    pub seen: Vec<SocketAddr>,
    /// Print the report as JSON
    pub json: bool,
    /// Plot the time to first token over the run
    #[bpaf(argument("FILE.svg"), optional)]
    pub plot: Option<PathBuf>,
}

/// Parser of the options of `lovageramp bench`.
#[must_use]
pub fn options() -> impl Parser<BenchOptions> {
    bench_options()
}

impl BenchOptions {
    /// Duration of the load for each mix.
    pub(super) fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// Request mixes to run, with the overrides of the options applied.
    pub(super) fn mixes(&self) -> Vec<Mix> {
        let mut mixes = self.mix.clone();
        if mixes.is_empty() {
            mixes = vec![Mix::association(), Mix::hotline()];
        }
        for mix in &mut mixes {
            if let Some(model) = &self.model {
                mix.model.clone_from(model);
            }
            if let Some(service) = &self.service {
                mix.service.clone_from(service);
            }
        }
        mixes
    }

    /// Adapts the options to a deployment in this process.
    pub(super) fn for_deployment(mut self, deployment: &Deployment) -> Self {
        self.host = vec![deployment.entry_address()];
        self.key = vec![Account {
            key: DEMO_KEY.to_owned(),
            weight: 1,
        }];
        self.seen = deployment.service_addresses();
        let association = Mix::association();
        self.model = Some(association.model);
        self.service = Some(association.service);
        self
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "bpaf passes a reference")]
fn is_valid_rate(rate: &f64) -> bool {
    *rate > 0.0 && *rate <= MAX_RATE
}
