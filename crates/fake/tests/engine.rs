//! What the stand-in for an engine does, and its faults.

use std::net::SocketAddr;

use fake::{Collective, Engine, EngineSettings, Fault, FencingCheck};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;

const BODY: &str = r#"{"model":"burl-notes","stream":true,"max_tokens":9}"#;

async fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    skip: u64,
    body: &str,
) -> Result<(u16, Bytes), Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(to).await?;
    let (mut tx, conn) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(conn);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "fake")
        .header("x-resume-events", skip)
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))?;
    let response = tx.send_request(req).await?;
    let status = response.status().as_u16();
    Ok((status, response.into_body().collect().await?.to_bytes()))
}

async fn chat(engine: &Engine, skip: u64, body: &str) -> Bytes {
    let path = "/v1/chat/completions";
    send(engine.address(), "POST", path, skip, body)
        .await
        .unwrap()
        .1
}

async fn order(engine: &Engine, path: &str, body: Value) -> (u16, Value) {
    let (status, body) = send(engine.address(), "POST", path, 0, &body.to_string())
        .await
        .unwrap();
    (status, serde_json::from_slice(&body).unwrap())
}

#[tokio::test]
async fn chat_resumed() {
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    let whole = chat(&engine, 0, BODY).await;
    assert!(whole.ends_with(b"data: [DONE]\n\n"));
    let events: Vec<&str> = std::str::from_utf8(&whole)
        .unwrap()
        .split_inclusive("\n\n")
        .collect();
    assert_eq!(events.len(), 11);
    let resumed = chat(&engine, 4, BODY).await;
    assert_eq!(resumed, events[4..].concat());
    let other = chat(&engine, 0, &BODY.replace("burl-notes", "kiln-notes")).await;
    assert_ne!(whole, other);
    assert_eq!(engine.requests().len(), 3);
}

#[tokio::test]
async fn chat_document() {
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    let body = BODY.replace("true", "false");
    let first: Value = serde_json::from_slice(&chat(&engine, 0, &body).await).unwrap();
    let second: Value = serde_json::from_slice(&chat(&engine, 0, &body).await).unwrap();
    assert_eq!(first, second);
    assert_eq!(first["usage"]["completion_tokens"], 9);
}

#[tokio::test]
async fn fault_end_early() {
    // An engine ends its stream as if it were whole, without its last event.
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    engine.inject_fault(Fault::EndEarly(2));
    let text = chat(&engine, 0, BODY).await;
    assert!(!text.is_empty() && !text.ends_with(b"[DONE]\n\n"));
}

#[tokio::test]
async fn fault_crash() {
    // One request crashes the engine, whoever sends it; after its restart
    // others work.
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    engine.inject_fault(Fault::CrashOn("poison".into()));
    let poison = BODY.replace("burl-notes", "poison");
    let path = "/v1/chat/completions";
    let lost = send(engine.address(), "POST", path, 0, &poison).await;
    assert!(lost.is_err());
    let refused = send(engine.address(), "POST", path, 0, BODY).await;
    assert!(refused.is_err());
    engine.restart().await.unwrap();
    assert!(chat(&engine, 0, BODY).await.ends_with(b"[DONE]\n\n"));
}

#[tokio::test]
async fn order_old_fencing() {
    // A former coordinator orders with an old number. An engine that checks
    // refuses it and names the number it knows.
    let cfg = EngineSettings {
        fencing_check: FencingCheck::Refuse,
        ..EngineSettings::default()
    };
    let engine = Engine::start(cfg).await.unwrap();
    let stage = |fencing| json!({"fencing": fencing, "version": 1, "map": {}});
    assert_eq!(order(&engine, "/map/stage", stage(5)).await.0, 200);
    let (status, stands) = order(&engine, "/map/stage", stage(4)).await;
    assert_eq!((status, &stands["fencing"]), (409, &json!(5)));
    engine.inject_fault(Fault::IgnoreFencing);
    assert_eq!(order(&engine, "/map/stage", stage(4)).await.0, 200);
}

