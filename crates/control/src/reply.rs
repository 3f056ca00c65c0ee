//! The way back to who asked.

use tokio::sync::oneshot;
use wire::Link;
use wire::proto::frame::Body;
use wire::proto::{Outcome, Unavailable, outcome};

/// When to ask again during an election.
const RETRY_SOON_MS: u32 = 200;
/// When to ask again while somebody has to make room on a disk.
const RETRY_LATER_MS: u32 = 5_000;

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

/// The answer to a command that was not carried out, or perhaps not. Whoever
/// asks for an operator or a caller may ask again within its time.
pub(crate) fn unavailable(reason: &str, commit: Commit) -> Body {
    refusal(reason, commit, Lasting::No)
}

/// As [`unavailable`], where asking again at once is of no use: whoever waits
/// for the answer is told now, not when its time is over.
pub(crate) fn unavailable_for_long(reason: &str, commit: Commit) -> Body {
    refusal(reason, commit, Lasting::Yes)
}

fn refusal(reason: &str, commit: Commit, lasting: Lasting) -> Body {
    let retry_after_ms = match lasting {
        Lasting::No => RETRY_SOON_MS,
        Lasting::Yes => RETRY_LATER_MS,
    };
    let unavailable = Unavailable {
        reason: reason.to_owned(),
        maybe: commit == Commit::Perhaps,
        retry_after_ms,
        lasting: lasting == Lasting::Yes,
    };
    Body::Outcome(Outcome {
        index: 0,
        body: Some(outcome::Body::Unavailable(unavailable)),
    })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lasting {
    No,
    Yes,
}

/// Whether a command that wasn't answered may still be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Commit {
    /// It never will be.
    Never,
    /// It may be.
    Perhaps,
}
