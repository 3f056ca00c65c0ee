//! Handle to the state that a node receives from control.

use crate::leader_call::{Unanswered, call_leader, notify_any_replica, pause_before_retry};
use crate::renewal_relay;
use crate::renewer::{Renewer, renew};
use crate::replica_addresses::ControlAddresses;
use crate::route_tables::table_of_any_replica;
use crate::settings::FollowerSettings;
use crate::shared::{QuotaShares, Shared};
use member::TargetSpeed;
use note::Catalogue;
use ractor::ActorRuntime;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::DropGuard;
use tokio_util::task::AbortOnDropHandle;
use wire::proto::frame::Body;
use wire::proto::{
    AccountUse, Announcement, Command, MemberView, NodeInfo, Outcome, Propose, Quarantine, Query,
    QueryReply, RouteTable, Sightings, Unavailable, command, outcome, query,
};
use wire::{Error, Identity, Incoming, Link, Result, redial, target_speed_to_proto};

/// Interval at which a node that needs a route table looks whether it has a relay yet.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// When callers should retry after control could not be reached.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Follows the state of control. Clones share one state; dropping the last one ends the
/// tasks.
#[derive(Clone)]
pub struct Follower {
    shared: Arc<Shared>,
    _running: Arc<DropGuard>,
}

impl Follower {
    /// Starts to follow control on the current runtime.
    ///
    /// `info` is what the node reports about itself with each renewal.
    #[must_use]
    pub fn spawn(me: Identity, info: NodeInfo, cfg: FollowerSettings) -> Follower {
        let shared = Arc::new(Shared::new(me, info, cfg));
        let stop = shared.stop.clone();
        let seeds = match shared.cfg.controls.clone() {
            ControlAddresses::All(all) => watch::Sender::new(all).subscribe(),
            ControlAddresses::Seeds(seeds) => seeds,
        };
        let linking = maintain_links(Arc::clone(&shared), seeds);
        tokio::spawn(stop.clone().run_until_cancelled_owned(linking));
        match ActorRuntime::spawn_instant(None, Renewer, Arc::clone(&shared)) {
            Ok((renewer, _)) => {
                let stopped = stop.clone();
                tokio::spawn(async move {
                    stopped.cancelled().await;
                    renewer.stop(None);
                });
            }
            Err(err) => log::error!("cannot start the renewal of the lease: {err}"),
        }
        Follower {
            shared,
            _running: Arc::new(stop.drop_guard()),
        }
    }

    /// Everything that the release note in use at this node offers.
    #[must_use]
    pub fn catalogue(&self) -> Arc<Catalogue> {
        self.shared.catalogue()
    }

    /// Whether this node may accept new work at `now`.
    #[must_use]
    pub fn leased(&self, now: Instant) -> bool {
        self.shared.leased(now)
    }

    /// The live nodes as known to this node.
    #[must_use]
    pub fn view(&self) -> Arc<MemberView> {
        self.shared.view()
    }

    /// The requests that are quarantined for crashing targets.
    #[must_use]
    pub fn quarantine(&self) -> Arc<Quarantine> {
        self.shared.quarantine()
    }