#[tokio::test]
async fn map_switched_in_lockstep() {
    // Two engines of a group switch at one step, also when one of them hears
    // the outcome late: the other waits for it at the barrier.
    let collective = Collective::start([0, 1]).await.unwrap();
    let cfg = |rank| EngineSettings {
        ranks: vec![rank],
        collective: Some(collective.address()),
        ..EngineSettings::default()
    };
    let one = Engine::start(cfg(0)).await.unwrap();
    let two = Engine::start(cfg(1)).await.unwrap();
    let mut barrier = 0;
    for engine in [&one, &two] {
        let stage = json!({"fencing": 1, "version": 7, "map": {}});
        let (_, staged) = order(engine, "/map/stage", stage).await;
        barrier = staged["step"].as_u64().unwrap() + 500;
    }
    let body = json!({"fencing": 1, "version": 7, "step": barrier, "commit": true});
    for engine in [&one, &two] {
        let (_, held) = order(engine, "/map/hold", body.clone()).await;
        assert_eq!(held["held"], true);
    }
    order(&one, "/map/outcome", body.clone()).await;
    while one.map_state()["step"].as_u64() < Some(barrier - 1) {
        tokio::task::yield_now().await;
    }
    order(&two, "/map/outcome", body).await;
    while two.map_state()["version"] != 7 || one.map_state()["version"] != 7 {
        tokio::task::yield_now().await;
    }
    assert_eq!(one.map_history(), [(1, 0), (barrier, 7)]);
    assert_eq!(two.map_history().last(), Some(&(barrier, 7)));
}

#[tokio::test]
async fn collective_engine_back() {
    // An engine dies and is started again. The others wait for it, and it
    // runs no step before it is told which maps are in force.
    let collective = Collective::start([0, 1]).await.unwrap();
    let cfg = |rank| EngineSettings {
        ranks: vec![rank],
        collective: Some(collective.address()),
        waits_for_map: true,
        ..EngineSettings::default()
    };
    let one = Engine::start(cfg(0)).await.unwrap();
    let two = Engine::start(cfg(1)).await.unwrap();
    let none = json!({"fencing": 1, "formation": 2, "maps": []});
    for engine in [&one, &two] {
        until_formed(engine, 2).await;
        assert_eq!(engine.map_state()["waiting"], true);
        order(engine, "/map/join", none.clone()).await;
    }
    until_step(&collective, 10).await;
    two.restart().await.unwrap();
    until_formed(&two, 3).await;
    let stopped = collective.completed_step();
    assert_eq!(one.map_state()["formation"], 3);
    assert_eq!(two.map_state()["waiting"], true);
    let map = json!({"version": 7, "step": 1, "map": {}});
    let join = |formation| json!({"fencing": 1, "formation": formation, "maps": [map]});
    order(&two, "/map/join", join(2)).await;
    assert_eq!(two.map_state()["waiting"], true);
    order(&two, "/map/join", join(3)).await;
    until_step(&collective, stopped + 10).await;
    let mut last = collective.history().into_iter().rev();
    let last = last.find(|ran| ran.ranks == [1]).unwrap();
    assert_eq!(last.version, 7);
}

#[tokio::test]
async fn collective_rank_lost() {
    // An engine freezes. The others wait until its rank is declared lost, go
    // on without it, and throw it out.
    let collective = Collective::start([0, 1]).await.unwrap();
    let cfg = |rank| EngineSettings {
        ranks: vec![rank],
        collective: Some(collective.address()),
        ..EngineSettings::default()
    };
    let one = Engine::start(cfg(0)).await.unwrap();
    let two = Engine::start(cfg(1)).await.unwrap();
    until_step(&collective, 10).await;
    two.inject_fault(Fault::Stall);
    collective.remove_rank(1);
    until_formed(&one, 3).await;
    assert_eq!(one.map_state()["ranks"], json!([0]));
    until_step(&collective, collective.completed_step() + 10).await;
    while tokio::net::TcpStream::connect(two.address()).await.is_ok() {
        tokio::task::yield_now().await;
    }
}

async fn until_formed(engine: &Engine, formation: u64) {
    while engine.map_state()["formation"] != formation {
        tokio::task::yield_now().await;
    }
}

async fn until_step(collective: &Collective, step: u64) {
    while collective.completed_step() < step {
        tokio::task::yield_now().await;
    }
}
