//! In-process client that sends requests to the leader.

use crate::replica::{Msg, Request};
use crate::reply::Reply;
use eyre::{Result, bail, eyre};
use ractor::ActorRef;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};
use wire::Link;
use wire::proto::command::Body as CommandBody;
use wire::proto::frame::Body;
use wire::proto::query::Body as QueryBody;
use wire::proto::{
    Command, Outcome, Propose, Query, QueryReply, StatusQuery, Unavailable, outcome, query_reply,
};

/// Delay before a request is retried while no leader is reachable.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay before a request is sent to another replica again. A request may be as
/// large as a route table, and the replica that is asked may only have led a moment ago.
const MAX_RESEND_DELAY: Duration = Duration::from_millis(400);
/// Timeout of an operator's request.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the fields that the leader adds to the status of another replica.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends requests to this replica, and to the leader if this replica is not the leader.
#[derive(Clone)]
pub(crate) struct LeaderClient {
    pub(crate) replica: ActorRef<Msg>,
    pub(crate) replica_links: ReplicaLinks,
}

/// Answer to one attempt of a request.
struct Attempt {
    body: Result<Body>,
    /// Whether the request was sent to another replica.
    was_sent: bool,
}

/// Open links to the other replicas, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaLinks {
    links: Arc<Mutex<BTreeMap<String, Link>>>,
    /// Links that were opened since they were last taken.
    new: Arc<Mutex<Vec<Link>>>,
    opened: Arc<Notify>,
}

impl ReplicaLinks {
    pub(crate) fn insert(&self, link: Link) {
        let name = link.peer().name.clone();
        lock(&self.new).push(link.clone());
        self.links().insert(name, link);
        self.opened.notify_one();
    }

    /// Waits until a link is opened.
    pub(crate) async fn opened(&self) {
        self.opened.notified().await;
    }

    /// Takes the links that were opened since the last call.
    pub(crate) fn take_new(&self) -> Vec<Link> {
        std::mem::take(&mut *lock(&self.new))
    }

    /// Removes the link to a replica, unless it was replaced by one that is open.
    pub(crate) fn remove_closed(&self, name: &str) {
        let mut links = self.links();
        if links.get(name).is_some_and(Link::is_closed) {
            links.remove(name);
        }
    }

    pub(crate) fn open(&self) -> Vec<Link> {
        let links = self.links();
        let open = links.values().filter(|link| !link.is_closed());
        open.cloned().collect()
    }

    fn get(&self, name: &str) -> Option<Link> {
        self.links().get(name).cloned()
    }

    fn links(&self) -> MutexGuard<'_, BTreeMap<String, Link>> {
        lock(&self.links)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Code that holds these locks cannot leave the data inconsistent, so poisoning is
    // ignored.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LeaderClient {
    /// Commits an operator's command. Such commands are idempotent, so a command is
    /// sent again if its answer is lost.
    pub(crate) async fn propose(&self, body: CommandBody) -> Outcome {
        self.propose_with_timeout(body, OPERATOR_TIMEOUT).await
    }

    /// Like [`LeaderClient::propose`], with the given timeout.
    pub(crate) async fn propose_with_timeout(
        &self,
        body: CommandBody,
        timeout: Duration,
    ) -> Outcome {
        let command = Command {
            now_ms: 0,
            body: Some(body),
        };
        let command = Some(command);
        let answer = self.call(Body::Propose(Propose { command }), timeout).await;
        match answer {
            Ok(Body::Outcome(outcome)) => outcome,
            Ok(_) => unavailable("unexpected answer".to_owned()),
            Err(e) => unavailable(e.to_string()),
        }
    }

    /// Reads the durable state. A status query returns this replica's own status, with
    /// the fields that only the leader knows added.
    pub(crate) async fn query(&self, body: QueryBody) -> Result<QueryReply> {
        if matches!(body, QueryBody::Status(_)) {
            return self.status().await;
        }
        self.query_with_timeout(body, OPERATOR_TIMEOUT).await
    }

