//! `lovageramp evacuation`.

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;

use super::host_response::{HostResponse, render};
use super::http::request;
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

async fn send(
    access: &Access,
    method: Method,
    zone: &str,
    format: Format,
) -> Result<String, Failure> {
    let path = format!("{EVACUATIONS}/{zone}");
    let response = request(access, method, &path, Bytes::new()).await;
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
