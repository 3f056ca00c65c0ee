//! The operators' routes over a real connection, with closures in place of control.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::sync::Arc;

use admin::{
    MonitoringRoutes, OperatorRoutes, OperatorToken, Problem, Registry, ServerSettings, serve,
};
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use wire::proto::note_outcome::Kind;
use wire::proto::{
    DrainOutcome, Finding, NoteOutcome, Outcome, PardonOutcome, Quarantine, QueryReply,
    Unavailable, command, outcome, query, query_reply,
};

const TOKEN: &str = "0123456789abcdef";

fn outcome_for(command: command::Body) -> outcome::Body {
    match command {
        command::Body::SubmitNote(note) => {
            let mut outcome = NoteOutcome {
                number: 7,
                operator: note.operator,
                ..NoteOutcome::default()
            };
            outcome.set_kind(match &note.json[..] {
                b"new" => Kind::Accepted,
                b"again" => Kind::Repeated,
                b"other" => Kind::Conflict,
                b"early" => Kind::Gap,
                _ => Kind::Invalid,
            });
            if outcome.kind() == Kind::Invalid {
                outcome.findings.push(Finding {
                    place: "number".into(),
                    message: "missing".into(),
                });
            }
            outcome::Body::Note(outcome)
        }
        command::Body::Drain(drain) => outcome::Body::Drain(DrainOutcome {
            known: drain.target == "desk-01",
            draining: drain.draining,
        }),
        command::Body::Pardon(pardon) => outcome::Body::Pardon(PardonOutcome {
            known: pardon.fingerprint[..] == [0xab; 32],
        }),
        _ => outcome::Body::Unavailable(Unavailable {
            reason: "no leader".into(),
            maybe: true,
            ..Unavailable::default()
        }),
    }
}

fn reply_to(query: &query::Body) -> eyre::Result<query_reply::Body> {
    Ok(match query {
        query::Body::Status(_) => query_reply::Body::Json(r#"{"notes":{"accepted":7}}"#.into()),
        query::Body::Quarantine(_) => query_reply::Body::Quarantine(Quarantine {
            version: 3,
            suspects: Vec::new(),
            convicted: vec![vec![0xab; 32].into()],
            watched: Vec::new(),
        }),
        query::Body::Note(note) if note.number == 7 => query_reply::Body::Json("{}".into()),
        query::Body::Note(note) if note.number == 8 => query_reply::Body::Json("".into()),
        _ => return Err(eyre::eyre!("no leader")),
    })
}

fn operator_routes() -> OperatorRoutes {
    OperatorRoutes::new(
        OperatorToken::from_bytes(TOKEN.as_bytes()).unwrap(),
        Arc::new(|command| {
            let body = Some(outcome_for(command));
            Box::pin(async { Outcome { index: 1, body } })
        }),
        Arc::new(|query| {
            let body = reply_to(&query);
            Box::pin(async { Ok(QueryReply { body: Some(body?) }) })
        }),
    )
}

async fn start(cfg: ServerSettings) -> (SocketAddr, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let operators = operator_routes();
    let monitoring = MonitoringRoutes::new(Arc::new(Registry::default()), || Ok(()));
    let handler = move |req: hyper::Request<admin::RequestBody>| {
        let (operators, monitoring) = (operators.clone(), monitoring.clone());
        async move {
            if let Some(response) = monitoring.answer(req.method(), req.uri().path()) {
                return response;
            }
            if OperatorRoutes::matches(req.uri().path()) {
                return operators.handle(req, "r1").await;
            }
            Problem::new(StatusCode::NOT_FOUND, "no such page").into_response()
        }
    };
    tokio::spawn(serve(listener, cfg, stop.clone(), handler));
    (address, stop)
}

/// Sends a request and reads the response until the server closes the connection.
async fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    token: &str,
    body: &str,
) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let len = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-operator: anna\r\n\
         authorization: Bearer {token}\r\ncontent-length: {len}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

/// Returns the status and the body of a response.
fn status_and_body(response: &str) -> (&str, &str) {
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    (&head[9..12], body)
}

