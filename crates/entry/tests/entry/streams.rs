//! Failures of chat completions.

use fake::Relay;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::json;
use wire::proto::frame::Body;
use wire::proto::{AnswerChunk, AttachReply, AttemptState, BarReply, End, Refusal, Start};

use crate::support::{
    AnswerMode, Caller, Cluster, KEY, Script, StubAgent, accept, announcement, answer, chat, chunk,
    events, eventually, finish, head, refuse, send_reply,
};

const SSE: &str = "text/event-stream";
const DONE: &str = "data: [DONE]\n\n";

async fn cluster_offering_advisors() -> Cluster {
    let mut cluster = Cluster::start().await;
    cluster.offer(&["advisor-01", "advisor-02"], &[]).await;
    cluster
}

async fn start_ready_entry(cluster: &Cluster) -> (entry::Entry, Caller) {
    // The stall timeout is long so that no test passes only because an attempt stalled.
    let timing = json!({
        "beat_ms": 200, "start_ms": 500, "link_grace_ms": 5000, "stall_ms": 300_000,
    });
    let entry = cluster.start_entry("entry-1", timing, json!({})).await;
    let caller = Caller::new(entry.http_address(), KEY);
    caller.until_ready().await;
    (entry, caller)
}

/// Sends chat completions until the entry knows the stub targets, and returns the
/// answer.
async fn retry_until_target_known(caller: &Caller, mode: AnswerMode) -> crate::support::Reply {
    eventually("a target is chosen", async || {
        let reply = caller.chat("draft", 9, mode).await;
        let unknown = reply.status == 503 && reply.text().contains("no live target");
        (!unknown).then_some(reply)
    })
    .await
}

/// A script that answers each start by the number of starts before it.
fn script_by_turn(
    turn: impl Fn(u32, &Start) -> (Body, Vec<Body>) + Send + Sync + 'static,
) -> Script {
    let count = AtomicU32::new(0);
    Arc::new(move |_, incoming| {
        if let Body::Start(start) = &incoming.body {
            let (reply, frames) = turn(count.fetch_add(1, Ordering::SeqCst), start);
            send_reply(incoming, reply, frames);
        }
    })
}

/// The target crashes in mid-stream. The caller receives the rest from another target,
/// without repetitions or gaps.
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_elsewhere() {
    let cluster = cluster_offering_advisors().await;
    let script = script_by_turn(|turn, start| {
        let id = &start.attempt;
        if turn == 0 {
            let text = events(0..3, "data: {\"n\":3");
            let end = finish(id, &text, End::Lost);
            return (accept(start), vec![head(id, SSE), chunk(id, &text, 0), end]);
        }
        (accept(start), answer(id, SSE, &events(3..6, DONE)))
    });
    let first = StubAgent::engine(&cluster, "advisor-01", Arc::clone(&script)).await;
    let second = StubAgent::engine(&cluster, "advisor-02", script).await;
    let (_entry, caller) = start_ready_entry(&cluster).await;
    let reply = retry_until_target_known(&caller, AnswerMode::Streamed).await;
    assert!(reply.complete);
    assert_eq!(reply.text(), events(0..6, DONE));
    let resumed: Vec<u64> = [first.starts(), second.starts()]
        .concat()
        .iter()
        .map(|start| start.resume_events)
        .collect();
    assert!(resumed.contains(&3), "{resumed:?}");
}

/// The target crashes in mid-stream and no other target can resume. The caller must be
/// able to tell that the answer is incomplete.
#[tokio::test(flavor = "multi_thread")]
async fn stream_aborted_visibly() {
    let cluster = cluster_offering_advisors().await;
    let script = script_by_turn(|_, start| {
        let id = &start.attempt;
        let text = events(0..3, "");
        let end = finish(id, &text, End::Crashed);
        (accept(start), vec![head(id, SSE), chunk(id, &text, 0), end])
    });
    let target = wire::proto::Announcement {
        group: "blank-advisor".to_owned(),
        ..announcement("advisor-01")
    };
    let stub = StubAgent::start(&cluster, target, None, script).await;
    let timing = json!({"queue_wait_ms": 300});
    let entry = cluster.start_entry("entry-1", timing, json!({})).await;
    let caller = Caller::new(entry.http_address(), KEY);
    caller.until_ready().await;
    let reply = retry_until_target_known(&caller, AnswerMode::Streamed).await;
    assert!(!reply.complete);
    assert!(
        reply
            .text()
            .starts_with(&events(0..3, "event: error\ndata: {"))
    );
    assert!(reply.text().contains("\"ran\":\"yes\""), "{}", reply.text());
    assert!(!reply.text().contains("[DONE]"));
    assert_eq!(stub.starts().len(), 1);
}

