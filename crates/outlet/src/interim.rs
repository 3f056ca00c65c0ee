//! Interim (1xx) responses, of which a faulty target may send any number.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::sync::Notify;

/// Maximum number of interim responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 64;

/// Watches the interim responses to one request.
#[derive(Debug)]
pub(crate) struct InterimResponses {
    exceeded: Arc<Notify>,
}

impl InterimResponses {
    /// Counts the interim responses to the request from now on.
    pub fn watch(req: &mut Request<Full<Bytes>>) -> InterimResponses {
        let exceeded = Arc::new(Notify::new());
        let notify = Arc::clone(&exceeded);
        let count = AtomicUsize::new(0);
        hyper::ext::on_informational(req, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
                notify.notify_one();
            }
        });
        InterimResponses { exceeded }
    }

    /// Waits until there are more than [`MAX_INTERIM_RESPONSES`].
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