#[tokio::test]
async fn all_routes_answer() {
    let (address, _stop) = start(ServerSettings::default()).await;
    let cases = [
        ("POST", "notes", "new", "200", r#""outcome":"accepted""#),
        ("POST", "notes", "again", "200", r#""operator":"anna""#),
        ("POST", "notes", "other", "409", r#""outcome":"conflict""#),
        ("POST", "notes", "early", "409", "the next number is 7"),
        (
            "POST",
            "notes",
            "bad",
            "422",
            r#"[{"message":"missing","place":"number"}]"#,
        ),
        ("GET", "notes/7", "", "200", "{}"),
        ("GET", "notes/8", "", "404", r#""request":"r1""#),
        ("GET", "notes/0", "", "400", "above 0"),
        ("GET", "notes/status", "", "200", r#"{"accepted":7}"#),
        ("GET", "status", "", "200", r#"{"notes":{"accepted":7}}"#),
        ("GET", "catalogue", "", "503", "no leader"),
        (
            "POST",
            "targets/desk-01/drain",
            r#"{"draining":true}"#,
            "200",
            r#""draining":true"#,
        ),
        (
            "POST",
            "targets/x/drain",
            r#"{"draining":true}"#,
            "404",
            "unknown target",
        ),
        (
            "POST",
            "targets/x/drain",
            r#"{"draining":1}"#,
            "400",
            "at draining",
        ),
        ("POST", "targets/x/drain", "{", "400", "malformed JSON"),
        (
            "GET",
            "quarantine",
            "",
            "200",
            r#""suspects":[],"version":3}"#,
        ),
        (
            "GET",
            "quarantine",
            "",
            "200",
            r#"{"convicted":["abababababababababababababababababababababababababababababababab"]"#,
        ),
        (
            "DELETE",
            "quarantine/abababababababababababababababababababababababababababababababab",
            "",
            "200",
            "pardoned",
        ),
        (
            "DELETE",
            "quarantine/cdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcd",
            "",
            "404",
            "isn't in quarantine",
        ),
        (
            "DELETE",
            "quarantine/abcd",
            "",
            "400",
            "64 hexadecimal digits",
        ),
        ("DELETE", "quarantine/xyz", "", "400", "hexadecimal"),
        ("DELETE", "notes", "", "405", "DELETE isn't known here"),
        ("GET", "elsewhere", "", "404", "no such page"),
    ];
    for (method, path, body, status, excerpt) in cases {
        let path = format!("/v1/operator/{path}");
        let response = send_request(address, method, &path, TOKEN, body).await;
        let (got, text) = status_and_body(&response);
        assert_eq!(got, status, "{method} {path}: {response}");
        assert!(text.contains(excerpt), "{method} {path}: {response}");
    }
}

#[tokio::test]
async fn wrong_token_is_rejected() {
    // A caller without the operators' token, such as a client account, finds these
    // routes. Any response other than 401 could let it change the catalogue.
    let (address, _stop) = start(ServerSettings::default()).await;
    for token in ["", "0123456789abcdeg", "0123456789abcdef0"] {
        let response = send_request(address, "POST", "/v1/operator/notes", token, "new").await;
        assert_eq!(status_and_body(&response).0, "401", "{response}");
    }
}

#[tokio::test]
async fn oversized_body_is_rejected() {
    // A client announces a body far larger than any note. It must get a 413 response, and
    // the daemon must not buffer the body.
    let (address, _stop) = start(ServerSettings::default()).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /v1/operator/notes HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: 99999999\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert_eq!(status_and_body(&response).0, "413", "{response}");
}

#[tokio::test]
async fn response_arrives_despite_unread_body() {
    // A caller sends all of a large body before it reads the response, and the request
    // is rejected on its headers. If the connection were closed immediately, it would be
    // reset, and the caller would see a broken pipe instead of the response.
    let (address, _stop) = start(ServerSettings::default()).await;
    let body = vec![b'x'; 24 << 20];
    for (token, status) in [("wrong", "401"), (TOKEN, "413")] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST /v1/operator/notes HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&body).await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        assert_eq!(status_and_body(&response).0, status, "{response}");
    }
}

#[tokio::test]
async fn stop_closes_idle_connections() {
    // A daemon is restarted while a client keeps an idle connection. The connection must
    // be closed, so that the client does not wait for a response on it.
    let (address, stop) = start(ServerSettings::default()).await;
    let mut idle = TcpStream::connect(address).await.unwrap();
    idle.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    let mut first = [0; 12];
    idle.read_exact(&mut first).await.unwrap();
    stop.cancel();
    let mut rest = String::new();
    idle.read_to_string(&mut rest).await.unwrap();
    assert!(rest.ends_with(r#"{"status":"ok"}"#), "{rest}");
}

#[tokio::test]
async fn arbitrary_bytes_do_not_stop_server() {
    // A client that does not speak HTTP connects. The server must end the connection and
    // keep serving others.
    let (address, _stop) = start(ServerSettings::default()).await;
    let inputs: [&[u8]; 4] = [
        b"\x16\x03\x01\x02\x00\x01",
        b"\0\0\0\0\0",
        b"GET\r\n\r\n",
        &[0xff; 5_000],
    ];
    for input in inputs {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(input).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut response = Vec::new();
        // The connection may be reset; the test only requires that it ends.
        let _ = stream.read_to_end(&mut response).await;
        let healthy = send_request(address, "GET", "/healthz", "", "").await;
        assert_eq!(status_and_body(&healthy).0, "200");
    }
}
