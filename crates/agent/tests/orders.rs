//! Orders to engines that check fencing numbers, and to ones that don't.

mod support;

use agent::engine::{CommandFailure, Failure, MapCommand};
use fake::{Engine, EngineSettings, Fault, FencingCheck};
use serde_json::json;
use support::Bench;

async fn engine(fencing: FencingCheck) -> Engine {
    let cfg = EngineSettings {
        fencing,
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
async fn give_old_number() {
    // A coordinator that was cut off goes on giving orders under its old
    // number. An engine that doesn't check would obey; its agent refuses.
    let engine = engine(FencingCheck::Ignore).await;
    let bench = Bench::engine(&engine, json!({})).await;
    bench.control.fence(5);
    let commands = bench.agent.commands();
    commands.send(6, stage(2)).await.unwrap();
    let refused = commands.send(5, stage(3)).await;
    assert_eq!(refused, Err(CommandFailure::Fenced { highest: 6 }));
    assert_eq!(engine.map()["staged"], 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn give_after_restart() {
    // The agent restarts and has seen no number yet. The first order it gets
    // is one of a former coordinator, held up on its way.
    let engine = engine(FencingCheck::Ignore).await;
    let bench = Bench::engine(&engine, json!({})).await;
    bench.control.fence(9);
    let refused = bench.agent.commands().send(8, stage(2)).await;
    assert_eq!(refused, Err(CommandFailure::Fenced { highest: 9 }));
    assert!(engine.seen().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn give_without_control() {
    // No majority can tell the current number. No order is given at all.
    let engine = engine(FencingCheck::Ignore).await;
    let bench = Bench::engine(&engine, json!({})).await;
    bench.control.resign();
    let refused = bench.agent.commands().send(8, stage(2)).await;
    assert!(matches!(
        refused,
        Err(CommandFailure::Failed(Failure::NotRun(_)))
    ));
    assert!(engine.seen().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn give_engine_knows_higher() {
    // The engine has obeyed a higher number before, through a former agent.
    let engine = engine(FencingCheck::Refuse).await;
    let first = Bench::engine(&engine, json!({})).await;
    first.agent.commands().send(7, stage(2)).await.unwrap();
    let second = Bench::engine(&engine, json!({})).await;
    let refused = second.agent.commands().send(6, stage(3)).await;
    assert_eq!(refused, Err(CommandFailure::Fenced { highest: 7 }));
}

#[tokio::test(flavor = "multi_thread")]
async fn give_answer_lost() {
    // The engine obeys and its answer is lost, at each step of a switch. The
    // agent reads back what was done instead of guessing.
    let engine = engine(FencingCheck::Ignore).await;
    let bench = Bench::engine(&engine, json!({})).await;
    let commands = bench.agent.commands();
    engine.fault(Fault::LoseAnswer);
    let staged = commands.send(1, stage(2)).await.unwrap();
    assert!(staged.ready);
    let step = engine.map()["step"].as_u64().unwrap() + 1_000_000;
    let held = commands
        .send(1, MapCommand::Hold { version: 2, step })
        .await;
    assert!(held.unwrap().held);
    let commit = MapCommand::Commit { version: 2, step };
    assert!(commands.send(1, commit.clone()).await.unwrap().known);
    assert_eq!(engine.map()["next"], 2);
    // Given once more, by a coordinator that lost the outcome.
    assert!(commands.send(1, commit).await.unwrap().known);
    let abort = MapCommand::Abort { version: 3, step };
    commands.send(1, stage(3)).await.unwrap();
    assert!(commands.send(1, abort).await.unwrap().known);
    assert_eq!(engine.map()["staged"], json!(null));
    assert_eq!(engine.map()["next"], 2);
    assert_eq!(engine.seen().len(), 6);
    engine.clear();
    let again = MapCommand::Commit { version: 2, step };
    assert!(commands.send(1, again).await.unwrap().known);
}

#[tokio::test(flavor = "multi_thread")]
async fn give_engine_dead() {
    // The engine is dead. The order is told as not run, in bounded time.
    let engine = engine(FencingCheck::Ignore).await;
    let bench = Bench::engine(&engine, json!({})).await;
    engine.fault(Fault::Die);
    let failed = bench.agent.commands().send(1, stage(2)).await;
    assert!(matches!(failed, Err(CommandFailure::Failed(_))));
}
