//! Options of `lovageramp bench`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Bpaf, Parser};

use super::account::Account;
use super::mix::Mix;
use crate::standalone::{DEMO_KEY, Deployment};

/// More than one process can send.
const MOST_RATE: f64 = 100_000.0;

/// Options of `lovageramp bench`
#[derive(Bpaf, Clone, Debug)]
pub struct BenchOptions {
    /// An entry's address, ip:port; may be given more than once. The address
    /// list is asked of them, as callers do. Without it a system of both users'
    /// size is started in this process
    #[bpaf(argument("ADDR"), many)]
    pub host: Vec<SocketAddr>,
    /// Bearer key of a client account, with *N for N times the load of the
    /// others; may be given more than once
    #[bpaf(argument("KEY[*N]"), many)]
    pub key: Vec<Account>,
    /// association or hotline; both, one after the other, without
    #[bpaf(argument("MIX"), many)]
    pub mix: Vec<Mix>,
    /// Model to ask for instead of the mix's own
    #[bpaf(argument("NAME"), optional)]
    pub model: Option<String>,
    /// Plain service to call instead of the mix's own
    #[bpaf(argument("NAME"), optional)]
    pub service: Option<String>,
    /// Requests a second
    #[bpaf(
        argument("N"),
        guard(is_rate, "must be above 0 and at most 100000"),
        fallback(50.0),
        display_fallback
    )]
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

    /// The mixes to play.
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

    /// The same load for a system in this process.
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

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "bpaf hands out a reference"
)]
fn is_rate(rate: &f64) -> bool {
    *rate > 0.0 && *rate <= MOST_RATE
}
