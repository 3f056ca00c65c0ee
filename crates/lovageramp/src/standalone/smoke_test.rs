//! One request of each kind through a running deployment, checked at both ends.

use super::DEMO_KEY;
use super::call::{Reply, call};
use super::deployment::Deployment;
use eyre::ensure;

/// The model request.
pub(super) const CHAT: &str = r#"{"model":"burl-notes","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Figure notes for a spalted maple burl"}]}"#;
/// Path of the reservations.
pub(super) const RESERVATIONS: &str = "/s/order-desk/reservations";
/// The reservation.
pub(super) const LOT: &str = r#"{"lot":"maple burl 17"}"#;
const KEY: &str = "trial-1";
const DONE: &str = "data: [DONE]";

/// Sends the requests, prints what came back and what ran, and compares.
///
/// # Errors
///
/// Fails when an answer or what ran differs from what it should be.
pub(super) async fn run(deployment: &Deployment) -> eyre::Result<()> {
    let chat = chat(deployment).await?;
    show("streamed model request", &chat);
    let first = reserve(deployment).await?;
    show("reservation", &first);
    let again = reserve(deployment).await?;
    show("the same reservation sent again", &again);
    let ran = deployment.service_call_count(KEY, RESERVATION_AT_TARGET);
    println!("seen at the targets: the reservation ran {ran} time(s)");

    ensure!(chat.status == 200, "the model request got {}", chat.status);
    ensure!(
        chat.body.trim_end().ends_with(DONE),
        "the stream of the model request did not end in [DONE]"
    );
    ensure!(first.status < 300, "the reservation got {}", first.status);
    ensure!(first == again, "the second answer differs from the first");
    ensure!(ran == 1, "the reservation ran {ran} times");
    Ok(())
}

/// The path as the service sees it, below its name.
const RESERVATION_AT_TARGET: &str = "/reservations";

async fn chat(deployment: &Deployment) -> eyre::Result<Reply> {
    let bearer = format!("Bearer {DEMO_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    let entry = deployment.entry_address();
    call(entry, "POST", "/v1/chat/completions", &headers, CHAT).await
}

async fn reserve(deployment: &Deployment) -> eyre::Result<Reply> {
    let bearer = format!("Bearer {DEMO_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
        ("idempotency-key", KEY),
    ];
    call(
        deployment.entry_address(),
        "POST",
        RESERVATIONS,
        &headers,
        LOT,
    )
    .await
}

fn show(what: &str, reply: &Reply) {
    println!("== {what}: {}", reply.status);
    println!("{}", reply.body.trim_end());
}
