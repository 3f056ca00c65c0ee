//! The way back to who asked.

use wire::Link;
use wire::proto::frame::Body;
use wire::proto::{Outcome, Unavailable, outcome};

/// The way back to who asked.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) link: Link,
    pub(crate) call: u64,
}

impl Reply {
    /// Sends the answer; who asked may be gone.
    pub(crate) fn send(self, body: Body) {
        if self.call == 0 {
            return;
        }
        tokio::spawn(async move {
            if let Err(e) = self.link.reply(self.call, body).await {
                log::debug!("answer to {} is lost: {e}", self.link.peer().name);
            }
        });
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
