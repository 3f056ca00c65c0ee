//! Expert-map switches by three agents with engines that run steps together.

mod support;

use std::collections::BTreeMap;

use fake::{Collective, Engine, EngineSettings, FencingCheck};
use serde_json::{Value, json};
use support::{FakeControl, Fixture, GROUP, wait_until};

const NAMES: [&str; 3] = ["advisor-01", "advisor-02", "advisor-03"];

/// A group of three ranks whose first expert gets far more load than the others.
struct Group {
    control: FakeControl,
    _collective: Collective,
    engines: Vec<Engine>,
    agents: BTreeMap<&'static str, Fixture>,
}

impl Group {
    async fn start(control: FakeControl, fencing: FencingCheck) -> Self {
        control.show_live_agents();
        Group::start_as_shown(control, fencing).await
    }

    /// Starts the group with the member view that control already shows.
    async fn start_as_shown(control: FakeControl, fencing: FencingCheck) -> Self {
        control.set_notes(vec![note()]);
        let collective = Collective::start(0..3).await.unwrap();
        let mut engines = Vec::new();
        for rank in 0..3 {
            let cfg = EngineSettings {
                ranks: vec![rank],
                popularity: vec![300, 10, 10, 10, 10, 10],
                collective: Some(collective.address()),
                fencing_check: fencing,
                waits_for_map: true,
                ..EngineSettings::default()
            };
            engines.push(Engine::start(cfg).await.unwrap());
        }
        let mut group = Group {
            control,
            _collective: collective,
            engines,
            agents: BTreeMap::new(),
        };
        for rank in 0..3 {
            group.add_agent(rank).await;
        }
        group
    }

    async fn add_agent(&mut self, rank: usize) {
        let engine = &self.engines[rank];
        let fixture = Fixture::join(&self.control, NAMES[rank], engine, maps()).await;
        self.agents.insert(NAMES[rank], fixture);
    }

    fn step(&self, rank: usize) -> u64 {
        self.engines[rank].map_state()["step"].as_u64().unwrap()
    }

    /// Asserts that all ranks used the same map versions from the same steps on, up
    /// to the last step that all ranks have run.
    fn assert_one_map(&self) {
        let all = (0..3).map(|rank| self.step(rank)).min().unwrap();
        let histories: Vec<Vec<(u64, u64)>> = self
            .engines
            .iter()
            .map(|engine| {
                let history = engine.map_history().into_iter();
                history.filter(|(step, _)| *step <= all).collect()
            })
            .collect();
        assert_eq!(histories[0], histories[1]);
        assert_eq!(histories[0], histories[2]);
    }

    /// Waits until all engines use a committed map.
    async fn switched(&self) {
        wait_until("all ranks use a new map", async || {
            self.engines
                .iter()
                .all(|engine| engine.map_state()["version"].as_u64() > Some(0))
        })
        .await;
    }
}

fn note() -> String {
    let mut added = vec![
        json!({"kind": "model", "name": "burl-notes", "versions": ["2026-11"], "adapters": ["spalted"]}),
        json!({"kind": "group", "name": GROUP, "model": "burl-notes", "ranks": 3, "layers": 2,
            "experts": 6, "spare_slots": 1, "weights": {"skew": 4.0, "moves": 1.0}}),
    ];
    let targets = NAMES.map(|name| json!({"kind": "target", "name": name, "group": GROUP}));
    added.extend(targets);
    json!({"number": 1, "added": added, "changed": [], "withdrawn": []}).to_string()
}

fn maps() -> Value {
    json!({"maps": {"window_ms": 100, "formation_ms": 50, "expert_bytes": 1, "resend_ms": 50, "ghost_ms": 100,
        "attempt_ms": 5000, "lead_steps": 200}})
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_to_better_map() {
    let group = Group::start(FakeControl::start().await, FencingCheck::Refuse).await;
    group.switched().await;
    group.assert_one_map();
    let standing = group.control.standing();
    let map = standing.committed[0].map.clone();
    let map = expert::Map::from_bytes(map).unwrap();
    assert!(map.check(&[true; 3]).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_under_new_leader() {
    // After a full power loss, a new leader treats its member view as settled only
    // after the lease time. If the coordinator waited for that, all streams would be
    // slow on the initial map although the agent of each rank is already known.
    let control = FakeControl::start().await;
    control.show_live_agents_unsettled();
    let group = Group::start_as_shown(control, FencingCheck::Refuse).await;
    group.switched().await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_coordinator_lost_before_decision() {
    // All ranks hold before the barrier when the coordinating agent dies, and its
    // decision never reaches the durable state. Unless the next coordinator aborts
    // the pending switch, the group stalls for good. The engines ignore fencing
    // numbers.
    let control = FakeControl::start().await;
    control.drop_commits(true);
    let mut group = Group::start(control, FencingCheck::Ignore).await;
    wait_until("a commit is dropped", async || {
        group.control.commits_dropped() > 0
    })
    .await;
    let held = |engine: &Engine| !engine.map_state()["held"].is_null();
    assert!(group.engines.iter().all(held));
    let fencing = group.control.standing().fencing;

    group.agents.remove(NAMES[0]);
    group.control.drop_commits(false);
    wait_until("the other ranks are released", async || {
        // A renewal that was in flight when the agent died may arrive later.
        group.control.forget_agent(NAMES[0]);
        group.control.standing().fencing > fencing && !group.engines[1..].iter().any(held)
    })
    .await;

    // The dead agent's engine still holds, so all ranks wait for it.
    assert!(held(&group.engines[0]));
    group.add_agent(0).await;
    let stopped = group.step(0);
    wait_until("the group continues", async || {
        group.step(0) > stopped + 10 && group.step(1) > stopped + 10
    })
    .await;
    group.switched().await;
    group.assert_one_map();
}
