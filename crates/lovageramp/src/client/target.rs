//! `lovageramp target`.

use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};

use super::host_response::render;
use super::http::request;
use super::{Failure, Format, TargetCommand};

pub(super) async fn run(command: TargetCommand) -> (Format, Result<String, Failure>) {
    let TargetCommand::Drain {
        format,
        access,
        undo,
        name,
    } = command;
    let path = format!("/v1/operator/targets/{name}/drain");
    let body = Bytes::from(json!({"draining": !undo}).to_string());
    let response = request(&access, Method::POST, &path, body).await;
    let drained = response.and_then(super::host_response::HostResponse::into_body);
    (format, drained.map(|body| render(&body, format, describe)))
}

fn describe(response: &Value) -> String {
    let target = response["target"].as_str().unwrap_or_default();
    if response["draining"] == Value::Bool(true) {
        format!("{target} gets no new work; what runs there finishes")
    } else {
        format!("{target} gets work again")
    }
}
