//! The actor that sends map commands to the engine.

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort, call};
use tokio::time::sleep;
use wire::proto::{MapQuery, query, query_reply};

use crate::command::{Fence, ReadBack, read_back};
use crate::engine::{CommandFailure, CommandReply, Failure, MapCommand};
use crate::map::MapContext;

/// How often a command is sent and its outcome read back before the outcome
/// counts as unknown.
const MAX_TRIES: u32 = 5;

/// Delay between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout for reading the current fencing number from control.
const FENCING_TIMEOUT: Duration = Duration::from_secs(5);

/// Queue of map commands to an agent's engine; clones share one queue.
#[derive(Clone, Debug)]
pub struct CommandQueue {
    actor: ActorRef<CommandMsg>,
}

impl CommandQueue {
    /// Sends a command once all earlier ones are done.
    ///
    /// If the answer to a command is lost, its effect is read back from the
    /// engine's state, and the command is sent again if it wasn't applied.
    ///
    /// # Errors
    ///
    /// See [`CommandFailure`]. After any [`CommandFailure::Failed`] other than
    /// [`Failure::NotRun`] the engine may or may not have applied the command.
    pub async fn send(
        &self,
        fencing: u64,
        command: MapCommand,
    ) -> Result<CommandReply, CommandFailure> {
        let sent = call!(self.actor, |reply| CommandMsg {
            fencing,
            command,
            reply
        });
        match sent {
            Ok(outcome) => outcome,
            Err(e) => Err(CommandFailure::Failed(Failure::Silent(e.to_string()))),
        }
    }
}

/// Starts the command actor; it stops with the agent.
pub(crate) async fn start(cx: Arc<MapContext>) -> eyre::Result<CommandQueue> {
    let stop = cx.stop.clone();
    let (actor, _) = Actor::spawn(None, CommandActor, cx).await?;
    let stopping = actor.clone();
    tokio::spawn(async move {
        stop.cancelled().await;
        stopping.stop(None);
    });
    Ok(CommandQueue { actor })
}

struct CommandActor;

/// A command and the port for its outcome.
#[derive(Debug)]
struct CommandMsg {
    fencing: u64,
    command: MapCommand,
    reply: RpcReplyPort<Result<CommandReply, CommandFailure>>,
}

struct State {
    cx: Arc<MapContext>,
    fence: Fence,
}

impl Actor for CommandActor {
    type Msg = CommandMsg;
    type State = State;
    type Arguments = Arc<MapContext>;

    async fn pre_start(
        &self,
        _myself: ActorRef<CommandMsg>,
        cx: Arc<MapContext>,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            cx,
            fence: Fence::default(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<CommandMsg>,
        msg: CommandMsg,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let outcome = state.send(msg.fencing, &msg.command).await;
        if let Err(failure) = &outcome {
            log::warn!(
                "map command with fencing number {} failed: {failure:?}",
                msg.fencing
            );
        }
        // The sender may be gone; the engine keeps the command's effect.
        let _ = msg.reply.send(outcome);
        Ok(())
    }
}

impl State {
    async fn send(
        &mut self,
        fencing: u64,
        command: &MapCommand,
    ) -> Result<CommandReply, CommandFailure> {
        if !self.fence.is_known() {
            self.fetch_fencing().await?;
        }
        let admitted = self.fence.admit(fencing);
        admitted.map_err(|highest| CommandFailure::Fenced { highest })?;
        let mut failure = Failure::NotRun("not tried".to_owned());
        for _ in 0..MAX_TRIES {
            match self.cx.target_client.send_command(fencing, command).await {
                Err(CommandFailure::Failed(failed)) => failure = failed,
                Err(CommandFailure::Fenced { highest }) => {
                    self.fence.observe(highest);
                    return Err(CommandFailure::Fenced { highest });
                }
                // Sent twice: the map that it names may already be in use.
                Ok(reply) if is_outcome(command) && !reply.known => {
                    failure = Failure::Broken("the staged map is not known".to_owned());
                }
                outcome => return outcome,
            }
            let map = self.cx.target_client.map().await;
            match map.map(|map| read_back(command, &map)) {
                Ok(ReadBack::Applied(reply)) => return Ok(reply),
                Ok(ReadBack::Inconclusive) => break,
                Ok(ReadBack::NotApplied) | Err(_) => sleep(RETRY_DELAY).await,
            }
        }
        Err(CommandFailure::Failed(failure))
    }

    /// Reads the current fencing number from a majority of control: a restarted
    /// agent knows none, and the engine may not check any.
    async fn fetch_fencing(&mut self) -> Result<(), CommandFailure> {
        let query = query::Body::Map(MapQuery {
            group: self.cx.group.clone(),
        });
        let reply = self.cx.follower.query(query, FENCING_TIMEOUT).await;
        let body = reply.ok().and_then(|reply| reply.body);
        let Some(query_reply::Body::Map(map)) = body else {
            let reason = "the current fencing number can't be read from control".to_owned();
            return Err(CommandFailure::Failed(Failure::NotRun(reason)));
        };
        self.fence.observe(map.fencing);
        Ok(())
    }
}

fn is_outcome(command: &MapCommand) -> bool {
    matches!(
        command,
        MapCommand::Commit { .. } | MapCommand::Abort { .. }
    )
}
