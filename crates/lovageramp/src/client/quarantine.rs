//! `lovageramp quarantine`.

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;

use super::host_response::{HostResponse, render};
use super::http::request;
use super::table::table;
use super::{Access, Failure, Format, QuarantineCommand};

const QUARANTINE: &str = "/v1/operator/quarantine";

pub(super) async fn run(command: QuarantineCommand) -> (Format, Result<String, Failure>) {
    match command {
        QuarantineCommand::List { format, access } => (format, list(&access, format).await),
        QuarantineCommand::Pardon {
            format,
            access,
            fingerprint,
        } => (format, pardon(&access, format, &fingerprint).await),
    }
}

async fn list(access: &Access, format: Format) -> Result<String, Failure> {
    let response = request(access, Method::GET, QUARANTINE, Bytes::new()).await?;
    Ok(render(&response.into_body()?, format, describe))
}

async fn pardon(access: &Access, format: Format, fingerprint: &str) -> Result<String, Failure> {
    let path = format!("{QUARANTINE}/{fingerprint}");
    let response = request(access, Method::DELETE, &path, Bytes::new()).await;
    let body = response.and_then(HostResponse::into_body)?;
    Ok(render(&body, format, |_| {
        "pardoned; it may run again".to_owned()
    }))
}

fn describe(response: &Value) -> String {
    let mut rows = Vec::new();
    for state in ["convicted", "suspects"] {
        for fingerprint in response[state].as_array().into_iter().flatten() {
            let fingerprint = fingerprint.as_str().unwrap_or_default();
            let state = state.trim_end_matches('s');
            rows.push(vec![fingerprint.to_owned(), state.to_owned()]);
        }
    }
    if rows.is_empty() {
        return "no request is in quarantine".to_owned();
    }
    table(&["FINGERPRINT", "STATE"], &rows)
}
