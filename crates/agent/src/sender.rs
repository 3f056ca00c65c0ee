//! Sends an answer on a link.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;
use wire::Link;

use crate::answer::{Answer, Cursor, Next};

/// Sends an answer from `cursor` on, until it has ended, the link is down or
/// another link has taken over.
pub(crate) async fn send_answer(
    answer: Arc<Answer>,
    link: Link,
    mut cursor: Cursor,
    replaced: CancellationToken,
) {
    loop {
        if replaced.is_cancelled() {
            return;
        }
        match answer.next(&mut cursor) {
            Next::Frame(frame) => {
                if link.send(frame).await.is_err() {
                    return;
                }
            }
            Next::Last(frame) => {
                // A send error is ignored: `Answer::is_attached` detects that the
                // link is down.
                let _ = link.send(frame).await;
                return;
            }
            Next::Wait => tokio::select! {
                () = replaced.cancelled() => return,
                () = link.closed() => return,
                () = answer.wait_readable() => {}
            },
        }
    }
}