/// The engine ends its stream properly but too early, which its agent cannot detect.
/// The caller must still get the complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn stream_ends_early() {
    let cluster = cluster_offering_advisors().await;
    let script = script_by_turn(|turn, start| {
        let id = &start.attempt;
        let text = if turn == 0 {
            events(0..2, "")
        } else {
            events(2..4, DONE)
        };
        (accept(start), answer(id, SSE, &text))
    });
    let _stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = start_ready_entry(&cluster).await;
    let reply = retry_until_target_known(&caller, AnswerMode::Streamed).await;
    assert!(reply.complete);
    assert_eq!(reply.text(), events(0..4, DONE));
}

/// Frames arrive late, duplicated, out of order and for another attempt. The caller
/// gets its own answer, each byte once.
#[tokio::test(flavor = "multi_thread")]
async fn stream_frames_reordered() {
    let cluster = cluster_offering_advisors().await;
    let script = script_by_turn(|_, start| {
        let id = &start.attempt;
        let text = events(0..5, DONE);
        let foreign = AnswerChunk {
            attempt: Bytes::from_static(b"somebody else's."),
            offset: 0,
            data: Bytes::from_static(b"data: secret\n\n"),
        };
        let frames = vec![
            chunk(id, &text, 30),
            Body::AnswerChunk(foreign),
            finish(id, &text, End::Whole),
            head(id, SSE),
            chunk(id, &text[..20], 0),
            chunk(id, &text[..20], 0),
            chunk(id, &text[..40], 7),
            head(id, SSE),
            chunk(id, &text, 0),
            finish(id, &text, End::Whole),
        ];
        (accept(start), frames)
    });
    let _stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = start_ready_entry(&cluster).await;
    let reply = retry_until_target_known(&caller, AnswerMode::Streamed).await;
    assert!(reply.complete);
    assert_eq!(reply.text(), events(0..5, DONE));
}

/// The connection between entry and agent stays open but carries no data, while new
/// connections work. Without a new connection, the caller would wait until its
/// deadline.
#[tokio::test(flavor = "multi_thread")]
async fn stream_silent_connection() {
    let cluster = cluster_offering_advisors().await;
    let relay = Relay::start().await.unwrap();
    let text = events(0..6, DONE);
    let (script_text, script_relay) = (text.clone(), relay.clone());
    let script: Script = Arc::new(move |_, incoming| match &incoming.body {
        Body::Start(start) => {
            let id = &start.attempt;
            let part = chunk(id, &script_text[..33], 0);
            send_reply(incoming, accept(start), vec![head(id, SSE), part]);
            let relay = script_relay.clone();
            tokio::spawn(async move {
                tokio::time::sleep(std::time::Duration::from_millis(300)).await;
                relay.discard_both_ways();
            });
        }
        Body::Attach(attach) => {
            let id = &attach.attempt;
            let offset = usize::try_from(attach.offset).unwrap();
            let reply = Body::AttachReply(AttachReply {
                attempt: id.clone(),
                state: AttemptState::Running.into(),
            });
            let rest = chunk(id, &script_text, offset);
            let end = finish(id, &script_text, End::Whole);
            send_reply(incoming, reply, vec![rest, end]);
        }
        _ => {}
    });
    let target = wire::proto::Announcement {
        group: "blank-advisor".to_owned(),
        ..announcement("advisor-01")
    };
    let stub = StubAgent::start(&cluster, target, Some(&relay), script).await;
    let (_entry, caller) = start_ready_entry(&cluster).await;
    let reply = retry_until_target_known(&caller, AnswerMode::Streamed).await;
    assert!(reply.complete, "{}", reply.text());
    assert_eq!(reply.text(), text);
    assert_eq!(stub.starts().len(), 1);
}

/// A byte of the answer is corrupted in transit. The answer must not be returned as
/// complete.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_answer_retried() {
    let cluster = cluster_offering_advisors().await;
    let script = script_by_turn(|turn, start| {
        let id = &start.attempt;
        let mut frames = answer(id, "application/json", "{\"n\":1}");
        if turn == 0 {
            frames[1] = chunk(id, "{\"n\":9}", 0);
        }
        (accept(start), frames)
    });
    let _stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = start_ready_entry(&cluster).await;
    let reply = retry_until_target_known(&caller, AnswerMode::Unstreamed).await;
    assert_eq!((reply.status, reply.text().as_str()), (200, "{\"n\":1}"));
}

/// A release note is in force at the agent and not yet at the entry. The request
/// continues once both have it, and the caller notices nothing.
#[tokio::test(flavor = "multi_thread")]
async fn start_refused_for_newer_note() {
    let cluster = cluster_offering_advisors().await;
    let script = script_by_turn(|turn, start| {
        if turn < 5 {
            return (refuse(start, Refusal::Note), Vec::new());
        }
        let id = &start.attempt;
        (accept(start), answer(id, "application/json", "{}"))
    });
    let stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = start_ready_entry(&cluster).await;
    assert_eq!(
        retry_until_target_known(&caller, AnswerMode::Unstreamed)
            .await
            .status,
        200
    );
    assert_eq!(stub.starts().len(), 6);
}

