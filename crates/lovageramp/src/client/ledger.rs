//! `lovageramp ledger`.

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;

use super::host_response::{HostResponse, render};
use super::http::request;
use super::table::table;
use super::{Access, Failure, Format, LedgerCommand};

const LEDGER: &str = "/v1/operator/ledger";

/// Columns of the list with the JSON members that they show.
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
    let response = request(access, Method::GET, LEDGER, Bytes::new()).await?;
    Ok(render(&response.into_body()?, format, describe))
}

async fn forget(access: &Access, format: Format, attempt: &str) -> Result<String, Failure> {
    let path = format!("{LEDGER}/{attempt}");
    let response = request(access, Method::DELETE, &path, Bytes::new()).await;
    let body = response.and_then(HostResponse::into_body)?;
    Ok(render(&body, format, |response| {
        let member = |name: &str| response[name].as_str().unwrap_or_default().to_owned();
        format!(
            "forgotten; key {} of {} runs when it is sent again",
            member("key"),
            member("account")
        )
    }))
}

fn describe(response: &Value) -> String {
    let calls = response["calls"].as_array();
    let rows = calls.into_iter().flatten().map(|call| {
        let cell = |(_, member): (&str, &str)| call[member].as_str().unwrap_or_default().to_owned();
        COLUMNS.map(cell).to_vec()
    });
    let rows: Vec<Vec<String>> = rows.collect();
    if rows.is_empty() {
        return "no calls with an unknown outcome".to_owned();
    }
    let headings = COLUMNS.map(|(heading, _)| heading);
    let counts = format!(
        "{} of at most {} calls with an unknown outcome",
        response["unproved"], response["most"]
    );
    format!("{}\n{counts}", table(&headings, &rows))
}
