//! HTTP requests to the entry of the deployment.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Status and body of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Reply {
    pub status: u16,
    pub body: String,
}

/// Sends a request and reads the whole response.
///
/// # Errors
///
/// Fails when the connection fails before the response is complete.
pub(super) async fn send_request(
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
