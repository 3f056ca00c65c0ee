//! The actor that watches the target.

use std::sync::Arc;
use std::time::Instant;

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::task::JoinHandle;
use wire::proto::{Announcement, CacheEvents};

use crate::Health;
use crate::context::Context;
use crate::engine::{Failure, Load, Profile, TargetKind};

/// Looks in a row that a target may leave unanswered.
const MISSES: u32 = 2;

/// Looks at the load between two at what the target is.
const PROFILE_LOOKS: u32 = 10;

/// Asks the target for load, cache changes and what it can do.
pub(crate) struct Monitor;

/// Look at the target now.
pub(crate) struct Look;

/// What the monitor keeps.
pub(crate) struct Watch {
    cx: Arc<Context>,
    misses: u32,
    profile: Option<Profile>,
    /// Looks since the profile was asked for.
    profile_age: u32,
    cache_sequence: u64,
    clock: JoinHandle<()>,
}

impl Actor for Monitor {
    type Msg = Look;
    type State = Watch;
    type Arguments = Arc<Context>;

    async fn pre_start(
        &self,
        myself: ActorRef<Look>,
        cx: Arc<Context>,
    ) -> Result<Watch, ActorProcessingErr> {
        Ok(Watch {
            misses: 0,
            profile: None,
            profile_age: 0,
            cache_sequence: 0,
            clock: tokio::spawn(keep_time(myself, Arc::clone(&cx))),
            cx,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Look>,
        _look: Look,
        watch: &mut Watch,
    ) -> Result<(), ActorProcessingErr> {
        watch.look().await;
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Look>,
        watch: &mut Watch,
    ) -> Result<(), ActorProcessingErr> {
        watch.clock.abort();
        Ok(())
    }
}

async fn keep_time(monitor: ActorRef<Look>, cx: Arc<Context>) {
    let mut ticks = tokio::time::interval(cx.cfg.timing.poll);
    // A target that is slow to answer must not be asked several times at once.
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if monitor.send_message(Look).is_err() {
            return;
        }
    }
}

impl Watch {
    async fn look(&mut self) {
        let asked = Instant::now();
        self.cx.target_client.evict_idle(asked);
        match self.ask().await {
            Ok(load) => {
                self.misses = 0;
                self.publish(load, Health::Up, asked);
                self.pass_on_cache().await;
            }
            Err(failure) => self.miss(&failure, asked),
        }
    }

    /// An engine that doesn't say what it is can't be offered either.
    async fn ask(&mut self) -> Result<Load, Failure> {
        let load = self.cx.target_client.load().await?;
        let unknown = self.cx.status.borrow().instance.is_empty();
        if unknown || self.profile_age >= PROFILE_LOOKS || self.profile.is_none() {
            let profile = match self.cx.target_client.kind() {
                TargetKind::Engine => self.cx.target_client.profile().await?,
                TargetKind::Service => Profile::default(),
            };
            self.take_profile(profile);
        }
        self.profile_age += 1;
        Ok(load)
    }

    /// A target may load another model or adapter, or be another instance that
    /// was started again between two looks.
    fn take_profile(&mut self, profile: Profile) {
        self.profile_age = 0;
        self.cx.know_instance(profile.instance.clone());
        if self.profile.as_ref() == Some(&profile) {
            return;
        }
        let former = self.profile.as_ref().map(|profile| &profile.instance);
        if former != Some(&profile.instance) {
            self.cache_sequence = 0;
            self.cx.target_client.clear_pool();
        }
        self.profile = Some(profile);
        self.announce(Health::Up);
    }

    /// A target that refuses connections is down at once; one that is merely
    /// slow to answer is given another look.
    fn miss(&mut self, failure: &Failure, asked: Instant) {
        self.misses += 1;
        // What breaks on a connection to a former instance would be taken for
        // a crash of the one that follows.
        self.cx.target_client.clear_pool();
        if self.misses < MISSES && !matches!(failure, Failure::NotRun(_)) {
            return;
        }
        if self.cx.health() == Health::Up {
            log::warn!("the target doesn't answer: {failure}");
        }
        // Whatever answers next may be another instance.
        self.profile = None;
        self.publish(Load::default(), Health::Down, asked);
    }

    fn publish(&mut self, load: Load, health: Health, taken: Instant) {
        let before = self.cx.health();
        self.cx.status.send_if_modified(|status| {
            let same = status.load == load && status.health == health;
            status.taken = taken;
            if same {
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
            TargetKind::Engine => (cfg.serves.clone(), String::new()),
            TargetKind::Service => (String::new(), cfg.serves.clone()),
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

    async fn pass_on_cache(&mut self) {
        if self.cx.target_client.kind() != TargetKind::Engine {
            return;
        }
        let Ok(change) = self.cx.target_client.cache(self.cache_sequence).await else {
            return;
        };
        if change.sequence == self.cache_sequence {
            return;
        }
        self.cache_sequence = change.sequence;
        // Fails only while no entry is attached.
        let _ = self.cx.cache.send(CacheEvents {
            sequence: change.sequence,
            stored: change.stored,
            evicted: change.evicted,
        });
    }
}
