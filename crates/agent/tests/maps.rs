//! Expert-map switches by three agents before engines in lock-step.

mod support;

use std::collections::BTreeMap;

use fake::{Collective, Engine, EngineSettings, FencingCheck};
use serde_json::{Value, json};
use support::{Bench, Control, GROUP, until};

const NAMES: [&str; 3] = ["advisor-01", "advisor-02", "advisor-03"];

/// A group of three ranks whose first expert is far hotter than the others.
struct Group {
    control: Control,
    _collective: Collective,
    engines: Vec<Engine>,
    agents: BTreeMap<&'static str, Bench>,
}

impl Group {
    async fn start(control: Control, fencing: FencingCheck) -> Self {
        control.show_agents();
        Group::start_as_shown(control, fencing).await
    }

    /// With the view that control shows already.
    async fn start_as_shown(control: Control, fencing: FencingCheck) -> Self {
        control.notes(vec![note()]);
        let collective = Collective::start(0..3).await.unwrap();
        let mut engines = Vec::new();
        for rank in 0..3 {
            let cfg = EngineSettings {
                ranks: vec![rank],
                popularity: vec![300, 10, 10, 10, 10, 10],
                collective: Some(collective.address()),
                fencing,
                waits: true,
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
        let bench = Bench::join(&self.control, NAMES[rank], engine, maps()).await;
        self.agents.insert(NAMES[rank], bench);
    }

    fn step(&self, rank: usize) -> u64 {
        self.engines[rank].map()["step"].as_u64().unwrap()
    }

    /// Each map version that ran with its first step, the same at all ranks
    /// up to the last step that all have run.
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

    /// Waits until all engines run on a committed map.
    async fn switched(&self) {
        until("all run on a new map", async || {
            self.engines
                .iter()
                .all(|engine| engine.map()["version"].as_u64() > Some(0))
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
    let group = Group::start(Control::start().await, FencingCheck::Refuse).await;
    group.switched().await;
    group.assert_one_map();
    let standing = group.control.standing();
    let map = standing.committed[0].map.clone();
    let map = expert::Map::from_bytes(map).unwrap();
    assert!(map.check(&[true; 3]).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_under_new_leader() {
    // Power is lost everywhere. A new leader counts its view as whole only when
    // the time of a lease has passed, and until then all streams would be slow
    // on the start map, though the agent of each rank has long been heard.
    let control = Control::start().await;
    control.show_agents_unsettled();
    let group = Group::start_as_shown(control, FencingCheck::Refuse).await;
    group.switched().await;
    group.assert_one_map();
}

#[tokio::test(flavor = "multi_thread")]
async fn switch_coordinator_lost_before_decision() {
    // All ranks have promised to stop before the barrier when the agent that
    // coordinates dies, and its decision never reaches the durable state. The
    // group would stand still for good, and nobody get an answer, if the next
    // coordinator didn't abort what hangs. The engines ignore fencing numbers.
    let control = Control::start().await;
    control.lose_commits(true);
    let mut group = Group::start(control, FencingCheck::Ignore).await;
    until("a commit is lost", async || {
        group.control.commits_lost() > 0
    })
    .await;
    let held = |engine: &Engine| !engine.map()["held"].is_null();
    assert!(group.engines.iter().all(held));
    let fencing = group.control.standing().fencing;

    group.agents.remove(NAMES[0]);
    group.control.lose_commits(false);
    until("the other ranks are released", async || {
        // A beat that was on its way when the agent died may come after.
        group.control.forget(NAMES[0]);
        group.control.standing().fencing > fencing && !group.engines[1..].iter().any(held)
    })
    .await;

    // The dead agent's engine still keeps its promise, so all wait for it.
    assert!(held(&group.engines[0]));
    group.add_agent(0).await;
    let stopped = group.step(0);
    until("the group goes on", async || {
        group.step(0) > stopped + 10 && group.step(1) > stopped + 10
    })
    .await;
    group.switched().await;
    group.assert_one_map();
}
