//! Sends one request of each kind through a deployment and checks the responses and
//! what reached the targets.

use super::DEMO_KEY;
use super::call::{Reply, send_request};
use super::deployment::Deployment;
use eyre::ensure;

/// Body of the model request.
pub(super) const CHAT_BODY: &str = r#"{"model":"burl-notes","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Figure notes for a spalted maple burl"}]}"#;
/// Path of the reservations at the entry.
pub(super) const RESERVATIONS_PATH: &str = "/s/order-desk/reservations";
/// Body of the reservation.
pub(super) const RESERVATION_BODY: &str = r#"{"lot":"maple burl 17"}"#;
const IDEMPOTENCY_KEY: &str = "trial-1";
const END_OF_STREAM: &str = "data: [DONE]";

/// Sends the requests, prints the responses and the number of calls that ran, and
/// checks them.
///
/// # Errors
///
/// Fails when a response or the number of calls that ran is wrong.
pub(super) async fn run(deployment: &Deployment) -> eyre::Result<()> {
    let chat = chat(deployment).await?;
    print_reply("streamed model request", &chat);
    let first = reserve(deployment).await?;
    print_reply("reservation", &first);
    let repeated = reserve(deployment).await?;
    print_reply("the same reservation sent again", &repeated);
    let run_count = deployment.service_call_count(IDEMPOTENCY_KEY, SERVICE_RESERVATIONS_PATH);
    println!("seen at the targets: the reservation ran {run_count} time(s)");

    ensure!(
        chat.status == 200,
        "the model request returned {}",
        chat.status
    );
    ensure!(
        chat.body.trim_end().ends_with(END_OF_STREAM),
        "the stream of the model request did not end in [DONE]"
    );
    ensure!(
        first.status < 300,
        "the reservation returned {}",
        first.status
    );
    ensure!(
        first == repeated,
        "the second response differs from the first"
    );
    ensure!(run_count == 1, "the reservation ran {run_count} times");
    Ok(())
}

/// Path of the reservations at the service: without the `/s/order-desk` prefix.
const SERVICE_RESERVATIONS_PATH: &str = "/reservations";

async fn chat(deployment: &Deployment) -> eyre::Result<Reply> {
    let bearer = format!("Bearer {DEMO_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    let entry = deployment.entry_address();
    send_request(entry, "POST", "/v1/chat/completions", &headers, CHAT_BODY).await
}

async fn reserve(deployment: &Deployment) -> eyre::Result<Reply> {
    let bearer = format!("Bearer {DEMO_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
        ("idempotency-key", IDEMPOTENCY_KEY),
    ];
    send_request(
        deployment.entry_address(),
        "POST",
        RESERVATIONS_PATH,
        &headers,
        RESERVATION_BODY,
    )
    .await
}

fn print_reply(title: &str, reply: &Reply) {
    println!("== {title}: {}", reply.status);
    println!("{}", reply.body.trim_end());
}
