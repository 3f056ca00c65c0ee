//! Answers of chat completions when something goes wrong on the way.

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
    Caller, Cluster, Form, KEY, Script, StubAgent, accept, announcement, answer, chat, chunk,
    events, eventually, finish, head, refuse, say,
};

const SSE: &str = "text/event-stream";
const DONE: &str = "data: [DONE]\n\n";

async fn offered() -> Cluster {
    let mut cluster = Cluster::start().await;
    cluster.offer(&["advisor-01", "advisor-02"], &[]).await;
    cluster
}

async fn ready(cluster: &Cluster) -> (entry::Entry, Caller) {
    // Nothing may pass only because an attempt was given up as stalled.
    let timing = json!({
        "beat_ms": 200, "start_ms": 500, "link_grace_ms": 5000, "stall_ms": 300_000,
    });
    let entry = cluster.entry("entry-1", timing, json!({})).await;
    let caller = Caller::new(entry.http_address(), KEY);
    caller.until_ready().await;
    (entry, caller)
}

/// Sends chats until the stubs are known to the entry and answer.
async fn first_answer(caller: &Caller, form: Form) -> crate::support::Reply {
    eventually("a target is chosen", async || {
        let reply = caller.chat("draft", 9, form).await;
        let unknown = reply.status == 503 && reply.text().contains("no live target");
        (!unknown).then_some(reply)
    })
    .await
}

/// A script that answers each start by a count of those before.
fn by_turn(turn: impl Fn(u32, &Start) -> (Body, Vec<Body>) + Send + Sync + 'static) -> Script {
    let count = AtomicU32::new(0);
    Arc::new(move |_, incoming| {
        if let Body::Start(start) = &incoming.body {
            let (reply, frames) = turn(count.fetch_add(1, Ordering::SeqCst), start);
            say(incoming, reply, frames);
        }
    })
}

/// The target dies in mid-stream. The dispatcher reads on, without a repeated
/// word and without a gap.
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_elsewhere() {
    let cluster = offered().await;
    let script = by_turn(|turn, start| {
        let id = &start.attempt;
        if turn == 0 {
            let text = events(0..3, "data: {\"n\":3");
            let end = finish(id, &text, End::Lost);
            return (accept(start), vec![head(id, SSE), chunk(id, &text, 0), end]);
        }
        (accept(start), answer(id, SSE, &events(3..6, DONE)))
    });
    let one = StubAgent::engine(&cluster, "advisor-01", Arc::clone(&script)).await;
    let two = StubAgent::engine(&cluster, "advisor-02", script).await;
    let (_entry, caller) = ready(&cluster).await;
    let reply = first_answer(&caller, Form::Streamed).await;
    assert!(reply.whole);
    assert_eq!(reply.text(), events(0..6, DONE));
    let resumed: Vec<u64> = [one.starts(), two.starts()]
        .concat()
        .iter()
        .map(|start| start.resume_events)
        .collect();
    assert!(resumed.contains(&3), "{resumed:?}");
}

