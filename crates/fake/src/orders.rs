//! Orders to an engine, and what it tells of itself.

use std::sync::Arc;

use hyper::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::engine::{Life, info};
use crate::expert_state::{ExpertState, Loaded, MapEnd};
use crate::http::{self, Answer, Reply};
use crate::loading;
use crate::{Fault, FencingCheck, RecordedRequest};

#[derive(Deserialize)]
struct Order {
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
    maps: Vec<InForce>,
}

/// A map and its first step.
#[derive(Deserialize)]
struct InForce {
    version: u64,
    step: u64,
    map: Value,
}

#[derive(Deserialize)]
struct Cancel {
    request: String,
}

pub(crate) fn switch(life: &Life, name: &str, seen: &RecordedRequest) -> Answer {
    if name == "clear" {
        life.shared.faults.clear();
        return http::ok(&json!({}));
    }
    let value = String::from_utf8_lossy(&seen.body);
    let Some(fault) = Fault::parse(name, &value) else {
        return http::problem(StatusCode::NOT_FOUND, "no such fault");
    };
    life.inject_fault(fault);
    http::ok(&json!({}))
}

pub(crate) fn handle(life: &Arc<Life>, seen: RecordedRequest) -> Reply {
    let (path, query) = seen.path.split_once('?').unwrap_or((&seen.path, ""));
    let answer = match (seen.method.as_str(), path) {
        ("GET", "/load") => {
            let ranks = &life.shared.cfg.ranks;
            http::ok(&life.batch.load(ranks, life.step_time()))
        }
        ("GET", "/info") => http::ok(&info(life)),
        ("GET", "/experts") => http::ok(&experts(life)),
        ("GET", "/map") => http::ok(&life.experts.borrow().to_json()),
        ("GET", "/map/used") => http::ok(&life.experts.borrow().map),
        ("GET", "/seen") => http::ok(&counts(life)),
        ("GET", "/cache") => {
            let after = query.strip_prefix("after=").unwrap_or_default();
            http::ok(&life.batch.cache_events(after.parse().unwrap_or_default()))
        }
        ("POST", "/cancel") => cancel(life, &seen),
        ("POST", "/map/stage" | "/map/hold" | "/map/outcome" | "/map/join") => {
            return order(life, seen);
        }
        _ => http::problem(StatusCode::NOT_FOUND, "no such path"),
    };
    Ok(answer)
}

fn cancel(life: &Life, seen: &RecordedRequest) -> Answer {
    let Ok(Cancel { request }) = serde_json::from_slice(&seen.body) else {
        return http::problem(StatusCode::BAD_REQUEST, "no request named");
    };
    life.shared.log.push(seen.clone());
    life.batch.cancelled.send_modify(|all| {
        all.insert(request);
    });
    http::ok(&json!({}))
}

fn order(life: &Arc<Life>, seen: RecordedRequest) -> Reply {
    let order: Order = match serde_json::from_slice(&seen.body) {
        Ok(order) => order,
        Err(e) => return Ok(http::problem(StatusCode::BAD_REQUEST, &e.to_string())),
    };
    let path = seen.path.clone();
    life.shared.log.push(seen);
    let checks = life.shared.cfg.fencing_check == FencingCheck::Refuse
        && !life.shared.faults.has(&Fault::IgnoreFencing);
    let cfg = &life.shared.cfg;
    let loads_at_once = cfg.staging_time.is_zero() && cfg.weight_store.is_none();
    let (mut answer, mut load) = (None, None);
    life.experts.send_modify(|experts| {
        if checks && order.fencing < experts.fencing {
            return;
        }
        experts.fencing = experts.fencing.max(order.fencing);
        if path == "/map/stage" && experts.load(order.version) {
            let map = Loaded::new(order.version, order.map.clone());
            if loads_at_once {
                experts.loaded(map);
            } else {
                load = Some(map);
            }
        }
        answer = Some(obey(experts, &path, order));
    });
    if let Some(map) = load {
        tokio::spawn(loading::load(Arc::clone(life), map));
    }
    if life.shared.faults.has(&Fault::DropResponse) {
        return Err(http::lost());
    }
    let Some(answer) = answer else {
        let fencing = life.experts.borrow().fencing;
        let stands = json!({"fencing": fencing});
        return Ok(http::json(StatusCode::CONFLICT, &stands));
    };
    Ok(http::ok(&answer))
}

fn obey(experts: &mut ExpertState, path: &str, order: Order) -> Value {
    match path {
        "/map/stage" => experts.stage(order.version),
        "/map/hold" => experts.hold(order.version, order.step),
        "/map/join" if !experts.is_in(order.formation) => experts.join_elsewhere(),
        "/map/join" => {
            let maps = order.maps.into_iter();
            let loaded = |map: InForce| (map.step, Loaded::new(map.version, map.map));
            experts.join(maps.map(loaded).collect())
        }
        _ => {
            let end = if order.commit {
                MapEnd::Commit
            } else {
                MapEnd::Abort
            };
            experts.outcome(order.version, order.step, end)
        }
    }
}

/// Token counts grow from the engine's start; a reader takes differences.
fn experts(life: &Life) -> Value {
    let cfg = &life.shared.cfg;
    let state = life.experts.borrow();
    let step_us = u64::try_from(life.step_time().as_micros()).unwrap_or(u64::MAX);
    let layers = vec![state.tokens.clone(); cfg.layers];
    let ranks: Vec<Value> = cfg
        .ranks
        .iter()
        .map(|rank| json!({"rank": rank, "step_us": step_us, "tokens": layers}))
        .collect();
    json!({"step": state.step, "map_version": state.version, "ranks": ranks})
}

fn counts(life: &Life) -> Value {
    let counts = life.shared.log.counts().into_iter();
    counts
        .map(|(key, path, count)| json!({"key": key, "path": path, "count": count}))
        .collect()
}
