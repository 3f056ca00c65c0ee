//! Asks the leader, from within a replica's own process.

use crate::replica::{Ask, Msg};
use crate::reply::Reply;
use eyre::{Result, bail, eyre};
use ractor::ActorRef;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};
use wire::Link;
use wire::proto::command::Body as CommandBody;
use wire::proto::frame::Body;
use wire::proto::query::Body as QueryBody;
use wire::proto::{
    Command, Outcome, Propose, Query, QueryReply, StatusQuery, Unavailable, outcome, query_reply,
};

/// Pause before a leader is looked for again.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for an operator's answer.
const WITHIN: Duration = Duration::from_secs(10);
/// Longest wait for what a leader adds to the status of another replica.
const STATUS_WITHIN: Duration = Duration::from_secs(1);

/// Asks this replica, and the leader if this one doesn't lead.
#[derive(Clone)]
pub(crate) struct Asker {
    pub(crate) replica: ActorRef<Msg>,
    pub(crate) directory: Directory,
}

/// The links to the other replicas, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    links: Arc<Mutex<BTreeMap<String, Link>>>,
}

impl Directory {
    pub(crate) fn up(&self, link: Link) {
        let name = link.peer().name.clone();
        self.links().insert(name, link);
    }

    pub(crate) fn down(&self, name: &str) {
        let mut links = self.links();
        if links.get(name).is_some_and(Link::is_closed) {
            links.remove(name);
        }
    }

    pub(crate) fn all(&self) -> Vec<Link> {
        let links = self.links();
        let up = links.values().filter(|link| !link.is_closed());
        up.cloned().collect()
    }

    fn get(&self, name: &str) -> Option<Link> {
        self.links().get(name).cloned()
    }

    fn links(&self) -> MutexGuard<'_, BTreeMap<String, Link>> {
        // Nothing under the lock can leave the map half changed.
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Asker {
    /// Has an operator's command committed. Such commands are idempotent, so
    /// one is sent again after a lost answer.
    pub(crate) async fn propose(&self, body: CommandBody) -> Outcome {
        self.propose_within(body, WITHIN).await
    }

    /// As [`Asker::propose`], with another longest wait.
    pub(crate) async fn propose_within(&self, body: CommandBody, within: Duration) -> Outcome {
        let command = Command {
            now_ms: 0,
            body: Some(body),
        };
        let command = Some(command);
        let asked = self.ask(Body::Propose(Propose { command }), within).await;
        match asked {
            Ok(Body::Outcome(outcome)) => outcome,
            Ok(_) => unavailable("unexpected answer".to_owned()),
            Err(e) => unavailable(e.to_string()),
        }
    }

    /// Reads the durable state. The status is this replica's own, with what
    /// only the leader knows added to it.
    pub(crate) async fn query(&self, body: QueryBody) -> Result<QueryReply> {
        if matches!(body, QueryBody::Status(_)) {
            return self.status().await;
        }
        self.query_within(body, WITHIN).await
    }

    /// Asks the leader, or this replica if it leads.
    pub(crate) async fn query_within(
        &self,
        body: QueryBody,
        within: Duration,
    ) -> Result<QueryReply> {
        let body = Some(body);
        match self.ask(Body::Query(Query { body }), within).await? {
            Body::QueryReply(reply) => Ok(reply),
            _ => bail!("unexpected answer"),
        }
    }

    async fn status(&self) -> Result<QueryReply> {
        let (tx, rx) = oneshot::channel();
        self.replica.cast(Msg::Status(tx))?;
        let mut own = timeout(STATUS_WITHIN, rx).await??;
        if own["leads"] != true {
            let body = Some(QueryBody::Status(StatusQuery {}));
            let asked = self.ask(Body::Query(Query { body }), STATUS_WITHIN).await;
            if let Ok(Body::QueryReply(reply)) = asked
                && let Some(query_reply::Body::Json(json)) = reply.body
            {
                crate::replica::add_leaders_part(&mut own, &json);
            }
        }
        let json = query_reply::Body::Json(own.to_string().into());
        Ok(QueryReply { body: Some(json) })
    }

    async fn ask(&self, body: Body, within: Duration) -> Result<Body> {
        let deadline = Instant::now() + within;
        // What an earlier try may have left in the log counts for the answer.
        let mut maybe = false;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                bail!("no leader answered in time");
            }
            match self.ask_once(body.clone(), left).await {
                Ok(Body::NotLeader(_)) => {}
                Ok(Body::Outcome(Outcome {
                    body: Some(outcome::Body::Unavailable(mut answer)),
                    ..
                })) => {
                    maybe |= answer.maybe;
                    if answer.lasting || left <= PAUSE {
                        answer.maybe = maybe;
                        return Ok(Body::Outcome(outcome_of(answer)));
                    }
                }
                Ok(answer) => return Ok(answer),
                Err(e) => {
                    maybe = true;
                    log::debug!("asking the leader: {e}");
                }
            }
            sleep(PAUSE.min(left)).await;
        }
    }

    /// This replica's answer, or that of the leader which it names.
    async fn ask_once(&self, body: Body, within: Duration) -> Result<Body> {
        let own = self.ask_here(body.clone(), within).await?;
        let Body::NotLeader(hint) = &own else {
            return Ok(own);
        };
        match self.directory.get(&hint.leader) {
            Some(link) => Ok(link.call(body, within).await?),
            None => Ok(own),
        }
    }

    async fn ask_here(&self, body: Body, within: Duration) -> Result<Body> {
        let (tx, rx) = oneshot::channel();
        let reply = Reply::Local(tx);
        let ask = match body {
            Body::Propose(propose) => Ask::Propose(propose, reply),
            Body::Query(query) => Ask::Query(query, reply),
            _ => bail!("not to be asked"),
        };
        let sent = self.replica.cast(Msg::Ask(Box::new(ask)));
        sent.map_err(|e| eyre!("replica has stopped: {e}"))?;
        Ok(timeout(within, rx).await??)
    }
}

fn unavailable(reason: String) -> Outcome {
    outcome_of(Unavailable {
        reason,
        maybe: true,
        ..Unavailable::default()
    })
}

fn outcome_of(unavailable: Unavailable) -> Outcome {
    Outcome {
        index: 0,
        body: Some(outcome::Body::Unavailable(unavailable)),
    }
}
