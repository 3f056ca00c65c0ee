//! HTTP client of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use super::eventually;

#[derive(Clone)]
pub struct Caller {
    pub address: SocketAddr,
    key: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Whether a streamed answer is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerMode {
    Streamed,
    Unstreamed,
}

#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the body has ended properly.
    pub complete: bool,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn ran(&self) -> String {
        self.json()["ran"].as_str().unwrap_or("-").to_owned()
    }
}

impl Caller {
    pub fn new(address: SocketAddr, key: &str) -> Caller {
        Caller {
            address,
            key: key.to_owned(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, String> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if !self.key.is_empty() {
            req = req.header("authorization", format!("Bearer {}", self.key));
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into())).unwrap();
        let sent = tokio::time::timeout(Duration::from_mins(1), self.client.request(req));
        sent.await
            .expect("an answer within a minute")
            .map_err(|error| error.to_string())
    }

    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Reply {
        let response = self.open(method, path, headers, body).await.unwrap();
        collect(response).await
    }

    pub async fn get(&self, path: &str) -> Reply {
        self.send(Method::GET, path, &[], "").await
    }

    pub async fn post(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Reply {
        self.send(Method::POST, path, headers, body).await
    }

    pub async fn chat(&self, text: &str, tokens: u32, mode: AnswerMode) -> Reply {
        self.post("/v1/chat/completions", &[], chat(text, tokens, mode))
            .await
    }

    pub async fn reserve(&self, key: &str, body: &str) -> Reply {
        let headers = [("idempotency-key", key)];
        let body = body.to_owned();
        self.post("/s/order-desk/reservations", &headers, body)
            .await
    }

    pub async fn until_ready(&self) {
        eventually("the entry is ready", async || {
            (self.get("/readyz").await.status == 200).then_some(())
        })
        .await;
    }

    /// Waits until a chat completion succeeds.
    pub async fn until_chat_served(&self) {
        eventually("chat completions are served", async || {
            (self.chat("warm up", 1, AnswerMode::Unstreamed).await.status == 200).then_some(())
        })
        .await;
    }

    /// Waits until a call of the service succeeds.
    pub async fn until_service_served(&self) {
        eventually("the service is served", async || {
            (self.get("/s/order-desk/stock").await.status == 200).then_some(())
        })
        .await;
    }
}

pub fn chat(text: &str, tokens: u32, mode: AnswerMode) -> String {
    let stream = mode == AnswerMode::Streamed;
    json!({"model": "burl-notes", "stream": stream, "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}]})
    .to_string()
}

pub async fn collect(response: Response<Incoming>) -> Reply {
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut complete = true;
    loop {
        let frame = tokio::time::timeout(Duration::from_mins(1), body.frame());
        match frame.await.expect("the next part within a minute") {
            Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Some(Err(_)) => {
                complete = false;
                break;
            }
            None => break,
        }
    }
    Reply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: bytes.into(),
        complete,
    }
}
