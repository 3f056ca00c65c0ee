//! `lovageramp note`.

use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use note::{Catalogue, Note};
use serde_json::Value;

use super::host_response::{HostResponse, render};
use super::http::request;
use super::{Access, Failure, Format, NoteCommand};

const NOTES: &str = "/v1/operator/notes";
const NOTE_STATUS: &str = "/v1/operator/notes/status";
const CATALOGUE: &str = "/v1/operator/catalogue";

/// Interval between two requests for the status of a note.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

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

/// Without a host, only the note itself is checked, except for the first note, which
/// must fit an empty catalogue.
async fn check(access: &Access, format: Format, file: &Path) -> Result<String, Failure> {
    let json = read(file)?;
    let note = Note::from_slice(&json).map_err(|findings| Failure::findings(&findings))?;
    let number = note.number();
    let catalogue = if access.has_host_argument() {
        let response = request(access, Method::GET, CATALOGUE, Bytes::new()).await?;
        let catalogue = response.into_body()?.to_string();
        let catalogue = Catalogue::from_json(catalogue.as_bytes());
        Some(catalogue.map_err(|findings| Failure::findings(findings.as_slice()))?)
    } else {
        (number == 1).then(Catalogue::default)
    };
    let digest = note.digest();
    let scope = match catalogue {
        Some(catalogue) => {
            let checked = catalogue.check_note(note);
            checked.map_err(|findings| Failure::findings(&findings))?;
            format!("fits the catalogue of note {}", catalogue.number())
        }
        None => "is well formed; use --host to check it against the catalogue in force".to_owned(),
    };
    let response =
        serde_json::json!({"number": number, "digest": digest.to_string(), "findings": []});
    Ok(match format {
        Format::Json => response.to_string(),
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
    let response = request(access, Method::POST, NOTES, Bytes::from(json)).await?;
    let mut response = response.into_body()?;
    if let Some(seconds) = wait {
        wait_until_in_force(access, note.number(), Duration::from_secs(seconds)).await?;
        response["in_force_everywhere"] = Value::Bool(true);
    }
    Ok(render(&response, format, describe_sent))
}

/// Waits until a note is in force everywhere. The status is not available during a
/// leader election; the note is accepted nevertheless, so errors are retried.
async fn wait_until_in_force(
    access: &Access,
    number: u64,
    timeout: Duration,
) -> Result<(), Failure> {
    let deadline = Instant::now() + timeout;
    loop {
        let response = request(access, Method::GET, NOTE_STATUS, Bytes::new()).await;
        let status = response.and_then(HostResponse::into_body);
        let everywhere = status.as_ref().map(|notes| &notes["in_force_everywhere"]);
        let in_force = everywhere.ok().and_then(Value::as_u64);
        if in_force.is_some_and(|in_force| in_force >= number) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let behind = match status {
                Ok(notes) => names(&notes["lagging"]),
                Err(failure) => {
                    format!("nodes that are unknown, because the status request failed: {failure}")
                }
            };
            let detail = format!("accepted, but not yet in force at {behind}");
            return Err(Failure::Refused(serde_json::json!({"detail": detail})));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn show(access: &Access, number: Option<u64>) -> Result<String, Failure> {
    let path = match number {
        Some(number) => format!("{NOTES}/{number}"),
        None => CATALOGUE.to_owned(),
    };
    let response = request(access, Method::GET, &path, Bytes::new()).await?;
    // Notes are written as JSON, so both formats print JSON.
    Ok(format!("{:#}", response.into_body()?))
}

async fn status(access: &Access, format: Format) -> Result<String, Failure> {
    let response = request(access, Method::GET, NOTE_STATUS, Bytes::new()).await?;
    Ok(render(&response.into_body()?, format, describe_status))
}

fn describe_sent(response: &Value) -> String {
    let number = &response["number"];
    let mut text = match response["outcome"].as_str() {
        Some("repeated") => {
            let operator = response["operator"].as_str().unwrap_or_default();
            format!("note {number} was accepted before, sent by {operator}")
        }
        _ => format!("note {number} is accepted"),
    };
    if response["in_force_everywhere"] == Value::Bool(true) {
        text.push_str(" and in force everywhere");
    }
    text
}

/// Describes in one line how far the newest note has spread.
pub(super) fn describe_status(notes: &Value) -> String {
    let (accepted, everywhere) = (&notes["accepted"], &notes["in_force_everywhere"]);
    if accepted == everywhere {
        return format!("note {accepted} is in force everywhere");
    }
    let lagging = names(&notes["lagging"]);
    let reached = match everywhere.as_u64() {
        Some(number) => format!("note {number} is in force everywhere"),
        None => "which one is in force everywhere is not known yet".to_owned(),
    };
    format!("note {accepted} is accepted, {reached}; behind: {lagging}")
}

fn names(list: &Value) -> String {
    let names = list.as_array().into_iter().flatten();
    let names: Vec<&str> = names.filter_map(Value::as_str).collect();
    if names.is_empty() {
        // A new leader does not know its nodes until they have contacted it.
        return "nodes that have not contacted the leader yet".to_owned();
    }
    names.join(", ")
}

fn read(file: &Path) -> Result<Vec<u8>, Failure> {
    std::fs::read(file)
        .map_err(|err| Failure::Usage(format!("cannot read {}: {err}", file.display())))
}
