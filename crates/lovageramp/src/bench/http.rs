//! Requests over kept connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

const CONNECT: Duration = Duration::from_secs(2);
const IDLE: Duration = Duration::from_secs(10);

/// Longest wait for an answer; a caller who waits longer has hung up.
pub(super) const PATIENCE: Duration = Duration::from_mins(1);

/// A whole answer.
#[derive(Debug, Clone)]
pub(super) struct Whole {
    pub(super) status: u16,
    pub(super) retry_after: Option<Duration>,
    pub(super) body: Bytes,
}

/// What came of sending a request.
pub(super) enum Sent<T> {
    /// An answer.
    Answered(T),
    /// No connection, so nothing was sent.
    Nothing(String),
    /// Sent, and no whole answer came.
    Lost(String),
}

/// Sends requests; cheap to clone.
#[derive(Clone)]
pub(super) struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub(super) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .build(connector);
        Client { pool }
    }

    /// Sends a request and reads its answer whole.
    pub(super) async fn whole(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Sent<Whole> {
        let exchange = async {
            match self.open(host, method, path, headers, body).await {
                Sent::Answered(response) => read(response).await,
                Sent::Nothing(why) => Sent::Nothing(why),
                Sent::Lost(why) => Sent::Lost(why),
            }
        };
        let ended = tokio::time::timeout(PATIENCE, exchange).await;
        ended.unwrap_or_else(|_| Sent::Lost("no answer in time".to_owned()))
    }

    /// Sends a request and gives its answer as it begins.
    pub(super) async fn open(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Sent<Response<Incoming>> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = match req.body(Full::new(body)) {
            Ok(req) => req,
            Err(err) => return Sent::Nothing(err.to_string()),
        };
        match self.pool.request(req).await {
            Ok(response) => Sent::Answered(response),
            Err(err) if err.is_connect() => Sent::Nothing(err.to_string()),
            Err(err) => Sent::Lost(err.to_string()),
        }
    }
}

async fn read(response: Response<Incoming>) -> Sent<Whole> {
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    match response.into_body().collect().await {
        Ok(body) => Sent::Answered(Whole {
            status,
            retry_after,
            body: body.to_bytes(),
        }),
        Err(err) => Sent::Lost(err.to_string()),
    }
}
