//! Conversion of command outcomes to HTTP responses.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::{Value, json};
use wire::proto::note_outcome::Kind;
use wire::proto::{Finding, NoteOutcome, Outcome, Unavailable, outcome};

use crate::{Problem, Ran, Response, hex};

/// Default `Retry-After` if control is unavailable.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(2);

pub(crate) fn note(outcome: Outcome) -> Result<Response, Problem> {
    match outcome.body {
        Some(outcome::Body::Note(note)) => note_result(&note),
        other => Err(unavailable_problem(other)),
    }
}

pub(crate) fn drain(outcome: Outcome, target: &str) -> Result<Response, Problem> {
    match outcome.body {
        Some(outcome::Body::Drain(drain)) if drain.known => {
            let answer = json!({"target": target, "draining": drain.draining});
            Ok(crate::json(StatusCode::OK, answer.to_string()))
        }
        Some(outcome::Body::Drain(_)) => {
            let detail = format!("unknown target {target:?}");
            Err(Problem::new(StatusCode::NOT_FOUND, detail))
        }
        other => Err(unavailable_problem(other)),
    }
}

pub(crate) fn evacuate(outcome: Outcome, zone: &str) -> Result<Response, Problem> {
    match outcome.body {
        Some(outcome::Body::Evacuation(answer)) if answer.outdated => {
            let detail = "the evacuations have changed since; read them again".to_owned();
            Err(Problem::new(StatusCode::PRECONDITION_FAILED, detail))
        }
        Some(outcome::Body::Evacuation(accepted)) if accepted.known => {
            let zones = accepted.evacuations.unwrap_or_default().zones;
            let answer = json!({"zone": zone, "evacuated": zones});
            Ok(crate::json(StatusCode::OK, answer.to_string()))
        }
        Some(outcome::Body::Evacuation(_)) => {
            let detail = format!("unknown availability zone {zone:?}");
            Err(Problem::new(StatusCode::NOT_FOUND, detail))
        }
        other => Err(unavailable_problem(other)),
    }
}

pub(crate) fn pardon(outcome: Outcome, fingerprint: &str) -> Result<Response, Problem> {
    match outcome.body {
        Some(outcome::Body::Pardon(pardon)) if pardon.known => {
            let answer = json!({"pardoned": fingerprint});
            Ok(crate::json(StatusCode::OK, answer.to_string()))
        }
        Some(outcome::Body::Pardon(_)) => {
            let detail = format!("{fingerprint} isn't in quarantine");
            Err(Problem::new(StatusCode::NOT_FOUND, detail))
        }
        other => Err(unavailable_problem(other)),
    }
}

pub(crate) fn forget(outcome: Outcome, attempt: &str) -> Result<Response, Problem> {
    match outcome.body {
        Some(outcome::Body::Forget(record)) if record.known => {
            let answer = json!({
                "forgotten": attempt,
                "account": record.account,
                "key": record.key.escape_ascii().to_string(),
            });
            Ok(crate::json(StatusCode::OK, answer.to_string()))
        }
        Some(outcome::Body::Forget(_)) => {
            let detail = format!("{attempt} isn't an attempt whose outcome is unknown");
            Err(Problem::new(StatusCode::NOT_FOUND, detail))
        }
        other => Err(unavailable_problem(other)),
    }
}

fn note_result(note: &NoteOutcome) -> Result<Response, Problem> {
    let number = note.number;
    let (status, detail) = match note.kind() {
        Kind::Accepted => return Ok(note_response(StatusCode::OK, "accepted", note)),
        Kind::Repeated => return Ok(note_response(StatusCode::OK, "repeated", note)),
        Kind::Conflict => (
            StatusCode::CONFLICT,
            format!(
                "another note holds number {number}, sent by {:?}",
                note.operator
            ),
        ),
        Kind::Gap => (StatusCode::CONFLICT, format!("the next number is {number}")),
        Kind::Invalid => (
            StatusCode::UNPROCESSABLE_ENTITY,
            format!("{} findings", note.findings.len()),
        ),
        Kind::Unspecified => return Err(unavailable_problem(None)),
    };
    let mut problem = Problem::new(status, detail);
    let findings: Vec<Value> = note.findings.iter().map(finding).collect();
    problem
        .members
        .insert("outcome".into(), outcome_name(note).into());
    problem.members.insert("number".into(), number.into());
    problem.members.insert("findings".into(), findings.into());
    if note.kind() == Kind::Conflict {
        let operator = note.operator.as_str();
        problem.members.insert("operator".into(), operator.into());
        let digest = hex::encode(&note.digest);
        problem.members.insert("digest".into(), digest.into());
    }
    Err(problem)
}

fn note_response(status: StatusCode, outcome: &str, note: &NoteOutcome) -> Response {
    let answer = json!({
        "outcome": outcome,
        "number": note.number,
        "operator": note.operator,
        "digest": hex::encode(&note.digest),
    });
    crate::json(status, answer.to_string())
}

fn outcome_name(note: &NoteOutcome) -> &'static str {
    match note.kind() {
        Kind::Accepted => "accepted",
        Kind::Repeated => "repeated",
        Kind::Conflict => "conflict",
        Kind::Gap => "gap",
        Kind::Invalid => "invalid",
        Kind::Unspecified => "unknown",
    }
}

fn finding(finding: &Finding) -> Value {
    json!({"place": finding.place, "message": finding.message})
}

/// Converts an outcome that is `Unavailable` or does not match the command. The command is
/// reported as not run only if it is certain that it was not and will not be committed.
fn unavailable_problem(body: Option<outcome::Body>) -> Problem {
    let unavailable = match body {
        Some(outcome::Body::Unavailable(unavailable)) => unavailable,
        _ => Unavailable {
            reason: "control gave an answer of another kind".to_owned(),
            maybe: true,
            ..Unavailable::default()
        },
    };
    let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, unavailable.reason);
    if unavailable.maybe {
        problem.ran = Ran::Unknown;
    }
    let after = Duration::from_millis(unavailable.retry_after_ms.into());
    problem.retry_after = Some(after).filter(|after| !after.is_zero());
    problem.retry_after.get_or_insert(RETRY_AFTER);
    problem
}
