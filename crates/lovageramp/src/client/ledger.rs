//! `lovageramp ledger`.

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;

use super::answer::{Answer, render};
use super::http::ask;
use super::table::table;
use super::{Access, Failure, Format, LedgerCommand};

const LEDGER: &str = "/v1/operator/ledger";

/// Columns of the list, and the members that they show.
const COLUMNS: [(&str, &str); 5] = [
    ("ATTEMPT", "attempt"),
    ("ACCOUNT", "account"),
    ("KEY", "key"),
    ("TARGET", "target"),
    ("REASON", "reason"),
];

pub(super) async fn run(command: LedgerCommand) -> (Format, Result<String, Failure>) {
    match command {
        LedgerCommand::List { format, access } => (format, list(&access, format).await),
        LedgerCommand::Forget {
            format,
            access,
            attempt,
        } => (format, forget(&access, format, &attempt).await),
    }
}

async fn list(access: &Access, format: Format) -> Result<String, Failure> {
    let answer = ask(access, Method::GET, LEDGER, Bytes::new()).await?;
    Ok(render(&answer.success()?, format, describe))
}

async fn forget(access: &Access, format: Format, attempt: &str) -> Result<String, Failure> {
    let path = format!("{LEDGER}/{attempt}");
    let answer = ask(access, Method::DELETE, &path, Bytes::new()).await;
    let body = answer.and_then(Answer::success)?;
    Ok(render(&body, format, |answer| {
        let member = |name: &str| answer[name].as_str().unwrap_or_default().to_owned();
        format!(
            "forgotten; key {} of {} runs when it is sent again",
            member("key"),
            member("account")
        )
    }))
}

fn describe(answer: &Value) -> String {
    let calls = answer["calls"].as_array();
    let rows = calls.into_iter().flatten().map(|call| {
        let cell = |(_, member): (&str, &str)| call[member].as_str().unwrap_or_default().to_owned();
        COLUMNS.map(cell).to_vec()
    });
    let rows: Vec<Vec<String>> = rows.collect();
    if rows.is_empty() {
        return "no call's outcome is unknown".to_owned();
    }
    let heads = COLUMNS.map(|(head, _)| head);
    let counts = format!(
        "{} of at most {} calls whose outcome nobody knows",
        answer["unproved"], answer["most"]
    );
    format!("{}\n{counts}", table(&heads, &rows))
}
