//! HTTP client with a connection pool.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for a complete response, after which a caller is assumed to give up.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);

/// A complete response.
#[derive(Debug, Clone)]
pub(super) struct FullResponse {
    pub(super) status: u16,
    pub(super) retry_after: Option<Duration>,
    pub(super) body: Bytes,
}

/// Result of sending a request.
pub(super) enum SendResult<T> {
    /// A response was received.
    Response(T),
    /// No connection could be made, so nothing was sent.
    NotSent(String),
    /// The request was sent, but no complete response was received.
    NoResponse(String),
}

/// HTTP client; cheap to clone.
#[derive(Clone)]
pub(super) struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub(super) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build(connector);
        Client { pool }
    }

    /// Sends a request and reads the complete response.
    pub(super) async fn request(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> SendResult<FullResponse> {
        let exchange = async {
            match self
                .request_streamed(host, method, path, headers, body)
                .await
            {
                SendResult::Response(response) => read_response(response).await,
                SendResult::NotSent(reason) => SendResult::NotSent(reason),
                SendResult::NoResponse(reason) => SendResult::NoResponse(reason),
            }
        };
        let result = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
        result.unwrap_or_else(|_| SendResult::NoResponse("no response in time".to_owned()))
    }

    /// Sends a request and returns the response with its body still unread.
    pub(super) async fn request_streamed(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> SendResult<Response<Incoming>> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = match req.body(Full::new(body)) {
            Ok(req) => req,
            Err(err) => return SendResult::NotSent(err.to_string()),
        };
        match self.pool.request(req).await {
            Ok(response) => SendResult::Response(response),
            Err(err) if err.is_connect() => SendResult::NotSent(err.to_string()),
            Err(err) => SendResult::NoResponse(err.to_string()),
        }
    }
}

async fn read_response(response: Response<Incoming>) -> SendResult<FullResponse> {
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    match response.into_body().collect().await {
        Ok(body) => SendResult::Response(FullResponse {
            status,
            retry_after,
            body: body.to_bytes(),
        }),
        Err(err) => SendResult::NoResponse(err.to_string()),
    }
}
