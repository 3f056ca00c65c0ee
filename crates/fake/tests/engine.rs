//! Behaviour and faults of the fake engine.

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
    address: SocketAddr,
    method: &str,
    path: &str,
    skip: u64,
    body: &str,
) -> Result<(u16, Bytes), Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
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

async fn post_command(engine: &Engine, path: &str, body: Value) -> (u16, Value) {
    let (status, body) = send(engine.address(), "POST", path, 0, &body.to_string())
        .await
        .unwrap();
    (status, serde_json::from_slice(&body).unwrap())
}

#[tokio::test]
async fn resume_stream() {
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
async fn non_streamed_response_repeatable() {
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    let body = BODY.replace("true", "false");
    let first: Value = serde_json::from_slice(&chat(&engine, 0, &body).await).unwrap();
    let second: Value = serde_json::from_slice(&chat(&engine, 0, &body).await).unwrap();
    assert_eq!(first, second);
    assert_eq!(first["usage"]["completion_tokens"], 9);
}

#[tokio::test]
async fn fault_end_early() {
    // The engine ends its stream cleanly but without the final event.
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    engine.inject_fault(Fault::EndEarly(2));
    let text = chat(&engine, 0, BODY).await;
    assert!(!text.is_empty() && !text.ends_with(b"[DONE]\n\n"));
}

#[tokio::test]
async fn fault_crash() {
    // One request body crashes the engine; after a restart, other requests work.
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    engine.inject_fault(Fault::CrashOn("poison".into()));
    let poison = BODY.replace("burl-notes", "poison");
    let path = "/v1/chat/completions";
    let crashed = send(engine.address(), "POST", path, 0, &poison).await;
    assert!(crashed.is_err());
    let refused = send(engine.address(), "POST", path, 0, BODY).await;
    assert!(refused.is_err());
    engine.restart().await.unwrap();
    assert!(chat(&engine, 0, BODY).await.ends_with(b"[DONE]\n\n"));
}

#[tokio::test]
async fn stale_fencing_refused() {
    // A former coordinator sends a command with a stale fencing number. An engine
    // that checks the number refuses the command and returns the current number.
    let cfg = EngineSettings {
        fencing_check: FencingCheck::Refuse,
        ..EngineSettings::default()
    };
    let engine = Engine::start(cfg).await.unwrap();
    let stage = |fencing| json!({"fencing": fencing, "version": 1, "map": {}});
    assert_eq!(post_command(&engine, "/map/stage", stage(5)).await.0, 200);
    let (status, conflict) = post_command(&engine, "/map/stage", stage(4)).await;
    assert_eq!((status, &conflict["fencing"]), (409, &json!(5)));
    engine.inject_fault(Fault::IgnoreFencing);
    assert_eq!(post_command(&engine, "/map/stage", stage(4)).await.0, 200);
}

#[tokio::test]
async fn map_switched_in_lockstep() {
    // Two engines of a group switch maps at the same step, even if one of them
    // learns the outcome late: the other waits for it at the barrier.
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
        let (_, staged) = post_command(engine, "/map/stage", stage).await;
        barrier = staged["step"].as_u64().unwrap() + 500;
    }
    let body = json!({"fencing": 1, "version": 7, "step": barrier, "commit": true});
    for engine in [&one, &two] {
        let (_, held) = post_command(engine, "/map/hold", body.clone()).await;
        assert_eq!(held["held"], true);
    }
    post_command(&one, "/map/outcome", body.clone()).await;
    while one.map_state()["step"].as_u64() < Some(barrier - 1) {
        tokio::task::yield_now().await;
    }
    post_command(&two, "/map/outcome", body).await;
    while two.map_state()["version"] != 7 || one.map_state()["version"] != 7 {
        tokio::task::yield_now().await;
    }
    assert_eq!(one.map_history(), [(1, 0), (barrier, 7)]);
    assert_eq!(two.map_history().last(), Some(&(barrier, 7)));
}

#[tokio::test]
async fn collective_engine_restarted() {
    // An engine is restarted. The others wait for it, and it runs no step before
    // it is told which maps are in force.
    let collective = Collective::start([0, 1]).await.unwrap();
    let cfg = |rank| EngineSettings {
        ranks: vec![rank],
        collective: Some(collective.address()),
        waits_for_map: true,
        ..EngineSettings::default()
    };
    let one = Engine::start(cfg(0)).await.unwrap();
    let two = Engine::start(cfg(1)).await.unwrap();
    let no_maps = json!({"fencing": 1, "formation": 2, "maps": []});
    for engine in [&one, &two] {
        wait_for_formation(engine, 2).await;
        assert_eq!(engine.map_state()["waiting"], true);
        post_command(engine, "/map/join", no_maps.clone()).await;
    }
    wait_for_step(&collective, 10).await;
    two.restart().await.unwrap();
    wait_for_formation(&two, 3).await;
    let stopped = collective.completed_step();
    assert_eq!(one.map_state()["formation"], 3);
    assert_eq!(two.map_state()["waiting"], true);
    let map = json!({"version": 7, "step": 1, "map": {}});
    let join = |formation| json!({"fencing": 1, "formation": formation, "maps": [map]});
    post_command(&two, "/map/join", join(2)).await;
    assert_eq!(two.map_state()["waiting"], true);
    post_command(&two, "/map/join", join(3)).await;
    wait_for_step(&collective, stopped + 10).await;
    let mut last = collective.history().into_iter().rev();
    let last = last.find(|step| step.ranks == [1]).unwrap();
    assert_eq!(last.version, 7);
}

#[tokio::test]
async fn collective_rank_removed() {
    // An engine stalls. The others wait until its rank is removed, continue
    // without it, and the engine is disconnected.
    let collective = Collective::start([0, 1]).await.unwrap();
    let cfg = |rank| EngineSettings {
        ranks: vec![rank],
        collective: Some(collective.address()),
        ..EngineSettings::default()
    };
    let one = Engine::start(cfg(0)).await.unwrap();
    let two = Engine::start(cfg(1)).await.unwrap();
    wait_for_step(&collective, 10).await;
    two.inject_fault(Fault::Stall);
    collective.remove_rank(1);
    wait_for_formation(&one, 3).await;
    assert_eq!(one.map_state()["ranks"], json!([0]));
    wait_for_step(&collective, collective.completed_step() + 10).await;
    while tokio::net::TcpStream::connect(two.address()).await.is_ok() {
        tokio::task::yield_now().await;
    }
}

async fn wait_for_formation(engine: &Engine, formation: u64) {
    while engine.map_state()["formation"] != formation {
        tokio::task::yield_now().await;
    }
}

async fn wait_for_step(collective: &Collective, step: u64) {
    while collective.completed_step() < step {
        tokio::task::yield_now().await;
    }
}
