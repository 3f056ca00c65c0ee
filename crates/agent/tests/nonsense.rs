//! Malformed input from the target and from links.

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agent::engine::{Call, ClientSettings, MapCommand, TargetClient, TargetKind};
use fake::{Engine, EngineSettings};
use quickcheck::{Arbitrary, Gen};
use serde_json::json;
use support::{Fixture, id, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use wire::proto::frame::Body;
use wire::proto::{Attach, Bar, Cancel, Header, Notes, Progress, Renewed, Start};

/// Valid starts of HTTP responses, after which a client reads on.
const HEADS: [&str; 6] = [
    "",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 40\r\n\r\ndata: [DONE]\n\n",
    "HTTP/1.1 409 Conflict\r\ncontent-length: 3\r\n\r\n",
];

/// A target that answers each connection with the given bytes.
async fn garbage_target(answer: Arc<Mutex<Vec<u8>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.lock().unwrap().clone();
            tokio::spawn(async move {
                let mut asked = [0; 1024];
                let _ = stream.read(&mut asked).await;
                let _ = stream.write_all(&answer).await;
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn target_client_arbitrary_bytes() {
    // The target is faulty, or another process answers at its address. Each call
    // must end in bounded time, no truncated response may pass for a complete one,
    // and nothing may panic.
    let answer = Arc::new(Mutex::new(Vec::new()));
    let target = garbage_target(Arc::clone(&answer)).await;
    let second = Duration::from_secs(1);
    let cfg = ClientSettings {
        connect_timeout: second,
        head_timeout: second,
        progress_timeout: second,
        request_timeout: second,
    };
    let mut random = Gen::from_size_and_seed(200, 31);
    for round in 0..300 {
        let mut bytes = HEADS[round % HEADS.len()].as_bytes().to_vec();
        bytes.extend(Vec::<u8>::arbitrary(&mut random));
        *answer.lock().unwrap() = bytes;
        let kind = if round % 2 == 0 {
            TargetKind::Engine
        } else {
            TargetKind::Service
        };
        let client = TargetClient::new(target, kind, cfg.clone());
        let call = Call {
            method: "POST".into(),
            path: "/lots".into(),
            ..Call::default()
        };
        if let Ok(mut reply) = client.call(&call, || ()).await {
            while let Ok(Some(_)) = reply.next().await {}
            let _ = reply.usage();
        }
        let _ = client.load().await;
        let _ = client.profile().await;
        let _ = client.cache(3).await;
        let _ = client.map().await;
        let hold = MapCommand::Hold {
            version: 1,
            step: 2,
        };
        let _ = client.send_command(1, &hold).await;
    }
}

/// Guards against a status that no answer has, of a target in trouble, being passed on as one.
#[tokio::test(flavor = "multi_thread")]
async fn target_client_status_of_no_answer() {
    let answer = Arc::new(Mutex::new(Vec::new()));
    let target = garbage_target(Arc::clone(&answer)).await;
    let second = Duration::from_secs(1);
    let cfg = ClientSettings {
        connect_timeout: second,
        head_timeout: second,
        progress_timeout: second,
        request_timeout: second,
    };
    for kind in [TargetKind::Engine, TargetKind::Service] {
        let client = TargetClient::new(target, kind, cfg.clone());
        for status in ["000", "099", "101", "600", "999"] {
            *answer.lock().unwrap() =
                format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nhi").into_bytes();
            let call = Call {
                method: "POST".into(),
                path: "/lots".into(),
                ..Call::default()
            };
            assert!(client.call(&call, || ()).await.is_err(), "{status}");
        }
    }
}

fn arbitrary_bytes(random: &mut Gen) -> bytes::Bytes {
    // Sometimes an id of the right length.
    match u8::arbitrary(random) % 3 {
        0 => id(u128::from(u8::arbitrary(random))),
        _ => Vec::<u8>::arbitrary(random).into(),
    }
}

fn arbitrary_start(fixture: &Fixture, random: &mut Gen) -> Start {
    let header = Header {
        name: String::arbitrary(random),
        value: arbitrary_bytes(random),
    };
    let incarnation = fixture.agent.incarnation();
    Start {
        attempt: arbitrary_bytes(random),
        request: arbitrary_bytes(random),
        incarnation: incarnation.wrapping_add(u64::from(bool::arbitrary(random))),
        note: u64::from(u8::arbitrary(random) % 3),
        group: if bool::arbitrary(random) {
            support::GROUP.into()
        } else {
            String::arbitrary(random)
        },
        model: "burl-notes".into(),
        rank: u32::arbitrary(random),
        deadline_ms: u32::arbitrary(random) % 50,
        method: String::arbitrary(random),
        path: String::arbitrary(random),
        headers: vec![header],
        body: arbitrary_bytes(random),
        traceparent: String::arbitrary(random),
        resume_events: u64::arbitrary(random),
        keep: bool::arbitrary(random),
        fingerprint: arbitrary_bytes(random),
        ..Start::default()
    }
}

fn arbitrary_message(fixture: &Fixture, random: &mut Gen) -> Body {
    match u8::arbitrary(random) % 7 {
        0 | 1 => Body::Start(arbitrary_start(fixture, random)),
        2 => Body::Attach(Attach {
            attempt: arbitrary_bytes(random),
            offset: u64::arbitrary(random),
        }),
        3 => Body::Bar(Bar {
            attempt: arbitrary_bytes(random),
        }),
        4 => Body::Cancel(Cancel {
            attempt: arbitrary_bytes(random),
        }),
        5 => Body::Progress(Progress {
            attempt: arbitrary_bytes(random),
            offset: u64::arbitrary(random),
            done: bool::arbitrary(random),
        }),
        _ if bool::arbitrary(random) => Body::Notes(Notes::default()),
        _ => Body::Renewed(Renewed::default()),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn links_arbitrary_messages() {
    // A faulty entry, or one of another version, sends malformed messages,
    // requests as one-way messages and one-way messages as requests. The agent must
    // keep serving other entries.
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    let fixture = Fixture::engine(&engine, json!({})).await;
    let broken = fixture.connect_entry().await;
    let mut random = Gen::from_size_and_seed(40, 32);
    for _ in 0..1_500 {
        let body = arbitrary_message(&fixture, &mut random);
        if bool::arbitrary(&mut random) {
            broken.link.send(body).await.unwrap();
        } else {
            let _ = broken.link.call(body, Duration::from_millis(2)).await;
        }
    }
    let entry = fixture.connect_entry().await;
    let attempt = entry
        .start_until_accepted(|attempt| fixture.chat(attempt, 20))
        .await;
    entry.wait_complete(&attempt).await;
    wait_until("nothing runs", async || engine.running_requests() == 0).await;
}
