//! One expert map in every step, through separate processes.

use crate::support::{AGENTS, EXPERT_BYTES, MAX_ATTEMPTS, MapGroup, until};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::ops::Range;

const COORDINATOR: &str = AGENTS[0];
/// After so many calls a restarted agent knows what its engine has promised.
const LOOKS: u64 = 40;
/// Experts of each layer.
const EXPERTS: usize = 8;

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

/// Keeps the coordinator from hearing of its decision; false if that came too early
/// or not at all.
async fn decided_unheard(group: &MapGroup) -> bool {
    // The last promise takes as long as an order whose answer is lost.
    let last = &group.cluster.relays["fake-advisor-03"];
    group.until_staged().await;
    last.lose_answers("POST /map/hold");
    until("the other engines have promised", || async {
        let maps = group.maps().await;
        let held = |map: &Value| map["held"].is_u64();
        maps[..2].iter().all(held).then_some(())
    })
    .await;
    group.mute_control(COORDINATOR);
    let decided = until("a decision, or none can get through", || async {
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
    })
    .await;
    last.lose_answers("");
    decided
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_coordinator_killed_in_decision() {
    // The decision is committed, but the coordinator never learns it and
    // dies. Its own engine waits at the barrier while the others could go on
    // with the new map: if it went on with the former one, callers would get
    // nonsense.
    let mut group = MapGroup::start(&[]).await;
    let mut tries = 0..MAX_ATTEMPTS;
    while !decided_unheard(&group).await {
        tries
            .next()
            .expect("no decision was kept from the coordinator");
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
    let mut tries = 0..MAX_ATTEMPTS;
    loop {
        tries.next().expect("nobody was kept from hearing");
        let deaf = AGENTS[2];
        // The last promise takes as long as an order whose answer is lost.
        let last = &group.cluster.relays["fake-advisor-02"];
        group.until_staged().await;
        last.lose_answers("POST /map/hold");
        until("all engines have promised", || async {
            let maps = group.maps().await;
            let held = |map: &Value| map["held"].is_u64();
            maps.iter().all(held).then_some(())
        })
        .await;
        last.lose_answers("");
        group.cut_off(deaf);
        let told = until("the others are told, or all are", || async {
            let maps = group.maps().await;
            let version = &maps[2]["staged"];
            if maps[2]["held"].is_null() {
                return Some(false);
            }
            let decided = |map: &Value| map["next"] == *version || map["version"] == *version;
            if maps[..2].iter().all(decided) {
                return Some(true);
            }
            // Its promise was lost, and the switch with it.
            let given_up = |map: &Value| map["staged"].is_null() && !decided(map);
            maps[..2].iter().all(given_up).then_some(false)
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
    to_engine.lose_answers("POST /map");
    group.until_switches(2).await;
    to_engine.lose_answers("");
    group.until_switches(1).await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_agent_restarted_while_held() {
    // An agent dies when its engine has promised to stop and the decision is
    // on its way, and is started again. It knows nothing; if it let its engine
    // go, that would pass the barrier on the former map.
    let mut group = MapGroup::start(&[]).await;
    group.until_undecided().await;
    group.cluster.kill(AGENTS[1]).await;
    let relay = "fake-advisor-02";
    let before = group.cluster.relays[relay].connections();
    group.cluster.start_agent(AGENTS[1]).await;
    until("it has looked at its engine", || async {
        let looks = group.cluster.relays[relay].connections() - before;
        (looks >= LOOKS).then_some(())
    })
    .await;
    group.heal_control(COORDINATOR);
    group.until_switches(2).await;
    group.assert_one_map();
}

/// Kills an engine and starts it again, on the map that it is started with.
async fn restart_engine(group: &mut MapGroup, agent: &str) {
    group.cluster.kill(&format!("fake-{agent}")).await;
    group.cluster.start_fake(agent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn join_engine_restarted() {
    // An engine crashes and comes back on its own, on the map that it was
    // started with, while the others use another one. A step on both would
    // send tokens to experts that aren't there.
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
    // An engine promises to stop before a barrier, and the decision is on its
    // way when it crashes and comes back without its promise. If it joined
    // before that is settled, it would pass the barrier on the former map
    // while the others switch.
    let mut group = MapGroup::start(&[]).await;
    group.until_undecided().await;
    restart_engine(&mut group, AGENTS[1]).await;
    group.heal_control(COORDINATOR);
    group.until_switches(2).await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn join_host_restarted_while_held() {
    // The whole host is lost at that moment: nobody is left who knows of the
    // promise.
    let mut group = MapGroup::start(&[]).await;
    group.until_undecided().await;
    group.cluster.kill(AGENTS[2]).await;
    restart_engine(&mut group, AGENTS[2]).await;
    group.cluster.start_agent(AGENTS[2]).await;
    group.heal_control(COORDINATOR);
    group.until_switches(2).await;
    group.assert_one_map();
}

/// Whether ranks hold every expert, by the map that an engine uses.
async fn is_whole(group: &MapGroup, agent: &str, ranks: Range<usize>) -> bool {
    let layers = group.used(agent).await;
    let whole = |layer: &Vec<Vec<Option<u64>>>| {
        let held = layer[ranks.clone()].iter().flatten().flatten();
        held.collect::<BTreeSet<_>>().len() == EXPERTS
    };
    !layers.is_empty() && layers.iter().all(whole)
}

/// Waits until the ranks that step have every expert.
async fn until_repaired(group: &MapGroup, agent: &str, ranks: Range<usize>) {
    until("every expert has a copy", || async {
        is_whole(group, agent, ranks.clone()).await.then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repair_host_lost() {
    // A host is lost for good, with the only copies of some experts. The
    // other engines form without it and go on, but whatever goes to these
    // experts gets nonsense until another rank has them.
    let mut group = MapGroup::start(&[]).await;
    group.cluster.kill(AGENTS[2]).await;
    group.cluster.kill("fake-advisor-03").await;
    assert!(!is_whole(&group, AGENTS[0], 0..4).await);
    group.lose_ranks(AGENTS[2]);
    until_repaired(&group, AGENTS[0], 0..4).await;
    group.until_switches(1).await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn repair_coordinator_lost_and_back() {
    // The host of the agent that coordinates is lost while a switch hangs.
    // The next one first lets the others go, then repairs; when the host is
    // back, it joins on the map of the others.
    let mut group = MapGroup::start(&[]).await;
    group.until_undecided().await;
    group.cluster.kill(COORDINATOR).await;
    group.cluster.kill("fake-advisor-01").await;
    group.heal_control(COORDINATOR);
    assert!(!is_whole(&group, AGENTS[1], 2..6).await);
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
async fn repair_not_before_the_engines_say_so() {
    // The agent of a host is lost, but not its engine, which steps along. To
    // take it for lost would leave it on the former map.
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

/// Layer and number of the experts on each of these ranks.
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
    // A host is lost with the only copies of some experts, and the weight
    // store gives out an expert each second and no more. If other moves were
    // loaded along, or the switch were given up after its usual second and
    // begun anew, answers would be wrong for much longer.
    let maps = json!({"expert_bytes": EXPERT_BYTES, "store_bytes_per_s": EXPERT_BYTES,
        "attempt_ms": 1000});
    let group = MapGroup::start_with(&["--drift-steps", "0"], &maps, 1e6).await;
    let mut group = group;
    group.until_steps(1500).await;
    group.cluster.kill(AGENTS[2]).await;
    group.cluster.kill("fake-advisor-03").await;
    let before = group.used(AGENTS[0]).await;
    assert!(!is_whole(&group, AGENTS[0], 0..4).await);
    let served = group.weights.served_bytes();
    group.weights.set_rate(EXPERT_BYTES);
    group.lose_ranks(AGENTS[2]);
    let after = until("another map is used", || async {
        let after = group.used(AGENTS[0]).await;
        (after != before).then_some(after)
    })
    .await;
    assert!(is_whole(&group, AGENTS[0], 0..4).await);
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