/// Each target refuses. The caller is told at once that nothing ran and when to retry,
/// and the number of attempts is bounded.
#[tokio::test(flavor = "multi_thread")]
async fn start_refused_everywhere() {
    let cluster = cluster_offering_advisors().await;
    let script = script_by_turn(|_, start| (refuse(start, Refusal::Leaving), Vec::new()));
    let stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = start_ready_entry(&cluster).await;
    let reply = retry_until_target_known(&caller, AnswerMode::Streamed).await;
    assert_eq!((reply.status, reply.ran().as_str()), (503, "no"));
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(stub.starts().len(), 3);
}

/// The reply to a start is lost, and the agent has not begun the attempt. The entry
/// must have it barred before it starts another attempt, or the request could run twice
/// at once.
#[tokio::test(flavor = "multi_thread")]
async fn start_reply_lost() {
    let cluster = cluster_offering_advisors().await;
    let count = AtomicU32::new(0);
    let script: Script = Arc::new(move |stub, incoming| match &incoming.body {
        Body::Start(start) if count.fetch_add(1, Ordering::SeqCst) > 0 => {
            let frames = answer(&start.attempt, "application/json", "{}");
            send_reply(incoming, accept(start), frames);
        }
        Body::Bar(bar) => {
            let reply = Body::BarReply(BarReply {
                attempt: bar.attempt.clone(),
                state: AttemptState::Barred.into(),
                incarnation: stub.incarnation,
            });
            send_reply(incoming, reply, Vec::new());
        }
        _ => {}
    });
    let stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = start_ready_entry(&cluster).await;
    assert_eq!(
        retry_until_target_known(&caller, AnswerMode::Unstreamed)
            .await
            .status,
        200
    );
    let starts = stub.starts();
    let barred = stub.received_matching(|body| match body {
        Body::Bar(bar) => Some(bar.attempt.clone()),
        _ => None,
    });
    assert_eq!(barred, [starts[0].attempt.clone()]);
    assert_eq!(starts.len(), 2);
}

/// A caller disconnects in mid-stream. The attempt is cancelled, as others need its
/// capacity.
#[tokio::test(flavor = "multi_thread")]
async fn stream_caller_disconnects() {
    let cluster = cluster_offering_advisors().await;
    let script = script_by_turn(|_, start| {
        let id = &start.attempt;
        let part = chunk(id, &events(0..3, ""), 0);
        (accept(start), vec![head(id, SSE), part])
    });
    let stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = start_ready_entry(&cluster).await;
    let body = chat("draft", 9, AnswerMode::Streamed);
    let response = eventually("the stream is open", async || {
        let path = "/v1/chat/completions";
        let response = caller.open(Method::POST, path, &[], body.clone()).await;
        response.ok().filter(|response| response.status() == 200)
    })
    .await;
    // All sent bytes are read, so only the disconnect can tell the entry.
    let mut body = response.into_body();
    let mut read = 0;
    while read < events(0..3, "").len() {
        let frame = body.frame().await.unwrap().unwrap();
        read += frame.data_ref().map_or(0, Bytes::len);
    }
    drop(body);
    eventually("the attempt is cancelled", async || {
        let cancelled = stub.received_matching(|body| match body {
            Body::Cancel(cancel) => Some(cancel.attempt.clone()),
            _ => None,
        });
        (cancelled.last() == stub.starts().last().map(|start| &start.attempt)).then_some(())
    })
    .await;
}

/// A target accepts the request and never answers. At its deadline, the caller is told
/// that the request may have run.
#[tokio::test(flavor = "multi_thread")]
async fn answer_past_deadline() {
    let cluster = cluster_offering_advisors().await;
    let script = script_by_turn(|_, start| (accept(start), Vec::new()));
    let _stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = start_ready_entry(&cluster).await;
    let headers = [("x-request-timeout-ms", "700")];
    let body = chat("draft", 9, AnswerMode::Unstreamed);
    let reply = eventually("a target is chosen", async || {
        let reply = caller
            .post("/v1/chat/completions", &headers, body.clone())
            .await;
        (reply.status == 504).then_some(reply)
    })
    .await;
    assert_eq!(reply.ran(), "unknown");
}

/// A request crashes each target that runs it, and control learns of the crashes late.
/// A retry based on the old quarantine would crash a third target.
#[tokio::test(flavor = "multi_thread")]
async fn request_crashes_two_targets() {
    let cluster = cluster_offering_advisors().await;
    let script = script_by_turn(|_, start| {
        let end = finish(&start.attempt, "", End::Crashed);
        (accept(start), vec![end])
    });
    let first = StubAgent::engine(&cluster, "advisor-01", Arc::clone(&script)).await;
    let second = StubAgent::engine(&cluster, "advisor-02", script).await;
    let (_entry, caller) = start_ready_entry(&cluster).await;
    let reply = retry_until_target_known(&caller, AnswerMode::Unstreamed).await;
    assert_eq!((reply.status, reply.ran().as_str()), (422, "unknown"));
    let again = caller.chat("draft", 9, AnswerMode::Unstreamed).await;
    assert_eq!((again.status, again.ran().as_str()), (422, "no"));
    assert_eq!(first.starts().len() + second.starts().len(), 2);
}
