//! Requests that the tests send for their client accounts.

use super::{Answer, request};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The `authorization` header of a test account.
pub fn bearer(account: &str) -> String {
    format!("Bearer key-of-{account}")
}

/// The item that adds an account in a note.
pub fn account_item(account: &str) -> Value {
    let digest = note::Digest::of(format!("key-of-{account}").as_bytes()).to_string();
    json!({"kind": "account", "name": account, "key_sha256": digest, "share": 1,
           "tokens_per_s": 1_000_000, "requests_per_s": 10000, "concurrent": 1000, "priority": 1})
}

/// Sends a chat completion request.
pub async fn chat(
    entry: SocketAddr,
    account: &str,
    prompt: &str,
    stream: bool,
) -> std::io::Result<Answer> {
    chat_in_parts(entry, account, &[prompt], stream).await
}

/// Sends a chat completion whose prompt consists of these messages.
pub async fn chat_in_parts(
    entry: SocketAddr,
    account: &str,
    messages: &[&str],
    stream: bool,
) -> std::io::Result<Answer> {
    let messages = messages.iter();
    let messages = messages.map(|content| json!({"role": "user", "content": content}));
    let messages: Vec<serde_json::Value> = messages.collect();
    let body = json!({"model": "burl-notes", "stream": stream, "max_tokens": 16,
                      "messages": messages});
    let bearer = bearer(account);
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    request(
        entry,
        "POST",
        "/v1/chat/completions",
        &headers,
        body.to_string(),
    )
    .await
}

/// Sends a reservation to the `order-desk` service, a call that must not be repeated.
pub async fn reserve(
    entry: SocketAddr,
    account: &str,
    key: &str,
    lot: &str,
) -> std::io::Result<Answer> {
    let bearer = bearer(account);
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    request(
        entry,
        "POST",
        "/s/order-desk/reservations",
        &headers,
        lot.to_owned(),
    )
    .await
}
