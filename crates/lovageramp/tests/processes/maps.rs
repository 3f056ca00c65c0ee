//! All ranks use the same expert map in every step; run with separate processes.

use crate::support::{AGENTS, EXPERT_BYTES, MAX_ATTEMPTS, MapGroup, until};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::ops::Range;

const COORDINATOR: &str = AGENTS[0];
/// Calls after which a restarted agent has read from its engine whether it holds a promise.
const ENGINE_POLLS: u64 = 40;
/// Experts of each layer.
const EXPERTS: usize = 8;

/// Waits until another agent has taken over as coordinator and released its engine.
async fn until_coordinator_replaced(group: &MapGroup, fencing: u64) {
    until("another agent has taken over as coordinator", || async {
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
    // All ranks have promised to stop before a barrier when the coordinating
    // agent is killed, and nothing is decided. The group and all its answers are
    // blocked until the next coordinator aborts the switch and the killed agent
    // is restarted.
    let mut group = MapGroup::start(&[]).await;
    group.until_undecided().await;
    let fencing = group.fencing(AGENTS[1]).await;
    group.cluster.kill(COORDINATOR).await;
    group.heal_control(COORDINATOR);
    until_coordinator_replaced(&group, fencing).await;
    group.cluster.start_agent(COORDINATOR).await;
    group.until_switches(2).await;
    group.assert_one_map();
}

/// Prevents the coordinator from learning its own decision. Returns false if the decision
/// reached it first or was not made.
async fn withhold_decision(group: &MapGroup) -> bool {
    // Losing the answer delays the last promise by the timeout of an order.
    let last_engine = &group.cluster.relays["fake-advisor-03"];
    group.until_staged().await;
    last_engine.discard_replies_to("POST /map/hold");
    until("the other engines have promised", || async {
        let maps = group.maps().await;
        let held = |map: &Value| map["held"].is_u64();
        maps[..2].iter().all(held).then_some(())
    })
    .await;
    group.mute_control(COORDINATOR);
    let decided = until(
        "a decision is made, or none can be committed any more",
        || async {
            let maps = group.maps().await;
            let version = &maps[0]["staged"];
            if maps[0]["held"].is_null() {
                return Some(false);
            }
            if maps[1]["next"] == *version || maps[1]["version"] == *version {
                return Some(true);
            }
            let held = |map: &Value| map["held"].is_u64();
            let undecided = maps.iter().all(held) && group.is_redialled(COORDINATOR);
            undecided.then_some(false)
        },
    )
    .await;
    last_engine.discard_replies_to("");
    decided
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_coordinator_killed_in_decision() {
    // The decision is committed, but the coordinator is killed before it learns
    // it. Its own engine waits at the barrier while the others may continue with
    // the new map. If it continued with the previous map, answers would be wrong.
    let mut group = MapGroup::start(&[]).await;
    let mut tries = 0..MAX_ATTEMPTS;
    while !withhold_decision(&group).await {
        tries
            .next()
            .expect("the coordinator learned every decision");
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
    // The coordinator has sent the decision to some agents and is killed before it
    // reached all. An agent that didn't get it reads it from the durable state;
    // until then its engine waits at the barrier, and the group with it.
    let mut group = MapGroup::start(&[]).await;
    let mut tries = 0..MAX_ATTEMPTS;
    loop {
        tries
            .next()
            .expect("the decision always reached every agent");
        let isolated = AGENTS[2];
        // Losing the answer delays the last promise by the timeout of an order.
        let last_engine = &group.cluster.relays["fake-advisor-02"];
        group.until_staged().await;
        last_engine.discard_replies_to("POST /map/hold");
        until("all engines have promised", || async {
            let maps = group.maps().await;
            let held = |map: &Value| map["held"].is_u64();
            maps.iter().all(held).then_some(())
        })
        .await;
        last_engine.discard_replies_to("");
        group.cut_off(isolated);
        let partly_delivered = until("the decision reaches the other agents, or all", || async {
            let maps = group.maps().await;
            let version = &maps[2]["staged"];
            if maps[2]["held"].is_null() {
                return Some(false);
            }
            let decided = |map: &Value| map["next"] == *version || map["version"] == *version;
            if maps[..2].iter().all(decided) {
                return Some(true);
            }
            // The promise was lost, so the switch was aborted.
            let aborted = |map: &Value| map["staged"].is_null() && !decided(map);
            maps[..2].iter().all(aborted).then_some(false)
        })
        .await;
        if partly_delivered {
            break;
        }
        group.heal(isolated);
    }
    group.cluster.kill(COORDINATOR).await;
    group.heal(AGENTS[2]);
    group.until_steps(300).await;
    group.cluster.start_agent(COORDINATOR).await;
    group.until_switches(2).await;
    group.assert_one_map();
}

/// Stops the coordinator process before its decision is sent, lets another agent take
/// over, resumes the process and asserts that all ranks still use one map.
async fn assert_frozen_coordinator_harmless(group: &MapGroup) {
    group.until_undecided().await;
    let fencing = group.fencing(AGENTS[1]).await;
    group.cluster.signal(COORDINATOR, "STOP").await;
    group.heal_control(COORDINATOR);
    until_coordinator_replaced(group, fencing).await;
    group.cluster.signal(COORDINATOR, "CONT").await;
    group.until_switches(2).await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_coordinator_frozen_engines_ignore_fencing() {
    // The coordinating agent is stopped for so long that another one takes over
    // and releases the ranks. It then resumes and believes that it still
    // coordinates, and the engines don't check fencing numbers: an order with its
    // old number would put its rank on a map that the others never used.
    let group = MapGroup::start(&[]).await;
    assert_frozen_coordinator_harmless(&group).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_coordinator_frozen_engines_check_fencing() {
    // The same with engines that refuse old fencing numbers: the group would block
    // if the outcome were sent with the number of the stopped coordinator.
    let group = MapGroup::start(&["--checks-fencing"]).await;
    assert_frozen_coordinator_harmless(&group).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_agent_partitioned() {
    // One agent is partitioned from everything but its engine while a map is
    // staged. Its engine keeps stepping with the others: if they switched without
    // it, it would run their steps on the previous map.
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
    // The engine executes an order, but the answer is lost. An agent that assumed
    // that the order was lost, or resent it after the next one, would leave its
    // engine on another map than the others, or waiting for ever.
    let group = MapGroup::start(&[]).await;
    let to_engine = &group.cluster.relays["fake-advisor-02"];
    to_engine.discard_replies_to("POST /map");
    group.until_switches(2).await;
    to_engine.discard_replies_to("");
    group.until_switches(1).await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_agent_restarted_while_held() {
    // An agent is killed when its engine has promised to stop and the decision is
    // in transit, and is restarted without any state. If it released its engine,
    // the engine would pass the barrier on the previous map.
    let mut group = MapGroup::start(&[]).await;
    group.until_undecided().await;
    group.cluster.kill(AGENTS[1]).await;
    let relay = "fake-advisor-02";
    let before = group.cluster.relays[relay].connections();
    group.cluster.start_agent(AGENTS[1]).await;
    until("the restarted agent has polled its engine", || async {
        let polls = group.cluster.relays[relay].connections() - before;
        (polls >= ENGINE_POLLS).then_some(())
    })
    .await;
    group.heal_control(COORDINATOR);
    group.until_switches(2).await;
    group.assert_one_map();
}

/// Kills an engine and restarts it, which puts it back on its initial map.
async fn restart_engine(group: &mut MapGroup, agent: &str) {
    group.cluster.kill(&format!("fake-{agent}")).await;
    group.cluster.start_fake(agent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn join_engine_restarted() {
    // An engine crashes and is restarted without its agent, on its initial map,
    // while the others use another one. A step with both maps would send tokens
    // to ranks that don't hold the expert.
    let mut group = MapGroup::start(&[]).await;
    for agent in [AGENTS[1], AGENTS[0]] {
        restart_engine(&mut group, agent).await;
        group.until_steps(100).await;
        group.until_switches(1).await;
    }
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn join_engine_restarted_while_held() {
    // An engine promises to stop before a barrier, and the decision is in transit
    // when it crashes and is restarted without its promise. If it joined before
    // the switch is decided, it would pass the barrier on the previous map while
    // the others switch.
    let mut group = MapGroup::start(&[]).await;
    group.until_undecided().await;
    restart_engine(&mut group, AGENTS[1]).await;
    group.heal_control(COORDINATOR);
    group.until_switches(2).await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn join_host_restarted_while_held() {
    // Agent and engine of a host are both lost after the engine has promised to
    // stop, so that neither process knows of the promise any more.
    let mut group = MapGroup::start(&[]).await;
    group.until_undecided().await;
    group.cluster.kill(AGENTS[2]).await;
    restart_engine(&mut group, AGENTS[2]).await;
    group.cluster.start_agent(AGENTS[2]).await;
    group.heal_control(COORDINATOR);
    group.until_switches(2).await;
    group.assert_one_map();
}

/// Whether `ranks` together hold every expert of each layer in the map that the engine uses.
async fn has_all_experts(group: &MapGroup, agent: &str, ranks: Range<usize>) -> bool {
    let layers = group.used(agent).await;
    let complete = |layer: &Vec<Vec<Option<u64>>>| {
        let held = layer[ranks.clone()].iter().flatten().flatten();
        held.collect::<BTreeSet<_>>().len() == EXPERTS
    };
    !layers.is_empty() && layers.iter().all(complete)
}

/// Waits until `ranks` together hold every expert.
async fn until_repaired(group: &MapGroup, agent: &str, ranks: Range<usize>) {
    until("every expert has a copy", || async {
        has_all_experts(group, agent, ranks.clone())
            .await
            .then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repair_host_lost() {
    // A host is lost for good, with the only copies of some experts. The other
    // engines form a group without it and continue, but tokens routed to these
    // experts get wrong results until another rank has loaded them.
    let mut group = MapGroup::start(&[]).await;
    group.cluster.kill(AGENTS[2]).await;
    group.cluster.kill("fake-advisor-03").await;
    assert!(!has_all_experts(&group, AGENTS[0], 0..4).await);
    group.lose_ranks(AGENTS[2]);
    until_repaired(&group, AGENTS[0], 0..4).await;
    group.until_switches(1).await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn repair_coordinator_lost_and_back() {
    // The host of the coordinating agent is lost while a switch is undecided. The
    // next coordinator first releases the other ranks, then repairs the map. When
    // the host is back, it joins on the map of the others.
    let mut group = MapGroup::start(&[]).await;
    group.until_undecided().await;
    group.cluster.kill(COORDINATOR).await;
    group.cluster.kill("fake-advisor-01").await;
    group.heal_control(COORDINATOR);
    assert!(!has_all_experts(&group, AGENTS[1], 2..6).await);
    group.lose_ranks(COORDINATOR);
    until_repaired(&group, AGENTS[1], 2..6).await;
    group.cluster.start_fake(COORDINATOR).await;
    group.cluster.start_agent(COORDINATOR).await;
    group.until_switches(2).await;
    let ranks = group.map(COORDINATOR).await["ranks"].clone();
    assert_eq!(ranks.as_array().map(Vec::len), Some(6));
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn repair_agent_lost_engine_stepping() {
    // The agent of a host is lost, but not its engine, which keeps stepping. If the
    // rank were treated as lost, its engine would stay on the previous map.
    let mut group = MapGroup::start(&[]).await;
    group.cluster.kill(AGENTS[2]).await;
    until("the agent is missing", || async {
        let status = group.cluster.status("entry-1").await?;
        let text = status["targets"].to_string();
        (!text.contains(AGENTS[2])).then_some(())
    })
    .await;
    group.until_steps(1000).await;
    group.assert_one_map();
    let version = group.map(AGENTS[2]).await["version"].clone();
    assert_eq!(group.map(AGENTS[0]).await["version"], version);
    group.cluster.start_agent(AGENTS[2]).await;
    group.until_switches(1).await;
    group.assert_one_map();
}

/// Experts by layer, rank and slot.
type Layers = Vec<Vec<Vec<Option<u64>>>>;

/// Layer, rank and expert number of each copy on these ranks.
fn held(layers: &Layers, ranks: Range<usize>) -> BTreeSet<(usize, usize, u64)> {
    let mut held = BTreeSet::new();
    for (layer, all) in layers.iter().enumerate() {
        for rank in ranks.clone() {
            let experts = all[rank].iter().flatten();
            held.extend(experts.map(|expert| (layer, rank, *expert)));
        }
    }
    held
}

#[tokio::test(flavor = "multi_thread")]
async fn repair_within_weight_store_rate() {
    // A host is lost with the only copies of some experts, and the weight store
    // serves only one expert per second. If other moves were loaded as well, or
    // the switch were aborted after its usual second and restarted, answers would
    // be wrong for much longer.
    let maps = json!({"expert_bytes": EXPERT_BYTES, "store_bytes_per_s": EXPERT_BYTES,
        "attempt_ms": 1000});
    let group = MapGroup::start_with(&["--drift-steps", "0"], &maps, 1e6).await;
    let mut group = group;
    group.until_steps(1500).await;
    group.cluster.kill(AGENTS[2]).await;
    group.cluster.kill("fake-advisor-03").await;
    let before = group.used(AGENTS[0]).await;
    assert!(!has_all_experts(&group, AGENTS[0], 0..4).await);
    let served = group.weights.served_bytes();
    group.weights.set_rate(EXPERT_BYTES);
    group.lose_ranks(AGENTS[2]);
    let after = until("another map is used", || async {
        let after = group.used(AGENTS[0]).await;
        (after != before).then_some(after)
    })
    .await;
    assert!(has_all_experts(&group, AGENTS[0], 0..4).await);
    let loaded: Vec<_> = held(&after, 0..4)
        .difference(&held(&before, 0..4))
        .map(|(layer, _, expert)| (*layer, *expert))
        .collect();
    let kept: BTreeSet<_> = held(&before, 0..4)
        .into_iter()
        .map(|(layer, _, expert)| (layer, expert))
        .collect();
    assert!(
        !loaded.iter().any(|expert| kept.contains(expert)),
        "{loaded:?}"
    );
    let bytes = group.weights.served_bytes() - served;
    let needed = u64::try_from(loaded.len()).unwrap() * EXPERT_BYTES;
    assert!(bytes >= needed, "{bytes} of {needed}");
    println!("{} experts loaded, {bytes} bytes served", loaded.len());
    group.assert_one_map();
}
