//! What the parts of an agent share.

use std::time::Instant;

use node::Follower;
use note::Catalogue;
use tokio::sync::{broadcast, watch};
use tokio_util::sync::CancellationToken;
use wire::proto::{CacheEvents, Role};

use crate::engine::{TargetClient, TargetKind};
use crate::metrics::Metrics;
use crate::status::Status;
use crate::{Health, Lease, Offered, Phase, Settings};

pub(crate) struct Context {
    pub cfg: Settings,
    pub incarnation: u64,
    pub follower: Follower,
    pub target_client: TargetClient,
    pub metrics: Metrics,
    pub phase: watch::Sender<Phase>,
    pub status: watch::Sender<Status>,
    pub cache: broadcast::Sender<CacheEvents>,
    /// Ends everything.
    pub stop: CancellationToken,
    /// Ends the links that are up, but not the agent.
    pub cut: watch::Sender<CancellationToken>,
}

impl Context {
    pub fn lease(&self, now: Instant) -> Lease {
        if self.follower.leased(now) {
            Lease::Live
        } else {
            Lease::Over
        }
    }

    /// Notes which instance of the target answers, or that it isn't known.
    pub fn know_instance(&self, instance: String) {
        self.status.send_if_modified(|status| {
            status.instance = instance;
            // Entries aren't told.
            false
        });
    }

    pub fn health(&self) -> Health {
        self.status.borrow().health
    }

    /// Whether the agent is leaving by itself or was drained by an operator.
    pub fn phase(&self) -> Phase {
        let own = *self.phase.borrow();
        if own == Phase::Leaving {
            return own;
        }
        let view = self.follower.view();
        let drained = view
            .nodes
            .iter()
            .any(|node| node.role() == Role::Agent && node.name == self.cfg.name && node.leaving);
        if drained {
            Phase::Leaving
        } else {
            Phase::Serving
        }
    }

    /// Whether the note in force offers this target for what an attempt asks.
    pub fn offered(&self, catalogue: &Catalogue, wanted: &Wanted<'_>) -> Offered {
        let Some(target) = catalogue.target(&self.cfg.name) else {
            return Offered::No;
        };
        let serves = self.cfg.serves.as_str();
        let offered = match self.cfg.kind {
            TargetKind::Engine => {
                let group = catalogue.group(serves);
                target.group() == Some(serves)
                    && wanted.group == serves
                    && group.is_some_and(|group| group.model == wanted.model)
            }
            TargetKind::Service => {
                target.service() == Some(serves)
                    && wanted.service == serves
                    && catalogue.service(serves).is_some()
            }
        };
        if offered { Offered::Yes } else { Offered::No }
    }
}

/// What an attempt asks for.
pub(crate) struct Wanted<'a> {
    pub group: &'a str,
    pub service: &'a str,
    pub model: &'a str,
}
