//! `lovageramp status`.

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;

use super::host_response::render;
use super::http::request;
use super::note::describe_status;
use super::table::table;
use super::{Access, Failure, Format};

/// Printed for a missing value.
const MISSING_VALUE: &str = "-";

/// A table of the status: the JSON member with its rows, and its columns as heading
/// and member of a row.
type Section = (&'static str, &'static [(&'static str, &'static str)]);

const SECTIONS: [Section; 4] = [
    (
        "replicas",
        &[
            ("REPLICA", "name"),
            ("DISK", "disk"),
            ("STATE", "state"),
            ("MATCH", "match"),
            ("REPAIR", "repair"),
        ],
    ),
    (
        "nodes",
        &[
            ("NODE", "name"),
            ("ROLE", "role"),
            ("ZONE", "zone"),
            ("LINKS", "link_address"),
            ("CALLERS", "caller_address"),
            ("NOTE", "note"),
            ("LEAVING", "leaving"),
        ],
    ),
    (
        "targets",
        &[
            ("TARGET", "target"),
            ("GROUP", "group"),
            ("SERVICE", "service"),
            ("OFFERED", "offered"),
            ("HEALTHY", "healthy"),
            ("LEAVING", "leaving"),
            ("DRAINING", "draining"),
        ],
    ),
    (
        "groups",
        &[
            ("GROUP", "group"),
            ("FENCING", "fencing"),
            ("COORDINATOR", "coordinator"),
            ("MAP", "version"),
        ],
    ),
];

pub(super) async fn run(access: &Access, format: Format) -> Result<String, Failure> {
    let path = "/v1/operator/status";
    let response = request(access, Method::GET, path, Bytes::new()).await?;
    Ok(render(&response.into_body()?, format, describe))
}

fn describe(status: &Value) -> String {
    let mut parts = vec![format!(
        "leader {} in term {}, repair {}\n{}\nquarantine: {} convicted, {} suspect",
        cell(&status["leader"]),
        cell(&status["term"]),
        cell(&status["repair"]),
        describe_status(&status["notes"]),
        count(&status["quarantine"]["convicted"]),
        count(&status["quarantine"]["suspects"]),
    )];
    for (member, columns) in SECTIONS {
        let rows = status[member].as_array();
        let rows: Vec<Vec<String>> = rows
            .into_iter()
            .flatten()
            .map(|row| columns.iter().map(|(_, key)| cell(&row[*key])).collect())
            .collect();
        if !rows.is_empty() {
            let headings: Vec<&str> = columns.iter().map(|(heading, _)| *heading).collect();
            parts.push(table(&headings, &rows));
        }
    }
    parts.join("\n\n")
}

/// Returns the length of a list, or the number itself.
fn count(value: &Value) -> String {
    match value.as_array() {
        Some(list) => list.len().to_string(),
        None => cell(value),
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => MISSING_VALUE.to_owned(),
        Value::String(text) if text.is_empty() => MISSING_VALUE.to_owned(),
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        other => other.to_string(),
    }
}
