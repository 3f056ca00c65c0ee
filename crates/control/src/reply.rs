//! Replies to requests.

use tokio::sync::oneshot;
use wire::Link;
use wire::proto::frame::Body;
use wire::proto::{Outcome, Unavailable, outcome};

/// Retry delay during an election, in milliseconds.
const RETRY_SOON_MS: u32 = 200;
/// Retry delay while a disk is full until someone frees space, in milliseconds.
const RETRY_LATER_MS: u32 = 5_000;

/// Where the reply to a request is sent.
#[derive(Debug)]
pub(crate) enum Reply {
    /// Over a link, as the reply to the call with this number; 0 expects no reply.
    Remote(Link, u64),
    /// Within this process.
    Local(oneshot::Sender<Body>),
}

impl Reply {
    /// Name of the process that waits for the reply; empty for this one.
    pub(crate) fn requester(&self) -> &str {
        match self {
            Reply::Remote(link, _) => &link.peer().name,
            Reply::Local(_) => "",
        }
    }

    /// Sends the reply. The requester may no longer be there.
    pub(crate) fn send(self, body: Body) {
        match self {
            Reply::Remote(_, 0) => {}
            Reply::Remote(link, call) => {
                tokio::spawn(async move {
                    if let Err(e) = link.reply(call, body).await {
                        log::debug!("cannot answer {}: {e}", link.peer().name);
                    }
                });
            }
            Reply::Local(tx) => drop(tx.send(body)),
        }
    }
}

/// Returns the answer to a command that was not carried out, or may not have been. A
/// process that acts for an operator or a caller may retry within its timeout.
pub(crate) fn unavailable(reason: &str, may_commit: MayCommit) -> Body {
    refusal(reason, may_commit, RetryWhen::Soon)
}

/// Like [`unavailable`], for when an immediate retry would not help: the operator or
/// caller gets the answer now instead of after the whole timeout.
pub(crate) fn unavailable_lasting(reason: &str, may_commit: MayCommit) -> Body {
    refusal(reason, may_commit, RetryWhen::Later)
}

fn refusal(reason: &str, may_commit: MayCommit, retry: RetryWhen) -> Body {
    let retry_after_ms = match retry {
        RetryWhen::Soon => RETRY_SOON_MS,
        RetryWhen::Later => RETRY_LATER_MS,
    };
    let unavailable = Unavailable {
        reason: reason.to_owned(),
        maybe: may_commit == MayCommit::Yes,
        retry_after_ms,
        lasting: retry == RetryWhen::Later,
    };
    Body::Outcome(Outcome {
        index: 0,
        body: Some(outcome::Body::Unavailable(unavailable)),
    })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryWhen {
    Soon,
    Later,
}

/// Whether a command that was not carried out may still be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MayCommit {
    /// It will never be committed.
    No,
    /// It may have been committed, or may be later.
    Yes,
}
