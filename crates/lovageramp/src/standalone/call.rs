//! One HTTP request to our own entry.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// What came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Reply {
    pub status: u16,
    pub body: String,
}

/// Sends a request and takes its whole answer.
///
/// # Errors
///
/// Fails when the answer does not arrive whole.
pub(super) async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> eyre::Result<Reply> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(conn);
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string());
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let res = sender
        .send_request(req.body(Full::new(body.into()))?)
        .await?;
    let status = res.status().as_u16();
    let body = res.into_body().collect().await?.to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Reply { status, body })
}
