//! Lifecycle and message handling of the actor.

use super::answer::DISK_FULL;
use super::forming;
use super::{Msg, PendingCommands, PendingReads, ReplicaState, Request, TableQueue};
use crate::cluster_formation::ClusterFormation;
use crate::codec;
use crate::disk::{self, Fullness, Report, SaveResult};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::published_table::PublishedTable;
use crate::replicas::Replicas;
use crate::reply::{MayCommit, unavailable};
use crate::settings::Settings;
use crate::state_machine::StateMachine;
use quorum::{Config, DiskId, Members, Message, MessageBody, Node, Peer, PersistedState};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::time::Instant;
use store::{Disk, Recovered};
use tokio::sync::watch;
use tokio_util::sync::DropGuard;
use wire::proto::{Evacuations, Quarantine};

/// Actor that runs one replica.
pub(crate) struct Replica;

/// Arguments of the actor.
pub(crate) struct Start {
    pub(crate) settings: Settings,
    pub(crate) disk: Disk,
    pub(crate) recovered: Recovered,
    pub(crate) metrics: Metrics,
    pub(crate) table: watch::Sender<PublishedTable>,
    pub(crate) evacuations: watch::Sender<Evacuations>,
    pub(crate) quarantine: watch::Sender<Quarantine>,
    pub(crate) replicas: watch::Sender<Replicas>,
    /// Dropped once the disk is closed.
    pub(crate) disk_closed: DropGuard,
}

impl Actor for Replica {
    type Msg = Msg;
    type State = ReplicaState;
    type Arguments = Start;

    async fn pre_start(
        &self,
        myself: ActorRef<Msg>,
        start: Start,
    ) -> Result<ReplicaState, ActorProcessingErr> {
        let now = Instant::now();
        let mut state = ReplicaState::new(start, &myself, now)?;
        state.process_ready(now);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Msg>,
        msg: Msg,
        state: &mut ReplicaState,
    ) -> Result<(), ActorProcessingErr> {
        let now = Instant::now();
        match msg {
            Msg::ProcessReady => {
                state.processing_scheduled = false;
                state.process_ready(now);
            }
            msg => {
                state.handle_message(msg, now);
                state.schedule_processing(&myself)?;
            }
        }
        if let Some(reason) = state.failed.clone() {
            log::error!("replica stops: {reason}");
            state.fail_commands(&reason);
            myself.stop(Some(reason));
        }
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Msg>,
        state: &mut ReplicaState,
    ) -> Result<(), ActorProcessingErr> {
        state.fail_commands("this replica stops");
        Ok(())
    }
}

impl ReplicaState {
    fn new(start: Start, myself: &ActorRef<Msg>, now: Instant) -> eyre::Result<ReplicaState> {
        let Start {
            settings,
            disk,
            recovered,
            metrics,
            table,
            evacuations,
            quarantine,
            replicas,
            disk_closed,
        } = start;
        let id = DiskId(recovered.identity.disk);
        let stored = recovered.snapshot.map(codec::snapshot).transpose()?;
        let records = recovered.records.into_iter();
        let entries = records.map(codec::recorded_entry);
        let restored = PersistedState {
            hard_state: codec::hard_state(recovered.hard_state),
            snapshot: stored,
            entries: entries.collect::<eyre::Result<_>>()?,
        };
        let cfg = Config {
            heartbeat_interval: settings.timing.heartbeat_interval,
            election_timeout: settings.timing.election_timeout,
            voter_replacement: settings
                .forming
                .as_ref()
                .map(ClusterFormation::voter_replacement),
            ..Config::default()
        };
        let node = Node::new(id, cfg, rand::random(), restored, now);
        Ok(ReplicaState {
            disk_jobs: disk::spawn(disk, myself.clone(), disk_closed)?,
            settings,
            node,
            state_machine: StateMachine::default(),
            applied: 0,
            fullness: Fullness::Room,
            peers: Peers::default(),
            nodes: Vec::new(),
            node_leases: None,
            lag_tracker: None,
            clock: None,
            metrics,
            table,
            evacuations,
            quarantine,
            replicas,
            published_members: Members::default(),
            commands: PendingCommands::default(),
            tables: TableQueue::default(),
            reads: PendingReads::default(),
            unsaved_bytes: 0,
            saving: None,
            join_at: now,
            report_waiting_at: now + forming::LOG_INTERVAL,
            last_evacuation: 0,
            limits_proposed_in_term: None,
            processing_scheduled: false,
            failed: None,
        })
    }

