//! Routes of an engine other than completions: status, map commands, faults.

use std::sync::Arc;

use hyper::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::engine::{RunningEngine, info};
use crate::expert_state::{ExpertState, LoadedMap, MapOutcome};
use crate::http::{self, HandlerResult, HttpResponse};
use crate::loading;
use crate::{Fault, FencingCheck, RecordedRequest};

#[derive(Deserialize)]
struct MapCommand {
    fencing: u64,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    step: u64,
    #[serde(default)]
    commit: bool,
    #[serde(default)]
    map: Value,
    #[serde(default)]
    formation: u64,
    #[serde(default)]
    maps: Vec<ActiveMap>,
}

/// A map in force and the first step that uses it.
#[derive(Deserialize)]
struct ActiveMap {
    version: u64,
    step: u64,
    map: Value,
}

#[derive(Deserialize)]
struct CancelRequest {
    request: String,
}

pub(crate) fn set_fault(
    engine: &RunningEngine,
    name: &str,
    request: &RecordedRequest,
) -> HttpResponse {
    if name == "clear" {
        engine.shared.faults.clear();
        return http::ok(&json!({}));
    }
    let value = String::from_utf8_lossy(&request.body);
    let Some(fault) = Fault::parse(name, &value) else {
        return http::error(StatusCode::NOT_FOUND, "no such fault");
    };
    engine.inject_fault(fault);
    http::ok(&json!({}))
}

pub(crate) fn handle(engine: &Arc<RunningEngine>, request: RecordedRequest) -> HandlerResult {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let response = match (request.method.as_str(), path) {
        ("GET", "/load") => {
            let ranks = &engine.shared.cfg.ranks;
            http::ok(&engine.batch.load_report(ranks, engine.step_time()))
        }
        ("GET", "/info") => http::ok(&info(engine)),
        ("GET", "/experts") => http::ok(&expert_counters(engine)),
        ("GET", "/map") => http::ok(&engine.experts.borrow().to_json()),
        ("GET", "/map/used") => http::ok(&engine.experts.borrow().map),
        ("GET", "/seen") => http::ok(&request_counts(engine)),
        ("GET", "/cache") => {
            let after = query.strip_prefix("after=").unwrap_or_default();
            http::ok(&engine.batch.cache_events(after.parse().unwrap_or_default()))
        }
        ("POST", "/cancel") => cancel(engine, &request),
        ("POST", "/map/stage" | "/map/hold" | "/map/outcome" | "/map/join") => {
            return run_map_command(engine, request);
        }
        _ => http::error(StatusCode::NOT_FOUND, "no such path"),
    };
    Ok(response)
}

fn cancel(engine: &RunningEngine, request: &RecordedRequest) -> HttpResponse {
    let Ok(CancelRequest { request: id }) = serde_json::from_slice(&request.body) else {
        return http::error(StatusCode::BAD_REQUEST, "no request named");
    };
    engine.shared.requests.push(request.clone());
    engine.batch.cancelled.send_modify(|ids| {
        ids.insert(id);
    });
    http::ok(&json!({}))
}

fn run_map_command(engine: &Arc<RunningEngine>, request: RecordedRequest) -> HandlerResult {
    let command: MapCommand = match serde_json::from_slice(&request.body) {
        Ok(command) => command,
        Err(e) => return Ok(http::error(StatusCode::BAD_REQUEST, &e.to_string())),
    };
    let path = request.path.clone();
    engine.shared.requests.push(request);
    let checks_fencing = engine.shared.cfg.fencing_check == FencingCheck::Refuse
        && !engine.shared.faults.has(&Fault::IgnoreFencing);
    let cfg = &engine.shared.cfg;
    let loads_immediately = cfg.staging_time.is_zero() && cfg.weight_store.is_none();
    let (mut reply, mut to_load) = (None, None);
    engine.experts.send_modify(|experts| {
        if checks_fencing && command.fencing < experts.fencing {
            return;
        }
        experts.fencing = experts.fencing.max(command.fencing);
        if path == "/map/stage" && experts.begin_loading(command.version) {
            let map = LoadedMap::new(command.version, command.map.clone());
            if loads_immediately {
                experts.finish_loading(map);
            } else {
                to_load = Some(map);
            }
        }
        reply = Some(apply(experts, &path, command));
    });
    if let Some(map) = to_load {
        tokio::spawn(loading::load(Arc::clone(engine), map));
    }
    if engine.shared.faults.has(&Fault::DropResponse) {
        return Err(http::dropped_by_fault());
    }
    let Some(reply) = reply else {
        let fencing = engine.experts.borrow().fencing;
        let body = json!({"fencing": fencing});
        return Ok(http::json(StatusCode::CONFLICT, &body));
    };
    Ok(http::ok(&reply))
}

fn apply(experts: &mut ExpertState, path: &str, command: MapCommand) -> Value {
    match path {
        "/map/stage" => experts.stage(command.version),
        "/map/hold" => experts.hold(command.version, command.step),
        "/map/join" if !experts.is_in_formation(command.formation) => experts.ignore_join(),
        "/map/join" => {
            let maps = command.maps.into_iter();
            let loaded = |map: ActiveMap| (map.step, LoadedMap::new(map.version, map.map));
            experts.join(maps.map(loaded).collect())
        }
        _ => {
            let outcome = if command.commit {
                MapOutcome::Commit
            } else {
                MapOutcome::Abort
            };
            experts.outcome(command.version, command.step, outcome)
        }
    }
}

/// Cumulative token counts since the start of the engine; readers take differences.
fn expert_counters(engine: &RunningEngine) -> Value {
    let cfg = &engine.shared.cfg;
    let state = engine.experts.borrow();
    let step_us = u64::try_from(engine.step_time().as_micros()).unwrap_or(u64::MAX);
    let layers = vec![state.tokens.clone(); cfg.layers];
    let ranks: Vec<Value> = cfg
        .ranks
        .iter()
        .map(|rank| json!({"rank": rank, "step_us": step_us, "tokens": layers}))
        .collect();
    json!({"step": state.step, "map_version": state.version, "ranks": ranks})
}

fn request_counts(engine: &RunningEngine) -> Value {
    let counts = engine.shared.requests.counts().into_iter();
    counts
        .map(|(key, path, count)| json!({"key": key, "path": path, "count": count}))
        .collect()
}
