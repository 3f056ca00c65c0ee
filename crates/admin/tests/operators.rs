//! The operators' routes over a real connection, with control played by
//! closures.
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

fn decide(command: command::Body) -> outcome::Body {
    match command {
        command::Body::SubmitNote(note) => {
            let mut answer = NoteOutcome {
                number: 7,
                operator: note.operator,
                ..NoteOutcome::default()
            };
            answer.set_kind(match &note.json[..] {
                b"new" => Kind::Accepted,
                b"again" => Kind::Repeated,
                b"other" => Kind::Conflict,
                b"early" => Kind::Gap,
                _ => Kind::Invalid,
            });
            if answer.kind() == Kind::Invalid {
                answer.findings.push(Finding {
                    place: "number".into(),
                    message: "missing".into(),
                });
            }
            outcome::Body::Note(answer)
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

fn read(query: &query::Body) -> eyre::Result<query_reply::Body> {
    Ok(match query {
        query::Body::Status(_) => query_reply::Body::Json(r#"{"notes":{"accepted":7}}"#.into()),
        query::Body::Quarantine(_) => query_reply::Body::Quarantine(Quarantine {
            version: 3,
            suspects: Vec::new(),
            convicted: vec![vec![0xab; 32].into()],
        }),
        query::Body::Note(note) if note.number == 7 => query_reply::Body::Json("{}".into()),
        query::Body::Note(note) if note.number == 8 => query_reply::Body::Json("".into()),
        _ => return Err(eyre::eyre!("no leader")),
    })
}

fn operators() -> OperatorRoutes {
    OperatorRoutes::new(
        OperatorToken::from_bytes(TOKEN.as_bytes()).unwrap(),
        Arc::new(|command| {
            let body = Some(decide(command));
            Box::pin(async { Outcome { index: 1, body } })
        }),
        Arc::new(|query| {
            let body = read(&query);
            Box::pin(async { Ok(QueryReply { body: Some(body?) }) })
        }),
    )
}

async fn start(cfg: ServerSettings) -> (SocketAddr, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let operators = operators();
    let pages = MonitoringRoutes::new(Arc::new(Registry::default()), || Ok(()));
    let handler = move |req: hyper::Request<hyper::body::Incoming>| {
        let (operators, pages) = (operators.clone(), pages.clone());
        async move {
            if let Some(page) = pages.answer(req.method(), req.uri().path()) {
                return page;
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

/// Sends one request as text and reads until the server closes.
async fn ask(address: SocketAddr, method: &str, path: &str, token: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let len = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-operator: anna\r\n\
         authorization: Bearer {token}\r\ncontent-length: {len}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Status and body of an answer.
fn parts(answer: &str) -> (&str, &str) {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    (&head[9..12], body)
}

#[tokio::test]
async fn handle_routes() {
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
    for (method, path, body, status, part) in cases {
        let path = format!("/v1/operator/{path}");
        let answer = ask(address, method, &path, TOKEN, body).await;
        let (got, text) = parts(&answer);
        assert_eq!(got, status, "{method} {path}: {answer}");
        assert!(text.contains(part), "{method} {path}: {answer}");
    }
}

#[tokio::test]
async fn handle_wrong_token() {
    // Somebody without the operators' token, a client account perhaps, finds
    // these routes. Any answer but 401 would let it change what is on offer.
    let (address, _stop) = start(ServerSettings::default()).await;
    for token in ["", "0123456789abcdeg", "0123456789abcdef0"] {
        let answer = ask(address, "POST", "/v1/operator/notes", token, "new").await;
        assert_eq!(parts(&answer).0, "401", "{answer}");
    }
}

#[tokio::test]
async fn handle_large_body() {
    // A client sends far more than any note has. It must be told, and the
    // daemon's memory must not grow with it.
    let (address, _stop) = start(ServerSettings::default()).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /v1/operator/notes HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: 99999999\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert_eq!(parts(&answer).0, "413", "{answer}");
}

#[tokio::test]
async fn serve_unread_body() {
    // A caller sends a large body, all of it, before it reads the answer, and
    // the body is refused at its head. Closed at once, the connection would be
    // reset, and the caller would see a broken pipe instead of the reason.
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
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert_eq!(parts(&answer).0, status, "{answer}");
    }
}

#[tokio::test]
async fn serve_too_many_connections() {
    // Callers open connections and keep them. Those beyond the limit must learn
    // it at once; left in the accept queue they would hang until they give up.
    let cfg = ServerSettings {
        max_connections: 1,
        ..ServerSettings::default()
    };
    let (address, _stop) = start(cfg).await;
    let mut kept = TcpStream::connect(address).await.unwrap();
    kept.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    let mut first = [0; 12];
    kept.read_exact(&mut first).await.unwrap();
    assert_eq!(&first, b"HTTP/1.1 200");
    let mut turned_away = TcpStream::connect(address).await.unwrap();
    let mut answer = String::new();
    turned_away.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

#[tokio::test]
async fn serve_stop_closes_idle() {
    // An operator restarts a daemon while a client keeps an idle connection. The
    // client must see it close and not wait for an answer that never comes.
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
async fn serve_arbitrary_bytes() {
    // Something that isn't HTTP at all connects to the port. The daemon must
    // turn it away and go on serving others.
    let (address, _stop) = start(ServerSettings::default()).await;
    let noises: [&[u8]; 4] = [
        b"\x16\x03\x01\x02\x00\x01",
        b"\0\0\0\0\0",
        b"GET\r\n\r\n",
        &[0xff; 5_000],
    ];
    for noise in noises {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(noise).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut answer = Vec::new();
        // The connection may be reset; only that it ends counts.
        let _ = stream.read_to_end(&mut answer).await;
        let healthy = ask(address, "GET", "/healthz", "", "").await;
        assert_eq!(parts(&healthy).0, "200");
    }
}
