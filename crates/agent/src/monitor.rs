//! The actor that polls the target.

use std::sync::Arc;
use std::time::Instant;

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::task::JoinHandle;
use wire::proto::{Announcement, CacheEvents};

use crate::Health;
use crate::context::Context;
use crate::engine::{Failure, Load, Profile, TargetKind};

/// Consecutive failed polls after which the target counts as down.
const MAX_MISSES: u32 = 2;

/// Load polls between two queries of the profile.
const POLLS_PER_PROFILE: u32 = 10;

/// Polls the target for load, cache changes and its profile.
pub(crate) struct Monitor;

/// Poll the target now.
pub(crate) struct Poll;

/// State of [`Monitor`].
pub(crate) struct MonitorState {
    cx: Arc<Context>,
    misses: u32,
    profile: Option<Profile>,
    /// Polls since the profile was last read.
    profile_age: u32,
    cache_sequence: u64,
    ticker: JoinHandle<()>,
}

impl Actor for Monitor {
    type Msg = Poll;
    type State = MonitorState;
    type Arguments = Arc<Context>;

    async fn pre_start(
        &self,
        myself: ActorRef<Poll>,
        cx: Arc<Context>,
    ) -> Result<MonitorState, ActorProcessingErr> {
        Ok(MonitorState {
            misses: 0,
            profile: None,
            profile_age: 0,
            cache_sequence: 0,
            ticker: tokio::spawn(send_ticks(myself, Arc::clone(&cx))),
            cx,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Poll>,
        _poll: Poll,
        state: &mut MonitorState,
    ) -> Result<(), ActorProcessingErr> {
        state.poll().await;
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Poll>,
        state: &mut MonitorState,
    ) -> Result<(), ActorProcessingErr> {
        state.ticker.abort();
        Ok(())
    }
}

async fn send_ticks(monitor: ActorRef<Poll>, cx: Arc<Context>) {
    let mut ticks = tokio::time::interval(cx.cfg.timing.poll_interval);
    // Polls of a target that is slow to answer must not pile up.
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if monitor.send_message(Poll).is_err() {
            return;
        }
    }
}

impl MonitorState {
    async fn poll(&mut self) {
        let started = Instant::now();
        self.cx.target_client.evict_idle(started);
        match self.query_load().await {
            Ok(load) => {
                self.misses = 0;
                self.publish(load, Health::Up, started);
                self.publish_cache_changes().await;
            }
            Err(failure) => self.record_miss(&failure, started),
        }
    }

    /// Reads the load, and from time to time the profile. Without a profile an
    /// engine can't be offered, so a failure to read it fails the poll.
    async fn query_load(&mut self) -> Result<Load, Failure> {
        let load = self.cx.target_client.load().await?;
        let instance_unknown = self.cx.status.borrow().instance.is_empty();
        if instance_unknown || self.profile_age >= POLLS_PER_PROFILE || self.profile.is_none() {
            let profile = match self.cx.target_client.kind() {
                TargetKind::Engine => self.cx.target_client.profile().await?,
                TargetKind::Service => Profile::default(),
            };
            self.update_profile(profile);
        }
        self.profile_age += 1;
        Ok(load)
    }

    /// Stores a profile and announces it if it changed: a target may have loaded
    /// another model or adapter, or may have been restarted between two polls.
    fn update_profile(&mut self, profile: Profile) {
        self.profile_age = 0;
        self.cx.set_instance(profile.instance.clone());
        if self.profile.as_ref() == Some(&profile) {
            return;
        }
        let previous = self.profile.as_ref().map(|profile| &profile.instance);
        if previous != Some(&profile.instance) {
            self.cache_sequence = 0;
            self.cx.target_client.clear_pool();
        }
        self.profile = Some(profile);
        self.announce(Health::Up);
    }

    /// Counts a failed poll. A target that refuses connections is down at once; one
    /// that is slow to answer is down after [`MAX_MISSES`] failed polls.
    fn record_miss(&mut self, failure: &Failure, started: Instant) {
        self.misses += 1;
        // A connection to a previous instance that breaks later would be taken for
        // a crash of the present one.
        self.cx.target_client.clear_pool();
        if self.misses < MAX_MISSES && !matches!(failure, Failure::NotRun(_)) {
            return;
        }
        if self.cx.health() == Health::Up {
            log::warn!("target is down: {failure}");
        }
        // The next answer may come from another instance.
        self.profile = None;
        self.publish(Load::default(), Health::Down, started);
    }

    fn publish(&mut self, load: Load, health: Health, measured_at: Instant) {
        let before = self.cx.health();
        self.cx.status.send_if_modified(|status| {
            let unchanged = status.load == load && status.health == health;
            status.measured_at = measured_at;
            if unchanged {
                return false;
            }
            status.sequence += 1;
            status.load = load;
            status.health = health;
            true
        });
        self.cx.metrics.healthy.set((health == Health::Up).into());
        if before != health {
            self.announce(health);
        }
    }

    fn announce(&self, health: Health) {
        let profile = self.profile.clone().unwrap_or_default();
        let cfg = &self.cx.cfg;
        let (group, service) = match cfg.kind {
            TargetKind::Engine => (cfg.group_or_service.clone(), String::new()),
            TargetKind::Service => (String::new(), cfg.group_or_service.clone()),
        };
        self.cx.follower.set_announcement(Announcement {
            target: cfg.name.clone(),
            group,
            service,
            ranks: profile.ranks,
            models: profile.models,
            adapters: profile.adapters,
            versions: profile.versions,
            can_resume: profile.resume,
            can_cancel: profile.cancel,
            has_priority: profile.priority,
            checks_fencing: profile.checks_fencing,
            exports_kv: profile.exports_kv,
            healthy: health == Health::Up,
        });
    }

    async fn publish_cache_changes(&mut self) {
        if self.cx.target_client.kind() != TargetKind::Engine {
            return;
        }
        let Ok(changes) = self.cx.target_client.cache(self.cache_sequence).await else {
            return;
        };
        if changes.sequence == self.cache_sequence {
            return;
        }
        self.cache_sequence = changes.sequence;
        // Fails only while no entry is connected.
        let _ = self.cx.cache.send(CacheEvents {
            sequence: changes.sequence,
            stored: changes.stored,
            evicted: changes.evicted,
        });
    }
}
