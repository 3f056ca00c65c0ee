//! Whether the answer of a target is complete, for each way to frame it.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use agent::engine::{Call, ClientSettings, Failure, Retry, TargetClient, TargetKind};
use outlet::Completeness;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

const BODY: &str = "three burls are left";

/// Heads of responses whose body lasts until the connection ends.
const UNTIL_CLOSE: [&str; 4] = [
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
];

/// Calls a target that sends these bytes and closes the connection; returns the body and
/// whether it is complete, or `None` if it was broken off.
async fn call(response: String) -> Option<(String, Completeness)> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_buf(&mut head).await.unwrap();
        }
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    let second = Duration::from_secs(1);
    let cfg = ClientSettings {
        connect_timeout: second * 30,
        head_timeout: second * 30,
        progress_timeout: second * 30,
        request_timeout: second * 30,
    };
    let client = TargetClient::new(address, TargetKind::Service, cfg);
    let call = Call {
        method: "GET".to_owned(),
        path: "/stock".to_owned(),
        retry: Retry::Never,
        ..Call::default()
    };
    let mut reply = client.call(&call, || {}).await.ok()?;
    let mut body = String::new();
    while let Some(data) = reply.next().await.ok()? {
        body += std::str::from_utf8(&data).unwrap();
    }
    Some((body, reply.completeness()))
}

/// A target ends an answer with its connection. Such an answer was taken for a complete one if
/// its last coding is not `chunked`, and otherwise thrown away, also if it was whole.
#[tokio::test]
async fn until_close_cut_at_each_byte() {
    for head in UNTIL_CLOSE {
        for sent in 0..=BODY.len() {
            let sent_body = BODY[..sent].to_owned();
            let body = call(format!("{head}{sent_body}")).await;
            let expected = Some((sent_body, Completeness::Unknown));
            assert_eq!(body, expected, "{head:?} cut after {sent} bytes");
        }
    }
}

#[tokio::test]
async fn delimited_cut_at_each_byte() {
    let length = BODY.len();
    let with_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{BODY}");
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{BODY}\r\n0\r\n\r\n"
    );
    for whole in [with_length, chunked] {
        for sent in 0..whole.len() {
            let body = call(whole[..sent].to_owned()).await;
            assert_eq!(body, None, "{whole:?} cut after {sent} bytes");
        }
        let expected = Some((BODY.to_owned(), Completeness::Complete));
        assert_eq!(call(whole).await, expected);
    }
}

/// Responses before the final one.
const INTERIM: [&str; 2] = [
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
];

/// How a target ends a response.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
    Stall,
}

/// Serves one whole response on a connection, and then the beginning of another one.
async fn serve_then_cut(listener: TcpListener, cut: String, end: End) {
    let (mut stream, _) = listener.accept().await.unwrap();
    for response in ["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", &cut] {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut head).await.unwrap() == 0 {
                return;
            }
        }
        stream.write_all(response.as_bytes()).await.unwrap();
    }
    match end {
        End::Close => {}
        // A reset discards what the peer has not read yet.
        End::Reset => {
            tokio::time::sleep(Duration::from_millis(5)).await;
            stream.set_zero_linger().unwrap();
        }
        End::Stall => std::future::pending().await,
    }
}

/// Calls a target twice on one connection. Returns whether the second call failed as one that
/// may have run.
async fn second_call_may_have_run(cut: String, end: End) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(serve_then_cut(listener, cut, end));
    let long = Duration::from_secs(30);
    let cfg = ClientSettings {
        connect_timeout: long,
        head_timeout: match end {
            End::Stall => Duration::from_millis(100),
            End::Close | End::Reset => long,
        },
        progress_timeout: long,
        request_timeout: long,
    };
    let client = TargetClient::new(address, TargetKind::Service, cfg);
    let client = client.with_keep_alive(1, long);
    let call = Call {
        method: "GET".to_owned(),
        path: "/stock".to_owned(),
        retry: Retry::Allowed,
        ..Call::default()
    };
    let mut first = client.call(&call, || {}).await.unwrap();
    while first.next().await.unwrap().is_some() {}
    drop(first);
    assert_eq!(client.counts().kept.get(), 1);
    let second = client.call(&call, || {}).await;
    server.abort();
    matches!(second, Err(Failure::Broken(_) | Failure::Silent(_)))
}

/// Guards against a response that passes for whole, or a call that passes for not run, if its
/// target stops in the head, on a connection that was used before.
#[tokio::test(flavor = "multi_thread")]
async fn head_cut_at_each_byte() {
    let length = BODY.len();
    let delimited = [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
    ];
    let after_interim = INTERIM.map(|interim| format!("{interim}{}", delimited[0]));
    let until_close = UNTIL_CLOSE.map(str::to_owned);
    let heads = delimited.iter().chain(&after_interim).chain(&until_close);
    for head in heads {
        for end in [End::Close, End::Reset, End::Stall] {
            let mut calls = JoinSet::new();
            for sent in 0..head.len() {
                let cut = head[..sent].to_owned();
                calls.spawn(async move { (sent, second_call_may_have_run(cut, end).await) });
            }
            for (sent, may_have_run) in calls.join_all().await {
                assert!(may_have_run, "{head:?} {end:?} after {sent} bytes");
            }
        }
    }
}
