//! State shared by the tasks of an agent.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use node::Follower;
use note::Catalogue;
use route::{Rest, rest_end};
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
    /// The rest for which the target has asked.
    pub rest: Mutex<Rest>,
    /// Stops the agent.
    pub stop: CancellationToken,
    /// Cancelled and replaced to close all open links while the agent goes on.
    pub link_cancel: watch::Sender<CancellationToken>,
}

impl Context {
    pub fn lease(&self, now: Instant) -> Lease {
        if self.follower.leased(now) {
            Lease::Live
        } else {
            Lease::Expired
        }
    }

    /// Whether the target takes a request now. If so, the request is recorded.
    pub fn begin_request(&self, now: Instant) -> bool {
        let mut rest = self.rest();
        let admits = rest.admits(now);
        if admits {
            rest.record_request(now);
        }
        admits
    }

    /// Records whether the target asks for rest in its answer to a request sent at `sent`.
    pub fn record_head(&self, asked: Option<Duration>, sent: Instant, now: Instant) {
        let Some(asked) = asked else {
            self.rest().record_accepted(sent);
            return;
        };
        self.rest().extend(rest_end(asked, rand::random(), now));
        log::info!(
            target = self.cfg.name.as_str(), rest_ms:display = asked.as_millis();
            "target asks for rest"
        );
    }

    /// Records the end of a request that was sent at `sent`.
    pub fn record_end(&self, sent: Instant) {
        self.rest().record_end(sent);
    }

    fn rest(&self) -> MutexGuard<'_, Rest> {
        // Code that holds the lock cannot leave the state inconsistent.
        self.rest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the instance of the target that answers; empty if unknown.
    pub fn set_instance(&self, instance: String) {
        self.status.send_if_modified(|status| {
            if status.instance != instance {
                // Another incarnation has asked for nothing yet.
                *self.rest() = Rest::default();
            }
            status.instance = instance;
            // Not a change that is reported to entries.
            false
        });
    }

    pub fn health(&self) -> Health {
        self.status.borrow().health
    }

    /// Whether the agent is serving, or leaving because of a shutdown or a drain
    /// by an operator.
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

    /// Whether the release note in force offers this target for the requested work.
    pub fn offered(&self, catalogue: &Catalogue, requested: &RequestedWork<'_>) -> Offered {
        let Some(target) = catalogue.target(&self.cfg.name) else {
            return Offered::No;
        };
        let group_or_service = self.cfg.group_or_service.as_str();
        let offered = match self.cfg.kind {
            TargetKind::Engine => {
                let group = catalogue.group(group_or_service);
                target.group() == Some(group_or_service)
                    && requested.group == group_or_service
                    && group.is_some_and(|group| group.model == requested.model)
            }
            TargetKind::Service => {
                target.service() == Some(group_or_service)
                    && requested.service == group_or_service
                    && catalogue.service(group_or_service).is_some()
            }
        };
        if offered { Offered::Yes } else { Offered::No }
    }
}

/// The work that an attempt requests.
pub(crate) struct RequestedWork<'a> {
    pub group: &'a str,
    pub service: &'a str,
    pub model: &'a str,
}
