//! Runs the command-line client as a process against the operator routes, with closures in
//! place of the control replicas.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use admin::{OperatorRoutes, OperatorToken, ServerSettings, serve};
use note::{History, Submission};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::proto::note_outcome::Kind;
use wire::proto::{
    DrainOutcome, NoteOutcome, Outcome, QueryReply, command, outcome, query, query_reply,
};

const TOKEN: &str = "token-of-the-client-test";

const FIRST: &str = r#"{"number": 1, "added": [{"kind": "service", "name": "order-desk"},
    {"kind": "target", "name": "desk-01", "service": "order-desk"}]}"#;

fn outcome_of(submission: Submission, next: u64) -> NoteOutcome {
    let (kind, accepted) = match submission {
        Submission::Accepted(accepted) => (Kind::Accepted, Some(accepted)),
        Submission::Repeated(accepted) => (Kind::Repeated, Some(accepted)),
        Submission::Conflict(accepted) => (Kind::Conflict, accepted),
        Submission::Gap(_) => (Kind::Gap, None),
        Submission::Invalid(_) => (Kind::Invalid, None),
    };
    let mut answer = NoteOutcome {
        number: next,
        ..NoteOutcome::default()
    };
    answer.set_kind(kind);
    if let Some(accepted) = accepted {
        answer.operator = accepted.operator;
    }
    answer
}

fn decide(history: &mut History, command: command::Body) -> outcome::Body {
    match command {
        command::Body::SubmitNote(note) => {
            let submission = history.submit(&note.json, &note.operator);
            outcome::Body::Note(outcome_of(submission, history.catalogue().number()))
        }
        command::Body::Drain(drain) => outcome::Body::Drain(DrainOutcome {
            known: history.catalogue().target(&drain.target).is_some(),
            draining: drain.draining,
        }),
        _ => outcome::Body::Note(NoteOutcome::default()),
    }
}

fn read(history: &History, query: &query::Body) -> String {
    let number = history.catalogue().number();
    match query {
        query::Body::Note(_) => String::from_utf8(history.catalogue().to_json()).unwrap(),
        _ => format!(
            r#"{{"leader":"control-1","term":4,"repair":"complete",
                "replicas":[{{"name":"control-1","disk":"9f","state":"voter","match":7,"repair":"complete"}}],
                "notes":{{"accepted":{number},"in_force_everywhere":{number},"lagging":[]}},
                "quarantine":{{"suspects":[],"convicted":["ab"]}}}}"#
        ),
    }
}

/// Serves the operator routes on one history of notes.
async fn start() -> SocketAddr {
    start_with_failures(0).await
}

/// Like [`start`], but the first `failures` queries fail for lack of a leader.
async fn start_with_failures(failures: u32) -> SocketAddr {
    let failures = AtomicU32::new(failures);
    let history = Arc::new(Mutex::new(History::default()));
    let queried = Arc::clone(&history);
    let operators = OperatorRoutes::new(
        OperatorToken::from_bytes(TOKEN.as_bytes()).unwrap(),
        Arc::new(move |command| {
            let body = Some(decide(&mut history.lock().unwrap(), command));
            Box::pin(async { Outcome { index: 1, body } })
        }),
        Arc::new(move |query| {
            let remaining = failures.load(Ordering::Relaxed);
            if remaining > 0 {
                failures.store(remaining - 1, Ordering::Relaxed);
                return Box::pin(async { Err(eyre::eyre!("no leader")) });
            }
            let json = read(&queried.lock().unwrap(), &query).into();
            let body = Some(query_reply::Body::Json(json));
            Box::pin(async { Ok(QueryReply { body }) })
        }),
    );
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = move |req| {
        let operators = operators.clone();
        async move { operators.handle(req, "r1").await }
    };
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, ServerSettings::default(), stop, handler));
    address
}

/// Runs the client. Returns its exit code, stdout and stderr.
async fn client(args: &[&str], token: &str) -> (i32, String, String) {
    let mut client = Command::new(env!("CARGO_BIN_EXE_lovageramp"));
    client
        .args(args)
        .env("LOVAGERAMP_TOKEN", token)
        .env("USER", "anna")
        .env_remove("LOVAGERAMP_HOST");
    let output = tokio::task::spawn_blocking(move || client.output()).await;
    let Output {
        status,
        stdout,
        stderr,
    } = output.unwrap().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status.code().unwrap(), text(stdout), text(stderr))
}

