//! Requests to the hosts that were named.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{WrapErr, eyre};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use super::answer::Answer;
use super::{Access, Failure};

/// Largest answer that is read; the catalogue is the longest there is.
const MOST_ANSWER_BYTES: usize = 64 << 20;

/// Answers that another host may improve on.
const TRY_NEXT: [StatusCode; 3] = [
    StatusCode::BAD_GATEWAY,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::GATEWAY_TIMEOUT,
];

/// Asks the hosts in order until one gives an answer of its own.
pub(super) async fn ask(
    access: &Access,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Answer, Failure> {
    let hosts = access.hosts()?;
    let token = access.token()?;
    let operator = access.operator();
    let mut said = Vec::new();
    for host in hosts {
        let req = Request::builder()
            .method(&method)
            .uri(path)
            .header(HOST, host.to_string())
            .header(AUTHORIZATION, format!("Bearer {token}"))
            .header(CONTENT_TYPE, "application/json")
            .header("x-operator", &operator)
            .body(Full::new(body.clone()))
            .map_err(|err| Failure::Usage(format!("can't ask for {path}: {err}")))?;
        match exchange(host, req, access.timeout()).await {
            Ok(answer) if TRY_NEXT.contains(&answer.status) => {
                let detail = answer.body["detail"].as_str().unwrap_or("unavailable");
                said.push(format!("{host}: {detail}"));
            }
            Ok(answer) => return Ok(answer),
            Err(err) => said.push(format!("{host}: {err:#}")),
        }
    }
    Err(Failure::Unreachable(said.join("\n")))
}

async fn exchange(
    host: SocketAddr,
    req: Request<Full<Bytes>>,
    timeout: Duration,
) -> eyre::Result<Answer> {
    let answer = tokio::time::timeout(timeout, send(host, req)).await;
    answer.map_err(|_| eyre!("no answer within {} ms", timeout.as_millis()))?
}

async fn send(host: SocketAddr, req: Request<Full<Bytes>>) -> eyre::Result<Answer> {
    let stream = TcpStream::connect(host).await.wrap_err("can't connect")?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await?;
    // It ends with the response, whose errors tell the same.
    tokio::spawn(async move { connection.await.is_ok() });
    let response = sender.send_request(req).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MOST_ANSWER_BYTES);
    let body = body.collect().await.map_err(|err| eyre!(err))?.to_bytes();
    let body: Value = serde_json::from_slice(&body).wrap_err("the answer isn't JSON")?;
    Ok(Answer { status, body })
}