    /// Schedules [`ReplicaState::process_ready`] behind the messages already in the mailbox, so
    /// that the commands of many callers share one write and one message per replica.
    fn schedule_processing(&mut self, myself: &ActorRef<Msg>) -> Result<(), ActorProcessingErr> {
        if !self.processing_scheduled {
            self.processing_scheduled = true;
            myself.cast(Msg::ProcessReady)?;
        }
        Ok(())
    }

    fn handle_message(&mut self, msg: Msg, now: Instant) {
        match msg {
            Msg::ProcessReady => {}
            Msg::Tick => self.tick(now),
            Msg::Peer(message, knows_compressed) => {
                self.peers.set_compression(message.from, knows_compressed);
                self.node.step(*message, now);
            }
            Msg::PeerConnected(id, direction, link) => {
                self.peers.insert(id, direction, link);
                self.join_at = now;
            }
            Msg::PeerDisconnected(id) => self.peers.remove_closed(id),
            Msg::Disk(report) => self.handle_disk_report(report, now),
            Msg::NodeConnected(link) => {
                self.nodes.retain(|link| !link.is_closed());
                self.nodes.push(link);
            }
            Msg::Request(request, _permit) => self.handle_request(*request, now),
            Msg::Status(tx) => {
                // The requester may have timed out.
                let _ = tx.send(self.status(now));
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.node.tick(now);
        let commit_timeout = self.settings.timing.commit_timeout;
        self.commands.expire(now, commit_timeout);
        self.tables.expire(now, commit_timeout);
        if let Some(node_leases) = &mut self.node_leases {
            node_leases.expire(now);
        }
        let status = self.node.status(now);
        if let Some(lag_tracker) = &mut self.lag_tracker {
            lag_tracker.record_commit(status.commit_index, now);
        }
        self.update_metrics(&status, now);
        self.report_tolerated_losses(&status);
        self.propose_ledger_limits(now);
        self.report_waiting(now);
        let should_join = self.node.should_join(now) || self.has_outdated_peer();
        if now >= self.join_at && should_join {
            self.join_at = now + self.settings.timing.election_timeout;
            let mut ids = self.peers.ids();
            ids.insert(self.node.id());
            for id in ids {
                self.send_join(id, now);
            }
        }
    }

    /// Returns whether the members have another name or address of this replica than its
    /// settings.
    fn has_outdated_peer(&self) -> bool {
        let known = self.node.members().peer(self.node.id());
        known.is_some_and(|peer| *peer != self.own_peer())
    }

    fn own_peer(&self) -> Peer {
        let address = self.settings.advertised().to_string();
        Peer::new(&self.settings.name, &address)
    }

    /// Sends a request to join the cluster, or to update this replica's name and address.
    /// The receiver may be this replica, if it leads.
    fn send_join(&mut self, to: DiskId, now: Instant) {
        let peer = self.own_peer();
        let id = self.node.id();
        let message = Message {
            from: id,
            to,
            term: 0,
            body: MessageBody::Join { id, peer },
        };
        if to == id {
            return self.node.step(message, now);
        }
        self.peers.send(message, self.node.members());
    }

    fn handle_disk_report(&mut self, report: Report, now: Instant) {
        match report {
            Report::Persisted(number) => self.node.persisted(number, now),
            Report::Saved(index, result) => {
                let saved = self.saving.take().filter(|s| s.index == index);
                if let Some(snapshot) = saved.filter(|_| result == SaveResult::Saved) {
                    self.node.compact(snapshot);
                }
            }
            Report::Full(fullness) => {
                if fullness != self.fullness {
                    let folder = self.settings.data.display();
                    log::warn!("free space on the disk of {folder}: {fullness:?}");
                }
                self.fullness = fullness;
                if fullness == Fullness::Full {
                    self.commands.fail_all_lasting(DISK_FULL);
                    self.tables.fail_all_lasting(DISK_FULL);
                }
            }
            Report::Failed(reason) => self.failed = Some(reason),
        }
    }

    fn handle_request(&mut self, request: Request, now: Instant) {
        match request {
            Request::Renew(renew, reply) => self.renew(*renew, reply, now),
            Request::RenewBatch(batch, reply) => self.renew_batch(batch, reply, now),
            Request::Notes(fetch, reply) => self.fetch_notes(fetch, reply),
            Request::Propose(propose, reply) => match propose.command {
                Some(command) => self.propose(command, reply, now),
                None => reply.send(unavailable("no command", MayCommit::No)),
            },
            Request::Query(query, reply) => self.query(query, reply),
        }
    }
}
