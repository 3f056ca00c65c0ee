//! HTTP requests to the given hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{WrapErr, eyre};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderName, IF_MATCH};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use super::host_response::HostResponse;
use super::{Access, Failure};

/// Largest response accepted; the catalogue is the largest document.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Statuses after which the next host is tried.
const RETRYABLE_STATUSES: [StatusCode; 3] = [
    StatusCode::BAD_GATEWAY,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::GATEWAY_TIMEOUT,
];

/// Header that makes a request conditional on the number of a state (RFC 9110, section
/// 13.1.1).
pub(super) fn if_match(number: u64) -> (HeaderName, String) {
    (IF_MATCH, format!("\"{number}\""))
}

/// Sends a request to the hosts in order until one returns a final response.
pub(super) async fn request(
    access: &Access,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<HostResponse, Failure> {
    send_in_order(access, method, path, body, None).await
}

/// Like [`request`], without a body and with the condition of [`if_match`], if there is one.
pub(super) async fn request_if(
    access: &Access,
    method: Method,
    path: &str,
    condition: Option<(HeaderName, String)>,
) -> Result<HostResponse, Failure> {
    send_in_order(access, method, path, Bytes::new(), condition).await
}

async fn send_in_order(
    access: &Access,
    method: Method,
    path: &str,
    body: Bytes,
    condition: Option<(HeaderName, String)>,
) -> Result<HostResponse, Failure> {
    let hosts = access.hosts()?;
    let token = access.token()?;
    let operator = access.operator();
    let mut failures = Vec::new();
    for host in hosts {
        let mut req = Request::builder().method(&method).uri(path);
        if let Some((name, value)) = &condition {
            req = req.header(name, value);
        }
        let req = req
            .header(HOST, host.to_string())
            .header(AUTHORIZATION, format!("Bearer {token}"))
            .header(CONTENT_TYPE, "application/json")
            .header("x-operator", &operator)
            .body(Full::new(body.clone()))
            .map_err(|err| Failure::Usage(format!("cannot build the request for {path}: {err}")))?;
        match send_with_timeout(host, req, access.timeout()).await {
            Ok(response) if RETRYABLE_STATUSES.contains(&response.status) => {
                let detail = response.body["detail"].as_str().unwrap_or("unavailable");
                failures.push(format!("{host}: {detail}"));
            }
            Ok(response) => return Ok(response),
            Err(err) => failures.push(format!("{host}: {err:#}")),
        }
    }
    Err(Failure::Unreachable(failures.join("\n")))
}

async fn send_with_timeout(
    host: SocketAddr,
    req: Request<Full<Bytes>>,
    timeout: Duration,
) -> eyre::Result<HostResponse> {
    let response = tokio::time::timeout(timeout, send(host, req)).await;
    response.map_err(|_| eyre!("no response within {} ms", timeout.as_millis()))?
}

async fn send(host: SocketAddr, req: Request<Full<Bytes>>) -> eyre::Result<HostResponse> {
    let stream = TcpStream::connect(host).await.wrap_err("cannot connect")?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await?;
    // Errors of the connection are also returned by the request below.
    tokio::spawn(async move { connection.await.is_ok() });
    let response = sender.send_request(req).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let body = body.collect().await.map_err(|err| eyre!(err))?.to_bytes();
    let body: Value = serde_json::from_slice(&body).wrap_err("the response is not JSON")?;
    Ok(HostResponse { status, body })
}
