//! A small HTTP client for the tests.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Upper bound for a whole request, so that none can hang a test.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);

/// A response with its whole body.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the body ended early with an error.
    pub broken: bool,
}

impl Answer {
    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|err| panic!("{err} in {:?}", self.text()))
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A header's value as text.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }
}

/// Sends a request on a new connection and returns once the response head has arrived.
pub async fn open_stream(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> std::io::Result<Response<Incoming>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(conn);
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(body.into())).unwrap();
    sender
        .send_request(req)
        .await
        .map_err(std::io::Error::other)
}

/// Sends a request on a new connection and reads the whole response.
pub async fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> std::io::Result<Answer> {
    let response = async {
        let res = open_stream(address, method, path, headers, body).await?;
        let status = res.status().as_u16();
        let headers = res.headers().clone();
        let mut body = Vec::new();
        let mut broken = false;
        let mut incoming = res.into_body();
        while let Some(frame) = incoming.frame().await {
            let Ok(frame) = frame else {
                broken = true;
                break;
            };
            body.extend(frame.into_data().unwrap_or_default());
        }
        Ok(Answer {
            status,
            headers,
            body: body.into(),
            broken,
        })
    };
    tokio::time::timeout(REQUEST_TIMEOUT, response)
        .await
        .map_err(std::io::Error::other)?
}

/// Sends a `GET` request.
pub async fn get(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
) -> std::io::Result<Answer> {
    request(address, "GET", path, headers, "").await
}
