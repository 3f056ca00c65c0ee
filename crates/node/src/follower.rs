//! The handle on all that a node knows from control.

use crate::ask::{Unanswered, ask, pause, tell_any};
use crate::relayed;
use crate::renewer::{Renewer, renew};
use crate::settings::FollowerSettings;
use crate::shared::{Parts, Shared};
use member::TargetSpeed;
use note::Catalogue;
use ractor::ActorRuntime;
use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::DropGuard;
use wire::proto::frame::Body;
use wire::proto::{
    AccountUse, Announcement, Command, MemberView, NodeInfo, Outcome, Propose, Quarantine, Query,
    QueryReply, Sightings, Unavailable, command, outcome, query,
};
use wire::{Error, Identity, Incoming, Link, Result, redial, target_speed_to_proto};

/// When to come back after control could not be asked.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Follows control; clones share one state, and the last one to go ends the tasks.
#[derive(Clone)]
pub struct Follower {
    shared: Arc<Shared>,
    _running: Arc<DropGuard>,
}

impl Follower {
    /// Begins to follow control on the runtime that this is called on.
    ///
    /// `info` is what the node tells of itself with each renewal.
    #[must_use]
    pub fn spawn(me: Identity, info: NodeInfo, cfg: FollowerSettings) -> Follower {
        let shared = Arc::new(Shared::new(me, info, cfg));
        let stop = shared.stop.clone();
        for address in shared.cfg.controls.clone() {
            let keep = keep_link(Arc::clone(&shared), address);
            tokio::spawn(stop.clone().run_until_cancelled_owned(keep));
        }
        match ActorRuntime::spawn_instant(None, Renewer, Arc::clone(&shared)) {
            Ok((renewer, _)) => {
                let stopped = stop.clone();
                tokio::spawn(async move {
                    stopped.cancelled().await;
                    renewer.stop(None);
                });
            }
            Err(err) => log::error!("can't start renewing the lease: {err}"),
        }
        Follower {
            shared,
            _running: Arc::new(stop.drop_guard()),
        }
    }

    /// As [`Follower::spawn`], where the settings name a few replicas only: the
    /// leader is dialled where they tell that it answers, if it is another one.
    ///
    /// Where all are named, the addresses of the settings are the only ones that
    /// are dialled: those that replicas advertise may lead another way.
    #[must_use]
    pub fn spawn_from_seeds(me: Identity, info: NodeInfo, cfg: FollowerSettings) -> Follower {
        let follower = Follower::spawn(me, info, cfg);
        let shared = &follower.shared;
        let found = keep_found(Arc::clone(shared), shared.controls.found());
        tokio::spawn(shared.stop.clone().run_until_cancelled_owned(found));
        follower
    }

    /// All that is offered by the note in force at this node.
    #[must_use]
    pub fn catalogue(&self) -> Arc<Catalogue> {
        self.shared.catalogue()
    }

    /// True while this node may take new work.
    #[must_use]
    pub fn leased(&self, now: Instant) -> bool {
        self.shared.leased(now)
    }

    /// The nodes that live, as far as this node knows.
    #[must_use]
    pub fn view(&self) -> Arc<MemberView> {
        self.shared.view()
    }

    /// The requests that crash targets.
    #[must_use]
    pub fn quarantine(&self) -> Arc<Quarantine> {
        self.shared.quarantine()
    }

