//! A complete session through the real processes, compared with a snapshot.

use crate::support::{Answer, Cluster, ClusterPlan, bearer, chat, get, request, reserve};
use serde_json::{Value, json};
use std::fmt::Write;

/// The transcript of a session, with values that differ between runs redacted.
#[derive(Default)]
struct Session(String);

impl Session {
    fn answer(&mut self, title: &str, answer: &Answer) {
        let kind = answer.header("content-type").to_owned();
        let retry = answer.header("retry-after").to_owned();
        writeln!(self.0, "== {title}\n{} {kind}", answer.status).unwrap();
        if !retry.is_empty() {
            writeln!(self.0, "retry-after: given").unwrap();
        }
        let body = answer.text();
        match serde_json::from_str::<Value>(&body) {
            Ok(mut value) => {
                redact(&mut value);
                sort_addresses(&mut value);
                writeln!(self.0, "{value:#}").unwrap();
            }
            Err(_) => writeln!(self.0, "{}", body.trim_end()).unwrap(),
        }
    }

    fn output(&mut self, title: &str, output: &std::process::Output) {
        let code = output.status.code().unwrap();
        let text = String::from_utf8_lossy(&output.stdout);
        let err = String::from_utf8_lossy(&output.stderr);
        writeln!(self.0, "== {title}\nexit code {code}\n{text}{err}").unwrap();
    }
}

/// Sorts the addresses, since entries outside the caller's availability zone are listed in
/// random order for each caller.
fn sort_addresses(value: &mut Value) {
    let own = value["zone"].clone();
    if let Some(addresses) = value["addresses"].as_array_mut() {
        assert_eq!(addresses[0]["zone"], own);
        addresses.sort_by_key(|row| (row["zone"] != own, row["zone"].to_string()));
    }
}

/// Replaces ids, addresses and times.
fn redact(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let volatile = ["request", "address", "addresses", "instance"];
                if volatile.contains(&key.as_str()) && value.is_string() {
                    *value = json!("<redacted>");
                } else {
                    redact(value);
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(redact),
        _ => {}
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn session_golden() {
    let cluster = Cluster::start(ClusterPlan::default()).await;
    let mut session = Session::default();

    let note = cluster.folder.path().join("note-1.json");
    std::fs::write(&note, cluster.first_note().to_string()).unwrap();
    let note = note.to_str().unwrap();
    let sent = cluster.client("entry-1", &["note", "send", note]).await;
    session.output("lovageramp note send", &sent);
    cluster.submit_first_note().await;
    cluster.until_in_force("entry-2", 1).await;
    let again = cluster.client("control-2", &["note", "send", note]).await;
    session.output("the same note again, at a control", &again);

    let addresses = get(cluster.http("entry-1"), "/v1/addresses", &[])
        .await
        .unwrap();
    session.answer("GET /v1/addresses", &addresses);
    let first = addresses.json()["addresses"][0]["address"].clone();
    let entry = first.as_str().unwrap().parse().unwrap();

    let streamed = chat(entry, "huber", "Figure notes for a burl", true)
        .await
        .unwrap();
    session.answer("streamed chat completion", &streamed);
    let unstreamed = chat(entry, "huber", "Figure notes for a burl", false)
        .await
        .unwrap();
    session.answer("chat completion", &unstreamed);

    let reserved = reserve(entry, "huber", "lot-17", "maple burl 17")
        .await
        .unwrap();
    session.answer("reservation", &reserved);
    let other = cluster.http("entry-3");
    let again = reserve(other, "huber", "lot-17", "maple burl 17")
        .await
        .unwrap();
    session.answer("the same reservation through another entry", &again);
    assert_eq!(again.body, reserved.body);
    let changed = reserve(other, "huber", "lot-17", "maple burl 18")
        .await
        .unwrap();
    session.answer("the same key with another body", &changed);
    writeln!(
        session.0,
        "== the reservation ran {} time(s)",
        cluster.ran("lot-17").await
    )
    .unwrap();

    errors(&cluster, &mut session).await;
    insta::assert_snapshot!(session.0);
}

/// Records the answers to invalid requests.
async fn errors(cluster: &Cluster, session: &mut Session) {
    let entry = cluster.http("entry-2");
    let post = "POST";
    let path = "/v1/chat/completions";
    let key = bearer("huber");
    let headers = [("authorization", key.as_str())];
    let cases = [
        ("no key", post, path, &[][..], "{}".to_owned()),
        (
            "a wrong key",
            post,
            path,
            &[("authorization", "Bearer wrong")][..],
            "{}".to_owned(),
        ),
        (
            "an unknown model",
            post,
            path,
            &headers[..],
            json!({"model": "oak", "messages": []}).to_string(),
        ),
        (
            "malformed JSON",
            post,
            path,
            &headers[..],
            "{\"model\": \n oak}".to_owned(),
        ),
        (
            "a body too large",
            post,
            path,
            &headers[..],
            "x".repeat(64 << 20),
        ),
        (
            "an unknown service",
            "GET",
            "/s/oak/stock",
            &headers[..],
            String::new(),
        ),
        (
            "no idempotency key",
            post,
            "/s/order-desk/reservations",
            &headers[..],
            "lot".to_owned(),
        ),
        (
            "an unknown path",
            "GET",
            "/v2/nothing",
            &headers[..],
            String::new(),
        ),
        (
            "operators' part without the token",
            "GET",
            "/v1/operator/status",
            &headers[..],
            String::new(),
        ),
    ];
    for (title, method, path, headers, body) in cases {
        let answer = request(entry, method, path, headers, body).await.unwrap();
        session.answer(title, &answer);
    }
}