    /// Queries the leader, which may be this replica, with the given timeout.
    pub(crate) async fn query_with_timeout(
        &self,
        body: QueryBody,
        timeout: Duration,
    ) -> Result<QueryReply> {
        let body = Some(body);
        match self.call(Body::Query(Query { body }), timeout).await? {
            Body::QueryReply(reply) => Ok(reply),
            _ => bail!("unexpected answer"),
        }
    }

    async fn status(&self) -> Result<QueryReply> {
        let (tx, rx) = oneshot::channel();
        self.replica.cast(Msg::Status(tx))?;
        let mut own = timeout(STATUS_TIMEOUT, rx).await??;
        if own["leads"] != true {
            let body = Some(QueryBody::Status(StatusQuery {}));
            let answer = self.call(Body::Query(Query { body }), STATUS_TIMEOUT).await;
            if let Ok(Body::QueryReply(reply)) = answer
                && let Some(query_reply::Body::Json(json)) = reply.body
            {
                crate::replica::add_leader_fields(&mut own, &json);
            }
        }
        let json = query_reply::Body::Json(own.to_string().into());
        Ok(QueryReply { body: Some(json) })
    }

    async fn call(&self, body: Body, timeout: Duration) -> Result<Body> {
        let deadline = Instant::now() + timeout;
        let mut delay = RETRY_DELAY;
        // Whether an earlier attempt may have left the command in the log.
        let mut maybe_committed = false;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                bail!("no leader answered in time");
            }
            let answer = self.call_once(body.clone(), left).await;
            let was_sent = answer.was_sent;
            match answer.body {
                Ok(Body::NotLeader(_)) => {}
                Ok(Body::Outcome(Outcome {
                    body: Some(outcome::Body::Unavailable(mut answer)),
                    ..
                })) => {
                    maybe_committed |= answer.maybe;
                    if answer.lasting || left <= RETRY_DELAY {
                        answer.maybe = maybe_committed;
                        return Ok(Body::Outcome(unavailable_outcome(answer)));
                    }
                }
                Ok(answer) => return Ok(answer),
                Err(e) => {
                    maybe_committed = true;
                    log::debug!("request to the leader failed: {e}");
                }
            }
            sleep(delay.min(left)).await;
            if was_sent {
                delay = MAX_RESEND_DELAY.min(delay * 2);
            }
        }
    }

    /// Returns this replica's answer, or that of the leader if this replica names one.
    async fn call_once(&self, body: Body, timeout: Duration) -> Attempt {
        let own = self.call_local(body.clone(), timeout).await;
        let leader = match &own {
            Ok(Body::NotLeader(hint)) => self.replica_links.get(&hint.leader),
            _ => None,
        };
        match leader {
            Some(link) => Attempt {
                body: link.call(body, timeout).await.map_err(Into::into),
                was_sent: true,
            },
            None => Attempt {
                body: own,
                was_sent: false,
            },
        }
    }

    async fn call_local(&self, body: Body, time_left: Duration) -> Result<Body> {
        let (tx, rx) = oneshot::channel();
        let reply = Reply::Local(tx);
        let request = match body {
            Body::Propose(propose) => Request::Propose(propose, reply),
            Body::Query(query) => Request::Query(query, reply),
            _ => bail!("not to be asked"),
        };
        let sent = self.replica.cast(Msg::Request(Box::new(request), None));
        sent.map_err(|e| eyre!("replica has stopped: {e}"))?;
        Ok(timeout(time_left, rx).await??)
    }
}

fn unavailable(reason: String) -> Outcome {
    unavailable_outcome(Unavailable {
        reason,
        maybe: true,
        ..Unavailable::default()
    })
}

fn unavailable_outcome(unavailable: Unavailable) -> Outcome {
    Outcome {
        index: 0,
        body: Some(outcome::Body::Unavailable(unavailable)),
    }
}