/// The target dies in mid-stream and nothing can resume. A caller who took
/// the half answer for a whole one would send a wrong summary on.
#[tokio::test(flavor = "multi_thread")]
async fn stream_broken_off_visibly() {
    let cluster = offered().await;
    let script = by_turn(|_, start| {
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
    let entry = cluster.entry("entry-1", timing, json!({})).await;
    let caller = Caller::new(entry.http_address(), KEY);
    caller.until_ready().await;
    let reply = first_answer(&caller, Form::Streamed).await;
    assert!(!reply.whole);
    assert!(
        reply
            .text()
            .starts_with(&events(0..3, "event: error\ndata: {"))
    );
    assert!(reply.text().contains("\"ran\":\"yes\""), "{}", reply.text());
    assert!(!reply.text().contains("[DONE]"));
    assert_eq!(stub.starts().len(), 1);
}

/// The engine closes its stream properly but too early. Its agent can't see
/// that; the caller would miss the end of the note.
#[tokio::test(flavor = "multi_thread")]
async fn stream_ends_early() {
    let cluster = offered().await;
    let script = by_turn(|turn, start| {
        let id = &start.attempt;
        let text = if turn == 0 {
            events(0..2, "")
        } else {
            events(2..4, DONE)
        };
        (accept(start), answer(id, SSE, &text))
    });
    let _stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = ready(&cluster).await;
    let reply = first_answer(&caller, Form::Streamed).await;
    assert!(reply.whole);
    assert_eq!(reply.text(), events(0..4, DONE));
}

/// Frames arrive late, doubled, out of order and some belong to somebody
/// else. The caller gets its own answer, each byte once.
#[tokio::test(flavor = "multi_thread")]
async fn stream_frames_disordered() {
    let cluster = offered().await;
    let script = by_turn(|_, start| {
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
    let (_entry, caller) = ready(&cluster).await;
    let reply = first_answer(&caller, Form::Streamed).await;
    assert!(reply.whole);
    assert_eq!(reply.text(), events(0..5, DONE));
}

/// Something between entry and agent loses track of their connection: it
/// stays open and carries nothing, while new ones work. Without a fresh one
/// the caller would wait until its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn stream_silent_connection() {
    let cluster = offered().await;
    let relay = Relay::start().await.unwrap();
    let text = events(0..6, DONE);
    let (script_text, script_relay) = (text.clone(), relay.clone());
    let script: Script = Arc::new(move |_, incoming| match &incoming.body {
        Body::Start(start) => {
            let id = &start.attempt;
            let part = chunk(id, &script_text[..33], 0);
            say(incoming, accept(start), vec![head(id, SSE), part]);
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
            say(incoming, reply, vec![rest, end]);
        }
        _ => {}
    });
    let target = wire::proto::Announcement {
        group: "blank-advisor".to_owned(),
        ..announcement("advisor-01")
    };
    let stub = StubAgent::start(&cluster, target, Some(&relay), script).await;
    let (_entry, caller) = ready(&cluster).await;
    let reply = first_answer(&caller, Form::Streamed).await;
    assert!(reply.whole, "{}", reply.text());
    assert_eq!(reply.text(), text);
    assert_eq!(stub.starts().len(), 1);
}

/// A byte of the answer was damaged on the way. It must not be given as if it
/// were whole.
#[tokio::test(flavor = "multi_thread")]
async fn whole_damaged_retried() {
    let cluster = offered().await;
    let script = by_turn(|turn, start| {
        let id = &start.attempt;
        let mut frames = answer(id, "application/json", "{\"n\":1}");
        if turn == 0 {
            frames[1] = chunk(id, "{\"n\":9}", 0);
        }
        (accept(start), frames)
    });
    let _stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = ready(&cluster).await;
    let reply = first_answer(&caller, Form::Whole).await;
    assert_eq!((reply.status, reply.text().as_str()), (200, "{\"n\":1}"));
}

/// A release note is in force at the agent and not yet at the entry. Work
/// goes on as soon as both have it; the caller notices nothing.
#[tokio::test(flavor = "multi_thread")]
async fn start_refused_for_note() {
    let cluster = offered().await;
    let script = by_turn(|turn, start| {
        if turn < 5 {
            return (refuse(start, Refusal::Note), Vec::new());
        }
        let id = &start.attempt;
        (accept(start), answer(id, "application/json", "{}"))
    });
    let stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = ready(&cluster).await;
    assert_eq!(first_answer(&caller, Form::Whole).await.status, 200);
    assert_eq!(stub.starts().len(), 6);
}

/// Each target refuses. The caller is told at once that nothing ran and when
/// to come back, and the attempts are bounded.
#[tokio::test(flavor = "multi_thread")]
async fn start_refused_everywhere() {
    let cluster = offered().await;
    let script = by_turn(|_, start| (refuse(start, Refusal::Leaving), Vec::new()));
    let stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = ready(&cluster).await;
    let reply = first_answer(&caller, Form::Streamed).await;
    assert_eq!((reply.status, reply.ran().as_str()), (503, "no"));
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(stub.starts().len(), 3);
}

/// The answer to a start is lost. Whether it runs is settled with the agent:
/// here it had not begun, is barred, and the request is run by another
/// attempt. Otherwise it might run twice at once.
#[tokio::test(flavor = "multi_thread")]
async fn start_reply_lost() {
    let cluster = offered().await;
    let count = AtomicU32::new(0);
    let script: Script = Arc::new(move |stub, incoming| match &incoming.body {
        Body::Start(start) if count.fetch_add(1, Ordering::SeqCst) > 0 => {
            let frames = answer(&start.attempt, "application/json", "{}");
            say(incoming, accept(start), frames);
        }
        Body::Bar(bar) => {
            let reply = Body::BarReply(BarReply {
                attempt: bar.attempt.clone(),
                state: AttemptState::Barred.into(),
                incarnation: stub.incarnation,
            });
            say(incoming, reply, Vec::new());
        }
        _ => {}
    });
    let stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = ready(&cluster).await;
    assert_eq!(first_answer(&caller, Form::Whole).await.status, 200);
    let starts = stub.starts();
    let barred = stub.picked(|body| match body {
        Body::Bar(bar) => Some(bar.attempt.clone()),
        _ => None,
    });
    assert_eq!(barred, [starts[0].attempt.clone()]);
    assert_eq!(starts.len(), 2);
}

/// A caller hangs up in mid-stream. Its place is needed by others, so the
/// attempt is cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn stream_caller_goes_away() {
    let cluster = offered().await;
    let script = by_turn(|_, start| {
        let id = &start.attempt;
        let part = chunk(id, &events(0..3, ""), 0);
        (accept(start), vec![head(id, SSE), part])
    });
    let stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = ready(&cluster).await;
    let body = chat("draft", 9, Form::Streamed);
    let response = eventually("the stream is open", async || {
        let path = "/v1/chat/completions";
        let response = caller.open(Method::POST, path, &[], body.clone()).await;
        response.ok().filter(|response| response.status() == 200)
    })
    .await;
    // All that was sent is read: nothing but the hang-up tells the entry.
    let mut body = response.into_body();
    let mut read = 0;
    while read < events(0..3, "").len() {
        let frame = body.frame().await.unwrap().unwrap();
        read += frame.data_ref().map_or(0, Bytes::len);
    }
    drop(body);
    eventually("the attempt is cancelled", async || {
        let cancelled = stub.picked(|body| match body {
            Body::Cancel(cancel) => Some(cancel.attempt.clone()),
            _ => None,
        });
        (cancelled.last() == stub.starts().last().map(|start| &start.attempt)).then_some(())
    })
    .await;
}

/// A target takes the request and never answers. The caller hears so at its
/// own deadline, and that the request may have run.
#[tokio::test(flavor = "multi_thread")]
async fn whole_past_deadline() {
    let cluster = offered().await;
    let script = by_turn(|_, start| (accept(start), Vec::new()));
    let _stub = StubAgent::engine(&cluster, "advisor-01", script).await;
    let (_entry, caller) = ready(&cluster).await;
    let headers = [("x-request-timeout-ms", "700")];
    let body = chat("draft", 9, Form::Whole);
    let reply = eventually("a target is chosen", async || {
        let reply = caller
            .post("/v1/chat/completions", &headers, body.clone())
            .await;
        (reply.status == 504).then_some(reply)
    })
    .await;
    assert_eq!(reply.ran(), "unknown");
}

/// One request crashes each target that runs it, and control hears of the
/// crashes late. Tried again by what was known before, it would take down a
/// third target.
#[tokio::test(flavor = "multi_thread")]
async fn whole_crashes_two_targets() {
    let cluster = offered().await;
    let script = by_turn(|_, start| {
        let end = finish(&start.attempt, "", End::Crashed);
        (accept(start), vec![end])
    });
    let one = StubAgent::engine(&cluster, "advisor-01", Arc::clone(&script)).await;
    let two = StubAgent::engine(&cluster, "advisor-02", script).await;
    let (_entry, caller) = ready(&cluster).await;
    let reply = first_answer(&caller, Form::Whole).await;
    assert_eq!((reply.status, reply.ran().as_str()), (422, "unknown"));
    let again = caller.chat("draft", 9, Form::Whole).await;
    assert_eq!((again.status, again.ran().as_str()), (422, "no"));
    assert_eq!(one.starts().len() + two.starts().len(), 2);
}