fn write_file(folder: &tempfile::TempDir, name: &str, text: &str) -> String {
    let path = folder.path().join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[tokio::test]
async fn run_operator_commands() {
    let host = start().await.to_string();
    let folder = tempfile::tempdir().unwrap();
    let first = write_file(&folder, "1.json", FIRST);
    let other = write_file(&folder, "other.json", r#"{"number": 1}"#);
    let third = write_file(&folder, "3.json", r#"{"number": 3}"#);
    let host = host.as_str();
    let cases: [(&[&str], i32, &str); 9] = [
        (
            &["note", "check", &first],
            0,
            "note 1 fits the catalogue of note 0",
        ),
        (
            &["note", "send", &first, "--host", host, "--wait", "20"],
            0,
            "note 1 is accepted and in force everywhere",
        ),
        (
            &["note", "send", &first, "--host", host],
            0,
            "note 1 was accepted before, sent by anna",
        ),
        (
            &["note", "send", &other, "--host", host],
            1,
            "another note holds number 1, sent by \"anna\"",
        ),
        (
            &["note", "check", &third, "--host", host],
            1,
            "must be 2, the next number, is 3 at number",
        ),
        (
            &["note", "status", "--host", host],
            0,
            "note 1 is in force everywhere",
        ),
        (
            &["target", "drain", "desk-01", "--host", host],
            0,
            "desk-01 gets no new work; what runs there finishes",
        ),
        (
            &["target", "drain", "desk-09", "--host", host],
            1,
            "unknown target \"desk-09\"",
        ),
        (
            &[
                "target", "drain", "desk-01", "--undo", "--json", "--host", host,
            ],
            0,
            r#"{"draining":false,"target":"desk-01"}"#,
        ),
    ];
    for (args, code, text) in cases {
        let (exit, out, err) = client(args, TOKEN).await;
        assert_eq!(
            (exit, code, (out + &err).trim().contains(text)),
            (code, exit, true),
            "{args:?}: {err}"
        );
    }
    let (exit, out, _) = client(&["status", "--host", host], TOKEN).await;
    assert_eq!(exit, 0);
    assert_eq!(
        out,
        "leader control-1 in term 4, repair complete\nnote 1 is in force everywhere\n\
         quarantine: 1 convicted, 0 suspect\n\nREPLICA    DISK  STATE  MATCH  REPAIR\n\
         control-1  9f    voter  7      complete\n"
    );
}

#[tokio::test]
async fn send_name_beyond_ascii() {
    // An operator's name may have characters beyond ASCII. The note must be sent all the
    // same, and a later conflict must show the name unchanged.
    let host = start().await.to_string();
    let folder = tempfile::tempdir().unwrap();
    let note = write_file(&folder, "1.json", r#"{"number": 1}"#);
    let other = write_file(&folder, "other.json", FIRST);
    let args = [
        "note",
        "send",
        &note,
        "--host",
        &host,
        "--operator",
        "Kovačič",
    ];
    let (exit, _, err) = client(&args, TOKEN).await;
    assert_eq!(exit, 0, "{err}");
    let (exit, _, err) = client(&["note", "send", &other, "--host", &host], TOKEN).await;
    assert_eq!(exit, 1);
    assert!(err.contains("sent by \"Kovačič\""), "{err}");
}

#[tokio::test]
async fn send_wait_through_election() {
    // A note is accepted and the leader fails, so that its status is unavailable until a
    // new one is elected. An error such as "no host answered" would make the operator
    // believe that the note was not accepted.
    let host = start_with_failures(3).await.to_string();
    let folder = tempfile::tempdir().unwrap();
    let note = write_file(&folder, "1.json", FIRST);
    let args = ["note", "send", &note, "--host", &host, "--wait", "30"];
    let (exit, out, err) = client(&args, TOKEN).await;
    assert_eq!((exit, err.as_str()), (0, ""));
    assert_eq!(out, "note 1 is accepted and in force everywhere\n");
}

#[tokio::test]
async fn run_on_second_host() {
    // The first of the given hosts is down. The command must succeed through the second
    // one, since any host can serve it.
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unreachable = unused.local_addr().unwrap().to_string();
    drop(unused);
    let host = start().await.to_string();
    let args = ["note", "status", "--host", &unreachable, "--host", &host];
    let (exit, out, _) = client(&args, TOKEN).await;
    assert_eq!((exit, out.as_str()), (0, "note 0 is in force everywhere\n"));
    let (exit, _, err) = client(&["status", "--host", &unreachable], TOKEN).await;
    assert_eq!(exit, 3, "{err}");
    assert!(err.starts_with(&unreachable), "{err}");
}

#[tokio::test]
async fn run_wrong_usage() {
    // A mistyped command, or a missing host, token or file, must give an exit code of its
    // own, so that scripts can tell it from a refusal by the system.
    let host = start().await.to_string();
    let cases: [&[&str]; 4] = [
        &["nots", "check", "x"],
        &["status"],
        &["note", "check", "/no/such/file"],
        &["status", "--host", &host, "--token-file", "/no/such/file"],
    ];
    for args in cases {
        assert_eq!(client(args, TOKEN).await.0, 2, "{args:?}");
    }
    let (exit, out, _) = client(&["status", "--json", "--host", &host], "wrong").await;
    assert_eq!(exit, 1);
    assert!(out.contains(r#""status":401"#), "{out}");
    let (exit, out, _) = client(&["--help"], TOKEN).await;
    assert_eq!(exit, 0);
    assert!(out.contains("Exit codes"), "{out}");
}

#[tokio::test]
async fn check_findings() {
    // All errors of a note must be reported in one run, before it is sent.
    let folder = tempfile::tempdir().unwrap();
    let note = r#"{"number": 1, "added": [{"kind": "target", "name": "t", "group": "g"}],
        "changed": [{"kind": "model", "name": "m"}]}"#;
    let path = write_file(&folder, "note.json", note);
    let (exit, _, err) = client(&["note", "check", &path], TOKEN).await;
    assert_eq!(exit, 1);
    assert_eq!(
        err,
        "2 findings\nunknown model \"m\" at changed[0].name\n\
         unknown group \"g\" at added[0].group\n"
    );
    let (_, out, _) = client(&["note", "check", "--json", &path], TOKEN).await;
    assert!(out.contains(r#""place":"added[0].group""#), "{out}");
}
