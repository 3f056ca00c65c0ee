//! The actor that gives orders.

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort, call};
use tokio::time::sleep;
use wire::proto::{MapQuery, query, query_reply};

use crate::engine::{Failure, MapOrder, Obeyed, OrderFailure};
use crate::map::MapContext;
use crate::order::{Fence, Reading, read_back};

/// How often an order is given, and its outcome read back, before its outcome
/// counts as unknown.
const ATTEMPTS: u32 = 5;

/// Between two of them.
const PAUSE: Duration = Duration::from_millis(100);

/// Time to learn the current fencing number from control.
const LEARN: Duration = Duration::from_secs(5);

/// Gives orders to the engine behind an agent; clones share one queue.
#[derive(Clone, Debug)]
pub struct Orders {
    queue: ActorRef<OrderMsg>,
}

impl Orders {
    /// Gives an order once all before it are done.
    ///
    /// An order whose answer is lost is read back from the engine's state and
    /// given again if it wasn't obeyed.
    ///
    /// # Errors
    ///
    /// See [`OrderFailure`]. Failed otherwise than as not run means that the
    /// engine may or may not have obeyed.
    pub async fn give(&self, fencing: u64, order: MapOrder) -> Result<Obeyed, OrderFailure> {
        let given = call!(self.queue, |reply| OrderMsg {
            fencing,
            order,
            reply
        });
        match given {
            Ok(given) => given,
            Err(e) => Err(OrderFailure::Failed(Failure::Silent(e.to_string()))),
        }
    }
}

/// Starts the actor.
pub(crate) async fn start(cx: Arc<MapContext>) -> eyre::Result<Orders> {
    let stop = cx.stop.clone();
    let (queue, _) = Actor::spawn(None, Giver, cx).await?;
    let ended = queue.clone();
    tokio::spawn(async move {
        stop.cancelled().await;
        ended.stop(None);
    });
    Ok(Orders { queue })
}

struct Giver;

/// An order and who waits for its outcome.
#[derive(Debug)]
struct OrderMsg {
    fencing: u64,
    order: MapOrder,
    reply: RpcReplyPort<Result<Obeyed, OrderFailure>>,
}

struct State {
    cx: Arc<MapContext>,
    fence: Fence,
}

impl Actor for Giver {
    type Msg = OrderMsg;
    type State = State;
    type Arguments = Arc<MapContext>;

    async fn pre_start(
        &self,
        _myself: ActorRef<OrderMsg>,
        cx: Arc<MapContext>,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            cx,
            fence: Fence::default(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<OrderMsg>,
        msg: OrderMsg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let outcome = state.give(msg.fencing, &msg.order).await;
        if let Err(failure) = &outcome {
            log::warn!("an order under {} failed: {failure:?}", msg.fencing);
        }
        // Whoever gave it may have gone; the engine keeps what it did.
        let _ = msg.reply.send(outcome);
        Ok(())
    }
}

impl State {
    async fn give(&mut self, fencing: u64, order: &MapOrder) -> Result<Obeyed, OrderFailure> {
        if !self.fence.is_learnt() {
            self.learn().await?;
        }
        let admitted = self.fence.admit(fencing);
        admitted.map_err(|highest| OrderFailure::Fenced { highest })?;
        let mut failure = Failure::NotRun("not tried".to_owned());
        for _ in 0..ATTEMPTS {
            match self.cx.outlet.order(fencing, order).await {
                Err(OrderFailure::Failed(failed)) => failure = failed,
                Err(OrderFailure::Fenced { highest }) => {
                    self.fence.learn(highest);
                    return Err(OrderFailure::Fenced { highest });
                }
                // Given twice: what it names may be in use already.
                Ok(obeyed) if is_outcome(order) && !obeyed.known => {
                    failure = Failure::Broken("the staged map is not known".to_owned());
                }
                outcome => return outcome,
            }
            match self.cx.outlet.map().await.map(|map| read_back(order, &map)) {
                Ok(Reading::Obeyed(obeyed)) => return Ok(obeyed),
                Ok(Reading::Neither) => break,
                Ok(Reading::NotObeyed) | Err(_) => sleep(PAUSE).await,
            }
        }
        Err(OrderFailure::Failed(failure))
    }

    /// An agent that restarted knows no number, and the engine may not check
    /// any: the current one comes from a majority of control.
    async fn learn(&mut self) -> Result<(), OrderFailure> {
        let query = query::Body::Map(MapQuery {
            group: self.cx.group.clone(),
        });
        let reply = self.cx.follower.query(query, LEARN).await;
        let body = reply.ok().and_then(|reply| reply.body);
        let Some(query_reply::Body::Map(map)) = body else {
            let reason = "the current fencing number can't be learnt".to_owned();
            return Err(OrderFailure::Failed(Failure::NotRun(reason)));
        };
        self.fence.learn(map.fencing);
        Ok(())
    }
}

fn is_outcome(order: &MapOrder) -> bool {
    matches!(order, MapOrder::Commit { .. } | MapOrder::Abort { .. })
}