    /// Subscribes to a counter of the changes of the follower's state.
    #[must_use]
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.shared.changed()
    }

    /// Tells control whether this node has stopped accepting new work.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.announce(|info| info.leaving = leaving);
    }

    /// Announces the target of this agent to control.
    pub fn set_announcement(&self, target: Announcement) {
        self.shared.announce(|info| info.target = Some(target));
    }

    /// Sets the usage of account quotas by this entry's callers, which is reported to
    /// control with each renewal.
    pub fn set_account_usage(&self, usage: Vec<AccountUse>) {
        self.shared.set_account_usage(usage);
    }

    /// The shares of account quotas that this entry may hand out.
    #[must_use]
    pub fn quota_shares(&self) -> Arc<QuotaShares> {
        self.shared.quota_shares()
    }

    /// Name of the relay that this node renews through, if any.
    #[must_use]
    pub fn renewal_relay(&self) -> Option<String> {
        self.shared.relay_link.name()
    }

    /// Forwards the renewals of another node in the availability zone and answers its
    /// requests for release notes. Other messages are ignored.
    pub fn relay(&self, incoming: Incoming) {
        renewal_relay::handle(&self.shared, incoming);
    }

    /// Renews now and fetches the newest release note. Returns when that has succeeded or
    /// failed.
    pub async fn refresh(&self) {
        renew(&self.shared).await;
    }

    /// Commits a command to the durable state.
    ///
    /// Commands are idempotent, so the command is sent again after a lost answer, until
    /// `within` has passed. In an `Unavailable` outcome, `maybe` tells whether the
    /// command may still be committed.
    pub async fn propose(&self, command: command::Body, within: Duration) -> Outcome {
        self.propose_while(command, within, |_| true).await
    }

    /// Like [`Follower::propose`], but returns at once if control reports that an early
    /// retry is pointless, for example because the leader's disk is full. The waiting
    /// caller then learns without delay when to retry.
    pub async fn propose_fail_fast(&self, command: command::Body, within: Duration) -> Outcome {
        let is_transient = |answer: &Unavailable| !answer.lasting;
        self.propose_while(command, within, is_transient).await
    }

    async fn propose_while(
        &self,
        command: command::Body,
        within: Duration,
        should_retry: impl Fn(&Unavailable) -> bool,
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
            match call_leader(&self.shared, &request, left).await {
                Ok(Body::Outcome(outcome)) => match outcome.body {
                    Some(outcome::Body::Unavailable(answer)) => {
                        may_be_committed |= answer.maybe;
                        if left.is_zero() || !should_retry(&answer) {
                            return final_answer(answer, may_be_committed);
                        }
                        pause_before_retry().await;
                    }
                    _ => return outcome,
                },
                Ok(_) => {
                    return unavailable("unexpected answer".to_owned(), true);
                }
                Err(Unanswered { maybe_received }) => {
                    let reason = "no control replica answered in time".to_owned();
                    return unavailable(reason, may_be_committed | maybe_received);
                }
            }
        }
    }

    /// Reports the speed of the target on this node's host to any replica, which forwards
    /// it to the entries. Returns whether a replica confirmed it.
    pub async fn report_speed(&self, speed: TargetSpeed, within: Duration) -> bool {
        let report = Body::Sightings(Sightings {
            speeds: vec![target_speed_to_proto(&speed)],
            ..Sightings::default()
        });
        notify_any_replica(&self.shared, &report, within).await
    }

    /// Reads the route table of any replica, which may not be the newest; from the relay
    /// of this node, if it has one.
    ///
    /// When hundreds of nodes start together, the replicas would need seconds to send
    /// each of them a large table.
    ///
    /// # Errors
    ///
    /// Fails if no replica answers within `within` after the relay did not.
    pub async fn any_route_table(&self, within: Duration) -> Result<RouteTable> {
        let deadline = Instant::now() + within;
        while self.shared.named_relay().is_some() && Instant::now() < deadline {
            // The leader has named a relay, which is still being connected to.
            tokio::time::sleep(RELAY_POLL_INTERVAL).await;
        }
        let through_relay = self.shared.relay_link.route_table(within).await;
        match through_relay.filter(|table| table.number > 0) {
            Some(table) => Ok(table),
            None => table_of_any_replica(&self.shared, within).await,
        }
    }

    /// Reads the durable state as of the time of the call or later.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers within `within`.
    pub async fn query(&self, query: query::Body, within: Duration) -> Result<QueryReply> {
        let request = Body::Query(Query { body: Some(query) });
        match call_leader(&self.shared, &request, within).await {
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

/// Maintains links to the replicas in the settings and to those that replicas name.
async fn maintain_links(shared: Arc<Shared>, mut seeds: watch::Receiver<Vec<SocketAddr>>) {
    let mut links: BTreeMap<SocketAddr, AbortOnDropHandle<()>> = BTreeMap::new();
    let mut named = shared.control_links.named();
    loop {
        let mut wanted: BTreeSet<SocketAddr> = seeds.borrow_and_update().iter().copied().collect();
        wanted.extend(named.borrow_and_update().all());
        links.retain(|address, _| wanted.contains(address));
        for address in wanted {
            let spawn = || spawn_link(&shared, address);
            links.entry(address).or_insert_with(spawn);
        }
        tokio::select! {
            // The settings may no longer be read.
            Ok(()) = seeds.changed() => {}
            Ok(()) = named.changed() => {}
            else => return std::future::pending().await,
        }
    }
}

fn spawn_link(shared: &Arc<Shared>, address: SocketAddr) -> AbortOnDropHandle<()> {
    let linking = maintain_link(Arc::clone(shared), address);
    AbortOnDropHandle::new(tokio::spawn(linking))
}

async fn maintain_link(shared: Arc<Shared>, address: SocketAddr) {
    let mut wanted = shared.control_links.wanted();
    while wanted.wait_for(|wanted| *wanted).await.is_ok() {
        let (me, key) = (shared.me.clone(), shared.cfg.key.clone());
        let (cfg, served) = (shared.cfg.link.clone(), Arc::clone(&shared));
        let dialled = redial(address, me, key, cfg, move |link, rx| {
            serve(Arc::clone(&served), address, link, rx)
        });
        let released = async {
            // An error means that the follower was dropped.
            let _ = wanted.wait_for(|wanted| !*wanted).await;
        };
        tokio::select! {
            () = dialled => {}
            () = released => {}
        }
    }
}

async fn serve(
    shared: Arc<Shared>,
    address: SocketAddr,
    link: Link,
    mut rx: mpsc::Receiver<Incoming>,
) {
    let _open = OpenLink::new(Arc::clone(&shared), address, link);
    while let Some(incoming) = rx.recv().await {
        if shared.handle_hint(&incoming.body) {
            shared.renewal_relay.forward_hint(&incoming.body);
        }
    }
}

/// Registers a link until dropped, also if its task is aborted.
struct OpenLink {
    shared: Arc<Shared>,
    address: SocketAddr,
    link: Link,
}

impl OpenLink {
    fn new(shared: Arc<Shared>, address: SocketAddr, link: Link) -> OpenLink {
        shared.control_links.add(address, link.clone());
        OpenLink {
            shared,
            address,
            link,
        }
    }
}

impl Drop for OpenLink {
    fn drop(&mut self) {
        self.shared.control_links.remove(self.address, &self.link);
    }
}
