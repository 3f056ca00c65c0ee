//! `lovageramp evacuation`.

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;

use super::host_response::{HostResponse, render};
use super::http::{if_match, request, request_if};
use super::{Access, EvacuationCommand, Failure, Format};

const EVACUATIONS: &str = "/v1/operator/evacuations";

pub(super) async fn run(command: EvacuationCommand) -> (Format, Result<String, Failure>) {
    match command {
        EvacuationCommand::Start {
            format,
            access,
            zone,
        } => (format, send(&access, Method::PUT, &zone, format).await),
        EvacuationCommand::Finish {
            format,
            access,
            zone,
        } => (format, send(&access, Method::DELETE, &zone, format).await),
        EvacuationCommand::List { format, access } => (format, list(&access, format).await),
    }
}

/// Sends an order together with the number of the evacuations that it was given against, so
/// that a copy that arrives late does not undo a newer order.
async fn send(
    access: &Access,
    method: Method,
    zone: &str,
    format: Format,
) -> Result<String, Failure> {
    let known = request(access, Method::GET, EVACUATIONS, Bytes::new()).await?;
    let known = known.into_body()?;
    let condition = known["number"].as_u64().map(if_match);
    let path = format!("{EVACUATIONS}/{zone}");
    let response = request_if(access, method, &path, condition).await;
    let body = response.and_then(HostResponse::into_body)?;
    Ok(render(&body, format, describe))
}

async fn list(access: &Access, format: Format) -> Result<String, Failure> {
    let response = request(access, Method::GET, EVACUATIONS, Bytes::new()).await?;
    Ok(render(&response.into_body()?, format, describe))
}

fn describe(response: &Value) -> String {
    let zones = response["evacuated"].as_array();
    let zones = zones.into_iter().flatten().filter_map(Value::as_str);
    let zones: Vec<&str> = zones.collect();
    if zones.is_empty() {
        return "no zone is evacuated".to_owned();
    }
    format!("evacuated: {}", zones.join(", "))
}
