//! The actor's life and its mailbox.

use super::answer::DISK_FULL;
use super::{Ask, Commands, Msg, Reads, State};
use crate::codec;
use crate::disk::{self, Fullness, Report, SaveResult};
use crate::forming::Forming;
use crate::machine::Machine;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::recovered_table;
use crate::replicas::Replicas;
use crate::reply::{Commit, unavailable};
use crate::settings::Settings;
use quorum::{Config, DiskId, Members, Message, MessageBody, Node, Peer, PersistedState};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::time::Instant;
use store::{Disk, Recovered};
use tokio::sync::watch;
use tokio_util::sync::DropGuard;
use wire::proto::RouteTable;

/// Runs one replica.
pub(crate) struct Replica;

/// What the actor starts with.
pub(crate) struct Start {
    pub(crate) settings: Settings,
    pub(crate) disk: Disk,
    pub(crate) recovered: Recovered,
    pub(crate) metrics: Metrics,
    pub(crate) table: watch::Sender<RouteTable>,
    pub(crate) replicas: watch::Sender<Replicas>,
    /// Dropped once the disk is closed.
    pub(crate) disk_closed: DropGuard,
}

impl Actor for Replica {
    type Msg = Msg;
    type State = State;
    type Arguments = Start;

    async fn pre_start(
        &self,
        myself: ActorRef<Msg>,
        start: Start,
    ) -> Result<State, ActorProcessingErr> {
        let now = Instant::now();
        let mut state = State::new(start, &myself, now)?;
        state.pump(now);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Msg>,
        msg: Msg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = Instant::now();
        match msg {
            Msg::Pump => {
                state.pump_due = false;
                state.pump(now);
            }
            msg => {
                state.take(msg, now);
                state.pump_later(&myself)?;
            }
        }
        if let Some(reason) = &state.failed {
            log::error!("replica stops: {reason}");
            state.commands.give_up(reason);
            myself.stop(Some(reason.clone()));
        }
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Msg>,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.commands.give_up("this replica stops");
        Ok(())
    }
}

impl State {
    fn new(start: Start, myself: &ActorRef<Msg>, now: Instant) -> eyre::Result<State> {
        let Start {
            settings,
            disk,
            recovered,
            metrics,
            table,
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
        if let Some(known) = recovered_table::newest(&restored) {
            log::info!(table = known.number; "route table found on the disk");
            table.send_replace(known);
        }
        let cfg = Config {
            heartbeat_interval: settings.timing.heartbeat,
            election_timeout: settings.timing.election,
            voter_replacement: settings.forming.as_ref().map(Forming::replace),
            ..Config::default()
        };
        let node = Node::new(id, cfg, rand::random(), restored, now);
        Ok(State {
            jobs: disk::spawn(disk, myself.clone(), disk_closed)?,
            settings,
            node,
            machine: Machine::default(),
            applied: 0,
            fullness: Fullness::Room,
            peers: Peers::default(),
            nodes: Vec::new(),
            roster: None,
            backlog: None,
            clock: None,
            metrics,
            table,
            replicas,
            published: Members::default(),
            commands: Commands::default(),
            reads: Reads::default(),
            saving: None,
            join_at: now,
            limits_ordered: None,
            pump_due: false,
            failed: None,
        })
    }

    /// What waits in the mailbox is taken first, so that the commands of many
    /// callers go into one write and one message to each replica.
    fn pump_later(&mut self, myself: &ActorRef<Msg>) -> Result<(), ActorProcessingErr> {
        if !self.pump_due {
            self.pump_due = true;
            myself.cast(Msg::Pump)?;
        }
        Ok(())
    }

    fn take(&mut self, msg: Msg, now: Instant) {
        match msg {
            Msg::Pump => {}
            Msg::Tick => self.tick(now),
            Msg::Peer(message) => self.node.step(*message, now),
            Msg::PeerUp(id, link) => {
                self.peers.up(id, link);
                self.join_at = now;
            }
            Msg::PeerDown(id) => self.peers.down(id),
            Msg::Disk(report) => self.take_report(report, now),
            Msg::NodeUp(link) => {
                self.nodes.retain(|link| !link.is_closed());
                self.nodes.push(link);
            }
            Msg::Ask(ask) => self.take_ask(*ask, now),
            Msg::Status(tx) => {
                // Who asked may have given up.
                let _ = tx.send(self.status(now));
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.node.tick(now);
        self.commands.expire(now, self.settings.timing.commit);
        if let Some(roster) = &mut self.roster {
            roster.expire(now);
        }
        let status = self.node.status(now);
        if let Some(backlog) = &mut self.backlog {
            backlog.note(status.commit_index, now);
        }
        self.measure(&status, now);
        self.keep_ledger_limits(now);
        if now >= self.join_at && self.node.should_join(now) {
            self.join_at = now + self.settings.timing.election;
            let ids: Vec<DiskId> = self.peers.ids().collect();
            for id in ids {
                self.ask_to_join(id);
            }
        }
    }

    /// Asks to be taken in; only who leads heeds it.
    fn ask_to_join(&mut self, to: DiskId) {
        let address = self.settings.advertised().to_string();
        let peer = Peer::new(&self.settings.name, &address);
        self.peers.send(Message {
            from: self.node.id(),
            to,
            term: 0,
            body: MessageBody::Join { peer },
        });
    }

    fn take_report(&mut self, report: Report, now: Instant) {
        match report {
            Report::Persisted(number) => self.node.persisted(number, now),
            Report::Saved(index, result) => {
                let saved = self.saving.take().filter(|s| s.index == index);
                if let Some(snapshot) = saved.filter(|_| result == SaveResult::Done) {
                    self.node.compact(snapshot);
                }
            }
            Report::Full(fullness) => {
                if fullness != self.fullness {
                    log::warn!("disk at {}: {fullness:?}", self.settings.data.display());
                }
                self.fullness = fullness;
                if fullness == Fullness::Full {
                    self.commands.give_up_for_long(DISK_FULL);
                }
            }
            Report::Failed(reason) => self.failed = Some(reason),
        }
    }

    fn take_ask(&mut self, ask: Ask, now: Instant) {
        match ask {
            Ask::Renew(renew, reply) => self.renew(renew, reply, now),
            Ask::RenewBatch(batch, reply) => self.renew_batch(batch, reply, now),
            Ask::Notes(fetch, reply) => self.fetch_notes(fetch, reply),
            Ask::Propose(propose, reply) => match propose.command {
                Some(command) => self.propose(command, reply, now),
                None => reply.send(unavailable("no command", Commit::Never)),
            },
            Ask::Query(query, reply) => self.query(query, reply),
        }
    }
}
