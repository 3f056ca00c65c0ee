//! Commands to engines that check fencing numbers and to engines that don't.

mod support;

use agent::engine::{CommandFailure, Failure, MapCommand};
use fake::{Engine, EngineSettings, Fault, FencingCheck};
use serde_json::json;
use support::Fixture;

async fn engine(fencing: FencingCheck) -> Engine {
    let cfg = EngineSettings {
        fencing_check: fencing,
        ..EngineSettings::default()
    };
    Engine::start(cfg).await.unwrap()
}

fn stage(version: u64) -> MapCommand {
    MapCommand::Stage {
        version,
        map: "{}".into(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn send_outdated_number() {
    // A coordinator that was cut off keeps sending commands under its old fencing
    // number. The engine doesn't check the number, so the agent must refuse.
    let engine = engine(FencingCheck::Ignore).await;
    let fixture = Fixture::engine(&engine, json!({})).await;
    fixture.control.set_fencing(5);
    let commands = fixture.agent.commands();
    commands.send(6, stage(2)).await.unwrap();
    let refused = commands.send(5, stage(3)).await;
    assert_eq!(refused, Err(CommandFailure::Fenced { highest: 6 }));
    assert_eq!(engine.map_state()["staged"], 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn send_after_restart() {
    // The agent has restarted and knows no fencing number. The first command that it
    // receives is a delayed one of a former coordinator.
    let engine = engine(FencingCheck::Ignore).await;
    let fixture = Fixture::engine(&engine, json!({})).await;
    fixture.control.set_fencing(9);
    let refused = fixture.agent.commands().send(8, stage(2)).await;
    assert_eq!(refused, Err(CommandFailure::Fenced { highest: 9 }));
    assert!(engine.requests().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn send_without_control() {
    // Control has no majority to read the current fencing number from. No command
    // may be sent.
    let engine = engine(FencingCheck::Ignore).await;
    let fixture = Fixture::engine(&engine, json!({})).await;
    fixture.control.resign();
    let refused = fixture.agent.commands().send(8, stage(2)).await;
    assert!(matches!(
        refused,
        Err(CommandFailure::Failed(Failure::NotRun(_)))
    ));
    assert!(engine.requests().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn send_engine_knows_higher() {
    // The engine has applied a command with a higher fencing number before, sent by
    // another agent.
    let engine = engine(FencingCheck::Refuse).await;
    let first = Fixture::engine(&engine, json!({})).await;
    first.agent.commands().send(7, stage(2)).await.unwrap();
    let second = Fixture::engine(&engine, json!({})).await;
    let refused = second.agent.commands().send(6, stage(3)).await;
    assert_eq!(refused, Err(CommandFailure::Fenced { highest: 7 }));
}

#[tokio::test(flavor = "multi_thread")]
async fn send_answer_lost() {
    // At each step of a switch the engine applies the command, and its answer is
    // lost. The agent must read back the effect instead of guessing.
    let engine = engine(FencingCheck::Ignore).await;
    let fixture = Fixture::engine(&engine, json!({})).await;
    let commands = fixture.agent.commands();
    engine.inject_fault(Fault::DropResponse);
    let staged = commands.send(1, stage(2)).await.unwrap();
    assert!(staged.ready);
    let step = engine.map_state()["step"].as_u64().unwrap() + 1_000_000;
    let held = commands
        .send(1, MapCommand::Hold { version: 2, step })
        .await;
    assert!(held.unwrap().held);
    let commit = MapCommand::Commit { version: 2, step };
    assert!(commands.send(1, commit.clone()).await.unwrap().known);
    assert_eq!(engine.map_state()["next"], 2);
    // Sent again by a coordinator that lost the answer.
    assert!(commands.send(1, commit).await.unwrap().known);
    let abort = MapCommand::Abort { version: 3, step };
    commands.send(1, stage(3)).await.unwrap();
    assert!(commands.send(1, abort).await.unwrap().known);
    assert_eq!(engine.map_state()["staged"], json!(null));
    assert_eq!(engine.map_state()["next"], 2);
    assert_eq!(engine.requests().len(), 6);
    engine.clear_faults();
    let again = MapCommand::Commit { version: 2, step };
    assert!(commands.send(1, again).await.unwrap().known);
}

#[tokio::test(flavor = "multi_thread")]
async fn send_engine_dead() {
    // The engine is down. The command must fail in bounded time.
    let engine = engine(FencingCheck::Ignore).await;
    let fixture = Fixture::engine(&engine, json!({})).await;
    engine.inject_fault(Fault::Crash);
    let failed = fixture.agent.commands().send(1, stage(2)).await;
    assert!(matches!(failed, Err(CommandFailure::Failed(_))));
}