    /// Ticks at each change of what the follower holds.
    #[must_use]
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.shared.changed()
    }

    /// Tells control that this node takes no new work, or takes it again.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.announce(|info| info.leaving = leaving);
    }

    /// Tells control what stands behind this agent.
    pub fn set_announcement(&self, target: Announcement) {
        self.shared.announce(|info| info.target = Some(target));
    }

    /// Tells control what this entry's callers use of their accounts; it goes with each
    /// renewal.
    pub fn set_uses(&self, uses: Vec<AccountUse>) {
        self.shared.set_uses(uses);
    }

    /// The parts of accounts' limits that this entry may give out.
    #[must_use]
    pub fn parts(&self) -> Arc<Parts> {
        self.shared.parts()
    }

    /// Name of the node that this one renews through, if it does.
    #[must_use]
    pub fn renews_through(&self) -> Option<String> {
        self.shared.relay_link.name()
    }

    /// Passes on what another node of the availability zone sends: its renewals and
    /// its questions for notes. Others of its messages are passed over.
    pub fn relay(&self, incoming: Incoming) {
        relayed::take(&self.shared, incoming);
    }

    /// Asks for the newest note now, and returns when it was fetched or can't be.
    pub async fn refresh(&self) {
        renew(&self.shared).await;
    }

    /// Has a command committed to the durable state.
    ///
    /// Commands are idempotent, so it is sent again after a lost answer, until
    /// `within` is over. An outcome `Unavailable` tells in `maybe` whether the command
    /// may still be committed.
    pub async fn propose(&self, command: command::Body, within: Duration) -> Outcome {
        self.propose_while(command, within, |_| true).await
    }

    /// As [`Follower::propose`], but answers at once when control says that asking
    /// again soon is of no use, as while the leader's disk is full: whoever waits is
    /// told now when to come back.
    pub async fn propose_or_refuse(&self, command: command::Body, within: Duration) -> Outcome {
        let passes = |answer: &Unavailable| !answer.lasting;
        self.propose_while(command, within, passes).await
    }

    async fn propose_while(
        &self,
        command: command::Body,
        within: Duration,
        goes_on: impl Fn(&Unavailable) -> bool,
    ) -> Outcome {
        let command = Command {
            now_ms: 0,
            body: Some(command),
        };
        let request = Body::Propose(Propose {
            command: Some(command),
        });
        let deadline = Instant::now() + within;
        let mut may_be_committed = false;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match ask(&self.shared, &request, left).await {
                Ok(Body::Outcome(outcome)) => match outcome.body {
                    Some(outcome::Body::Unavailable(answer)) => {
                        may_be_committed |= answer.maybe;
                        if left.is_zero() || !goes_on(&answer) {
                            return final_answer(answer, may_be_committed);
                        }
                        pause().await;
                    }
                    _ => return outcome,
                },
                Ok(_) => {
                    return unavailable("unexpected answer".to_owned(), true);
                }
                Err(Unanswered { maybe }) => {
                    let reason = "no control replica answered in time".to_owned();
                    return unavailable(reason, may_be_committed | maybe);
                }
            }
        }
    }

    /// Reports how fast the target beside this node is; any replica passes it
    /// on to the entries. Whether one has taken it.
    pub async fn report_speed(&self, speed: TargetSpeed, within: Duration) -> bool {
        let report = Body::Sightings(Sightings {
            speeds: vec![target_speed_to_proto(&speed)],
            ..Sightings::default()
        });
        tell_any(&self.shared, &report, within).await
    }

    /// Reads the durable state, as of now or later.
    ///
    /// # Errors
    ///
    /// Fails when no leader answers within `within`.
    pub async fn query(&self, query: query::Body, within: Duration) -> Result<QueryReply> {
        let request = Body::Query(Query { body: Some(query) });
        match ask(&self.shared, &request, within).await {
            Ok(Body::QueryReply(reply)) => Ok(reply),
            Ok(_) => Err(Error::Protocol("unexpected answer".to_owned())),
            Err(_) => Err(Error::TimedOut),
        }
    }
}

fn unavailable(reason: String, maybe: bool) -> Outcome {
    let retry_after_ms = u32::try_from(RETRY_AFTER.as_millis()).unwrap_or(u32::MAX);
    let answer = Unavailable {
        reason,
        retry_after_ms,
        ..Unavailable::default()
    };
    final_answer(answer, maybe)
}

fn final_answer(mut answer: Unavailable, maybe: bool) -> Outcome {
    answer.maybe = maybe;
    Outcome {
        index: 0,
        body: Some(outcome::Body::Unavailable(answer)),
    }
}

/// Keeps links to replicas that were found beside those of the settings.
async fn keep_found(shared: Arc<Shared>, mut found: watch::Receiver<BTreeSet<SocketAddr>>) {
    let mut kept: BTreeSet<SocketAddr> = shared.cfg.controls.iter().copied().collect();
    loop {
        let all = found.borrow_and_update().clone();
        for address in all {
            if kept.insert(address) {
                let keep = keep_link(Arc::clone(&shared), address);
                tokio::spawn(shared.stop.clone().run_until_cancelled_owned(keep));
            }
        }
        if found.changed().await.is_err() {
            return;
        }
    }
}

async fn keep_link(shared: Arc<Shared>, address: SocketAddr) {
    let mut wanted = shared.controls.wanted();
    while wanted.wait_for(|wanted| *wanted).await.is_ok() {
        let (me, key) = (shared.me.clone(), shared.cfg.key.clone());
        let (cfg, served) = (shared.cfg.link.clone(), Arc::clone(&shared));
        let dialled = redial(address, me, key, cfg, move |link, rx| {
            serve(Arc::clone(&served), address, link, rx)
        });
        let released = async {
            // An error means that the follower is gone too.
            let _ = wanted.wait_for(|wanted| !*wanted).await;
        };
        tokio::select! {
            () = dialled => {}
            () = released => {}
        }
    }
}

fn serve(
    shared: Arc<Shared>,
    address: SocketAddr,
    link: Link,
    mut rx: mpsc::Receiver<Incoming>,
) -> impl Future<Output = ()> {
    shared.controls.add(address, link);
    async move {
        while let Some(incoming) = rx.recv().await {
            if shared.heed(&incoming.body) {
                shared.relayed.hint(&incoming.body);
            }
        }
        shared.controls.remove(address);
    }
}
