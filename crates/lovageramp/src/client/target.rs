//! `lovageramp target`.

use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};

use super::answer::render;
use super::http::ask;
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
    let answer = ask(&access, Method::POST, &path, body).await;
    let drained = answer.and_then(super::answer::Answer::success);
    (format, drained.map(|body| render(&body, format, describe)))
}

fn describe(answer: &Value) -> String {
    let target = answer["target"].as_str().unwrap_or_default();
    if answer["draining"] == Value::Bool(true) {
        format!("{target} gets no new work; what runs there finishes")
    } else {
        format!("{target} gets work again")
    }
}
