//! The way back to who asked.

use tokio::sync::oneshot;
use wire::Link;
use wire::proto::frame::Body;
use wire::proto::{Outcome, Unavailable, outcome};

/// The way back to who asked.
#[derive(Debug)]
pub(crate) enum Reply {
    /// Over a link, to the call of that number.
    Remote(Link, u64),
    /// Within this process.
    Local(oneshot::Sender<Body>),
}

impl Reply {
    /// Sends the answer; who asked may be gone.
    pub(crate) fn send(self, body: Body) {
        match self {
            Reply::Remote(_, 0) => {}
            Reply::Remote(link, call) => {
                tokio::spawn(async move {
                    if let Err(e) = link.reply(call, body).await {
                        log::debug!("answer to {} is lost: {e}", link.peer().name);
                    }
                });
            }
            Reply::Local(tx) => drop(tx.send(body)),
        }
    }
}

/// The answer to a command that was not carried out, or perhaps not.
pub(crate) fn unavailable(reason: &str, commit: Commit) -> Body {
    const RETRY_AFTER_MS: u32 = 200;
    let unavailable = Unavailable {
        reason: reason.to_owned(),
        maybe: commit == Commit::Perhaps,
        retry_after_ms: RETRY_AFTER_MS,
    };
    Body::Outcome(Outcome {
        index: 0,
        body: Some(outcome::Body::Unavailable(unavailable)),
    })
}

/// Whether a command that wasn't answered may still be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Commit {
    /// It never will be.
    Never,
    /// It may be.
    Perhaps,
}
