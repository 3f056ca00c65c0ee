//! `lovageramp note`.

use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use note::{Catalogue, Note};
use serde_json::Value;

use super::answer::{Answer, render};
use super::http::ask;
use super::{Access, Failure, Format, NoteCommand};

const NOTES: &str = "/v1/operator/notes";
const NOTE_STATUS: &str = "/v1/operator/notes/status";
const CATALOGUE: &str = "/v1/operator/catalogue";

/// Pause between two looks at how far a note has come.
const POLL: Duration = Duration::from_millis(100);

pub(super) async fn run(command: NoteCommand) -> (Format, Result<String, Failure>) {
    match command {
        NoteCommand::Check {
            format,
            access,
            file,
        } => (format, check(&access, format, &file).await),
        NoteCommand::Send {
            format,
            access,
            wait,
            file,
        } => (format, send(&access, format, wait, &file).await),
        NoteCommand::Show {
            format,
            access,
            number,
        } => (format, show(&access, number).await),
        NoteCommand::Status { format, access } => (format, status(&access, format).await),
    }
}

/// Without a host only the note itself is checked, unless it is the first one:
/// that one must fit a system where nothing is on offer.
async fn check(access: &Access, format: Format, file: &Path) -> Result<String, Failure> {
    let json = read(file)?;
    let note = Note::from_slice(&json).map_err(|findings| Failure::findings(&findings))?;
    let number = note.number();
    let against = if access.names_host() {
        let answer = ask(access, Method::GET, CATALOGUE, Bytes::new()).await?;
        let catalogue = answer.success()?.to_string();
        let catalogue = Catalogue::from_json(catalogue.as_bytes());
        Some(catalogue.map_err(|findings| Failure::findings(findings.as_slice()))?)
    } else {
        (number == 1).then(Catalogue::default)
    };
    let digest = note.digest();
    let scope = match against {
        Some(catalogue) => {
            let checked = catalogue.check_note(note);
            checked.map_err(|findings| Failure::findings(&findings))?;
            format!("fits the catalogue of note {}", catalogue.number())
        }
        None => "is well formed; name a host to check it against what is in force".to_owned(),
    };
    let answer =
        serde_json::json!({"number": number, "digest": digest.to_string(), "findings": []});
    Ok(match format {
        Format::Json => answer.to_string(),
        Format::Text => format!("note {number} {scope}"),
    })
}

async fn send(
    access: &Access,
    format: Format,
    wait: Option<u64>,
    file: &Path,
) -> Result<String, Failure> {
    let json = read(file)?;
    let note = Note::from_slice(&json).map_err(|findings| Failure::findings(&findings))?;
    let answer = ask(access, Method::POST, NOTES, Bytes::from(json)).await?;
    let mut answer = answer.success()?;
    if let Some(seconds) = wait {
        in_force(access, note.number(), Duration::from_secs(seconds)).await?;
        answer["in_force_everywhere"] = Value::Bool(true);
    }
    Ok(render(&answer, format, describe_sent))
}

/// Waits until a note is in force everywhere. While control changes its leader
/// nobody can say how far it has come; the note is accepted all the same, so
/// that is waited out as well.
async fn in_force(access: &Access, number: u64, within: Duration) -> Result<(), Failure> {
    let deadline = Instant::now() + within;
    loop {
        let answer = ask(access, Method::GET, NOTE_STATUS, Bytes::new()).await;
        let status = answer.and_then(Answer::success);
        let everywhere = status.as_ref().map(|notes| &notes["in_force_everywhere"]);
        let newest = everywhere.ok().and_then(Value::as_u64);
        if newest.is_some_and(|newest| newest >= number) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let behind = match status {
                Ok(notes) => names(&notes["lagging"]),
                Err(failure) => format!("any host that could say so: {failure}"),
            };
            let detail = format!("accepted, but not yet in force at {behind}");
            return Err(Failure::Refused(serde_json::json!({"detail": detail})));
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn show(access: &Access, number: Option<u64>) -> Result<String, Failure> {
    let path = match number {
        Some(number) => format!("{NOTES}/{number}"),
        None => CATALOGUE.to_owned(),
    };
    let answer = ask(access, Method::GET, &path, Bytes::new()).await?;
    // A note is JSON to people as well.
    Ok(format!("{:#}", answer.success()?))
}

async fn status(access: &Access, format: Format) -> Result<String, Failure> {
    let answer = ask(access, Method::GET, NOTE_STATUS, Bytes::new()).await?;
    Ok(render(&answer.success()?, format, describe_status))
}

fn describe_sent(answer: &Value) -> String {
    let number = &answer["number"];
    let mut text = match answer["outcome"].as_str() {
        Some("repeated") => {
            let operator = answer["operator"].as_str().unwrap_or_default();
            format!("note {number} was accepted before, sent by {operator}")
        }
        _ => format!("note {number} is accepted"),
    };
    if answer["in_force_everywhere"] == Value::Bool(true) {
        text.push_str(" and in force everywhere");
    }
    text
}

/// One line on how far the newest note has come.
pub(super) fn describe_status(notes: &Value) -> String {
    let (accepted, everywhere) = (&notes["accepted"], &notes["in_force_everywhere"]);
    if accepted == everywhere {
        return format!("note {accepted} is in force everywhere");
    }
    let lagging = names(&notes["lagging"]);
    let reached = match everywhere.as_u64() {
        Some(number) => format!("note {number} is in force everywhere"),
        None => "which one is in force everywhere isn't known yet".to_owned(),
    };
    format!("note {accepted} is accepted, {reached}; behind: {lagging}")
}

fn names(list: &Value) -> String {
    let names = list.as_array().into_iter().flatten();
    let names: Vec<&str> = names.filter_map(Value::as_str).collect();
    if names.is_empty() {
        // Nobody lags by name while a new leader still waits for its nodes.
        return "nodes that the leader hasn't heard yet".to_owned();
    }
    names.join(", ")
}

fn read(file: &Path) -> Result<Vec<u8>, Failure> {
    std::fs::read(file)
        .map_err(|err| Failure::Usage(format!("can't read {}: {err}", file.display())))
}
