//! One expert map in every step, through separate processes.

mod support;

use serde_json::Value;
use support::{AGENTS, MapGroup, until};

const COORDINATOR: &str = AGENTS[0];

/// A state of an engine, with how it is called.
type State = (&'static str, fn(&Value) -> bool);

/// Waits until another agent than the coordinator has got the group to go on.
async fn until_succeeded(group: &MapGroup, fencing: u64) {
    until("another agent coordinates", || async {
        let map = group.map(AGENTS[1]).await;
        let higher = map["fencing"].as_u64()? > fencing;
        (higher && map["held"].is_null()).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_as_popularity_drifts() {
    let group = MapGroup::start(&[]).await;
    group.until_switches(3).await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_coordinator_killed_before_decision() {
    // All ranks have promised to stop before a barrier when the agent that
    // coordinates dies, and nothing is decided. The group stands still, and
    // every answer with it, until the next coordinator aborts the switch and
    // the dead agent is started again.
    let mut group = MapGroup::start(&[]).await;
    group.until_undecided().await;
    let fencing = group.fencing(AGENTS[1]).await;
    group.cluster.kill(COORDINATOR).await;
    group.heal_control(COORDINATOR);
    until_succeeded(&group, fencing).await;
    group.cluster.start_agent(COORDINATOR).await;
    group.until_switches(2).await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_coordinator_killed_in_decision() {
    // The decision is committed, but the coordinator never learns it and
    // dies. Its own engine waits at the barrier while the others could go on
    // with the new map: if it went on with the former one, callers would get
    // nonsense.
    let mut group = MapGroup::start(&[]).await;
    loop {
        group.until_staged().await;
        group.mute_control(COORDINATOR);
        let decided = until("a decision, or none can get through", || async {
            let maps = group.maps().await;
            let undecided = maps[0]["held"].is_u64();
            let waits =
                |map: &Value| map["held"].as_u64() == map["step"].as_u64().map(|step| step + 1);
            if undecided && maps[1]["next"].is_u64() {
                return Some(true);
            }
            let stuck = maps.iter().all(waits) && group.is_redialled(COORDINATOR);
            let over = maps.iter().all(|map| map["staged"].is_null());
            (stuck || over).then_some(false)
        })
        .await;
        if decided {
            break;
        }
        group.heal_control(COORDINATOR);
        group.until_switches(1).await;
    }
    group.cluster.kill(COORDINATOR).await;
    group.heal_control(COORDINATOR);
    assert!(group.map(COORDINATOR).await["held"].is_u64());
    group.cluster.start_agent(COORDINATOR).await;
    group.until_switches(2).await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_coordinator_killed_after_decision() {
    // The coordinator has told some of the decision and dies before it told
    // all. An agent that was never told finds it in the durable state; until
    // then its engine waits at the barrier, and the group with it.
    let mut group = MapGroup::start(&[]).await;
    loop {
        let deaf = AGENTS[2];
        until("the third engine has promised", || async {
            group.map(deaf).await["held"].is_u64().then_some(())
        })
        .await;
        group.cut_off(deaf);
        let told = until("the others are told, or all are", || async {
            let maps = group.maps().await;
            if maps[2]["held"].is_null() {
                return Some(false);
            }
            let decided = |map: &Value| map["next"].is_u64();
            maps[..2].iter().all(decided).then_some(true)
        })
        .await;
        if told {
            break;
        }
        group.heal(deaf);
    }
    group.cluster.kill(COORDINATOR).await;
    group.heal(AGENTS[2]);
    group.until_steps(300).await;
    group.cluster.start_agent(COORDINATOR).await;
    group.until_switches(2).await;
    group.assert_one_map();
}

/// The coordinator is frozen with its decision unsent, another one takes over, and it
/// thaws.
async fn coordinator_frozen(group: &MapGroup) {
    group.until_undecided().await;
    let fencing = group.fencing(AGENTS[1]).await;
    group.cluster.signal(COORDINATOR, "STOP").await;
    group.heal_control(COORDINATOR);
    until_succeeded(group, fencing).await;
    group.cluster.signal(COORDINATOR, "CONT").await;
    group.until_switches(2).await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_coordinator_frozen_engines_ignore_fencing() {
    // The agent that coordinates is frozen for so long that another one takes
    // over and releases the ranks. Then it goes on, believing to be in
    // charge, and the engines obey whatever order comes: an order under its
    // old number would put its rank on a map that the others never used.
    let group = MapGroup::start(&[]).await;
    coordinator_frozen(&group).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_coordinator_frozen_engines_check_fencing() {
    // The same with engines that refuse old numbers: the group would stand
    // still if the outcome came under the number of the frozen coordinator.
    let group = MapGroup::start(&["--checks-fencing"]).await;
    coordinator_frozen(&group).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_rank_hears_nothing() {
    // One agent is cut off from everything but its engine while a map is
    // staged. Its engine runs on with the others: if they switched without
    // it, it would run their steps on the former map.
    let group = MapGroup::start(&[]).await;
    group.until_staged().await;
    group.cut_off(AGENTS[2]);
    group.until_steps(1500).await;
    group.assert_one_map();
    group.heal(AGENTS[2]);
    group.until_switches(2).await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_order_answer_lost() {
    // The engine obeys an order, but the answer never comes. An agent that
    // took the order for lost, or gave it again after the next one, would
    // leave its engine on another map than the others, or waiting for ever.
    let group = MapGroup::start(&[]).await;
    let to_engine = &group.cluster.relays["fake-advisor-02"];
    let states: [State; 4] = [
        ("nothing is staged", |map| map["staged"].is_null()),
        ("a map is staged", |map| map["staged"].is_u64()),
        ("the barrier is held", |map| map["held"].is_u64()),
        ("nothing is held", |map| map["held"].is_null()),
    ];
    for pair in states.windows(2) {
        for (what, holds) in pair {
            until(what, || async {
                holds(&group.map(AGENTS[1]).await).then_some(())
            })
            .await;
            to_engine.mute();
        }
        to_engine.heal();
        group.until_switches(1).await;
    }
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_agent_restarted_while_held() {
    // An agent dies when its engine has promised to stop, and is started
    // again. It knows nothing; if it took its engine for free, the engine
    // would run past the barrier on the former map.
    let mut group = MapGroup::start(&[]).await;
    for _ in 0..2 {
        loop {
            until("the second engine has promised", || async {
                group.map(AGENTS[1]).await["held"].is_u64().then_some(())
            })
            .await;
            group.cluster.kill(AGENTS[1]).await;
            let held = group.map(AGENTS[1]).await["held"].is_u64();
            group.cluster.start_agent(AGENTS[1]).await;
            if held {
                break;
            }
        }
        group.until_switches(1).await;
    }
    group.assert_one_map();
}
