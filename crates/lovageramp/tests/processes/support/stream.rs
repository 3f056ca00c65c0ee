//! Long streamed responses, and callers that reuse one connection.

use super::bearer;
use super::cluster::Cluster;
use super::http::open_stream;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Starts a long streamed completion and returns once its first bytes have arrived. The
/// task reads the rest and yields the whole text, or `None` if the stream failed.
pub async fn long_stream(
    cluster: &Cluster,
    entry: &str,
) -> tokio::task::JoinHandle<Option<String>> {
    let body = json!({"model": "burl-notes", "stream": true, "max_tokens": 1500,
                      "messages": [{"role": "user", "content": "a long note"}]});
    let bearer = bearer("huber");
    let headers = [("authorization", bearer.as_str())];
    let entry = cluster.http(entry);
    let res = open_stream(
        entry,
        "POST",
        "/v1/chat/completions",
        &headers,
        body.to_string(),
    );
    let res = res.await.unwrap();
    assert_eq!(res.status(), 200);
    let mut body = res.into_body();
    let first = body.frame().await.unwrap().unwrap().into_data().unwrap();
    tokio::spawn(async move {
        let mut text = first.to_vec();
        while let Some(frame) = body.frame().await {
            text.extend(frame.ok()?.into_data().unwrap_or_default());
        }
        String::from_utf8(text).ok()
    })
}

/// Asserts that every event of a [`long_stream`] has arrived, including the final one.
pub fn assert_complete(text: Option<String>) {
    let text = text.expect("the stream ended early");
    assert!(text.trim_end().ends_with("data: [DONE]"));
    assert_eq!(text.matches("data: ").count(), 1502);
}

/// Reads until at least `bytes` bytes have arrived.
pub async fn read_at_least(stream: &mut Incoming, bytes: usize) -> Vec<u8> {
    let mut got = Vec::new();
    while got.len() < bytes {
        let frame = stream.frame().await.unwrap().unwrap();
        got.extend(frame.into_data().unwrap());
    }
    got
}

/// Reads the rest of the stream, which must end without an error, and returns it
/// appended to `got`.
pub async fn read_to_end(mut stream: Incoming, mut got: Vec<u8>) -> Vec<u8> {
    while let Some(frame) = stream.frame().await {
        got.extend(frame.expect("the stream ended early").into_data().unwrap());
    }
    got
}

/// A caller that sends requests one at a time on one persistent connection.
pub struct Caller {
    answered: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<u16>>,
}

impl Caller {
    pub async fn start(entry: SocketAddr) -> Caller {
        let stream = TcpStream::connect(entry).await.unwrap();
        let (mut tx, conn) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(conn);
        let answered = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn({
            let (answered, stop) = (Arc::clone(&answered), Arc::clone(&stop));
            async move {
                let mut statuses = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    tx.ready().await.unwrap();
                    let res = tx.send_request(short_chat(statuses.len())).await.unwrap();
                    statuses.push(res.status().as_u16());
                    res.into_body().collect().await.unwrap();
                    answered.fetch_add(1, Ordering::Relaxed);
                }
                statuses
            }
        });
        Caller {
            answered,
            stop,
            task,
        }
    }

    /// Waits until `more` further requests have been answered.
    pub async fn until_answered(&self, more: u64) {
        let goal = self.answered.load(Ordering::Relaxed) + more;
        super::until("requests are answered", || async {
            (self.answered.load(Ordering::Relaxed) >= goal).then_some(())
        })
        .await;
    }

    /// Stops the caller and returns the status of every response.
    pub async fn finish(self) -> Vec<u16> {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.unwrap()
    }
}

/// The prompts differ, since equal prompts would all be routed to the engine that has
/// the first one cached.
fn short_chat(number: usize) -> Request<Full<Bytes>> {
    let body = json!({"model": "burl-notes", "max_tokens": 4,
                      "messages": [{"role": "user", "content": format!("{number}, short")}]});
    Request::post("/v1/chat/completions")
        .header("host", "test")
        .header("authorization", bearer("maier"))
        .header("x-request-timeout-ms", "2000")
        .header("content-type", "application/json")
        .body(Full::new(body.to_string().into()))
        .unwrap()
}
