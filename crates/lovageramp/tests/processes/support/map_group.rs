//! A group of three engines with two ranks each, whose popular experts change.

use super::{Cluster, ClusterPlan, get, until};
use fake::{Collective, WeightSettings, WeightStore};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// The agents of the group; the first one coordinates while it lives.
pub const AGENTS: [&str; 3] = ["advisor-01", "advisor-02", "advisor-03"];
/// Ranks of each engine.
const RANKS_EACH: u32 = 2;
/// How often a test tries to come at the right moment.
pub const MAX_ATTEMPTS: usize = 10;
/// Bytes of an expert.
pub const EXPERT_BYTES: u64 = 64 << 10;
/// Bytes that the weight store gives out in a second.
const STORE_BYTES_PER_S: u64 = 64 * EXPERT_BYTES;
/// Staging takes this long, so that a test sees it while it lasts.
const STAGE_MS: &str = "300";

/// A group of three engines in lock-step, with everything before them.
pub struct MapGroup {
    pub cluster: Cluster,
    pub collective: Collective,
    pub weights: WeightStore,
}

impl MapGroup {
    /// Starts the group; `more` are further arguments of its engines.
    pub async fn start(more: &[&str]) -> MapGroup {
        MapGroup::start_with(more, &json!({}), 4.0).await
    }

    /// The same with other settings of maps, and another weight of skew.
    pub async fn start_with(more: &[&str], maps: &Value, skew: f64) -> MapGroup {
        let ranks = u32::try_from(AGENTS.len()).unwrap() * RANKS_EACH;
        let collective = Collective::start(0..ranks).await.unwrap();
        let address = collective.address().to_string();
        let weights = WeightStore::start(WeightSettings {
            bytes_per_s: STORE_BYTES_PER_S,
            expert_bytes: usize::try_from(EXPERT_BYTES).unwrap(),
        });
        let weights = weights.await.unwrap();
        let store = weights.address().to_string();
        let mut args = vec!["--collective", &address, "--weights", &store];
        args.extend(["--stage-ms", STAGE_MS]);
        args.extend(["--waits"]);
        if !more.contains(&"--drift-steps") {
            args.extend(["--drift-steps", "400"]);
        }
        args.extend(
            ["300", "10", "10", "10", "10", "10", "10", "10"]
                .iter()
                .flat_map(|tokens| ["--popularity", tokens]),
        );
        args.extend(more);
        let mut settings = json!({"window_ms": 200, "formation_ms": 100, "expert_bytes": 1,
            "resend_ms": 50, "ghost_ms": 100, "attempt_ms": 10000, "lead_steps": 300});
        for (key, value) in maps.as_object().into_iter().flatten() {
            settings[key] = value.clone();
        }
        let plan = ClusterPlan {
            entries: 1,
            engines: AGENTS.len(),
            services: 0,
            step_ms: 3,
            ranks_each: 2,
            engine_args: args.into_iter().map(str::to_owned).collect(),
            agent_settings: json!({"maps": settings, "timing": {"question_ms": 1000}}),
            group: json!({"spare_slots": 0, "weights": {"skew": skew, "moves": 1.0}}),
            ..ClusterPlan::default()
        };
        let cluster = Cluster::start(plan).await;
        let group = MapGroup {
            cluster,
            collective,
            weights,
        };
        group.cluster.submit_first_note().await;
        group.until_switches(1).await;
        group
    }

    /// Where the engine behind an agent stands with its maps.
    pub async fn map(&self, agent: &str) -> Value {
        let engine = self.cluster.http(&format!("fake-{agent}"));
        let answer = get(engine, "/map", &[]).await;
        answer.map_or(Value::Null, |answer| answer.json())
    }

    /// The map that the engine behind an agent uses, by layer, rank and slot.
    pub async fn used(&self, agent: &str) -> Vec<Vec<Vec<Option<u64>>>> {
        let engine = self.cluster.http(&format!("fake-{agent}"));
        let answer = get(engine, "/map/used", &[]).await.unwrap();
        serde_json::from_value(answer.json()["layers"].clone()).unwrap_or_default()
    }

    /// The same of all engines.
    pub async fn maps(&self) -> Vec<Value> {
        let mut maps = Vec::new();
        for agent in AGENTS {
            maps.push(self.map(agent).await);
        }
        maps
    }

    /// Versions that have run in a step which all have ended.
    fn versions(&self) -> BTreeSet<u64> {
        let ended = self.collective.ended();
        let history = self.collective.history().into_iter();
        history
            .filter(|ran| ran.step <= ended)
            .map(|ran| ran.version)
            .collect()
    }

    /// Waits until all have run steps on so many maps that none had run on.
    pub async fn until_switches(&self, count: usize) {
        let before = self.versions().len();
        until(&format!("{count} switches"), || async {
            (self.versions().len() >= before + count).then_some(())
        })
        .await;
    }

    /// Waits until the group has run so many more steps.
    pub async fn until_steps(&self, count: u64) {
        let before = self.collective.ended();
        until(&format!("{count} steps"), || async {
            (self.collective.ended() >= before + count).then_some(())
        })
        .await;
    }

    /// Waits until an engine has a map staged and none has promised a barrier yet.
    pub async fn until_staged(&self) {
        until("a map is staged", || async {
            let maps = self.maps().await;
            let free = maps.iter().all(|map| map["held"].is_null());
            let begun = |map: &Value| map["loading"].is_u64() || map["staged"].is_u64();
            let staged = maps.iter().any(begun);
            (free && staged).then_some(())
        })
        .await;
    }

    /// In every step all ranks used the same map.
    pub fn assert_one_map(&self) {
        let mut maps: BTreeMap<u64, BTreeSet<(u64, String)>> = BTreeMap::new();
        for ran in self.collective.history() {
            let map = (ran.version, ran.map);
            maps.entry(ran.step).or_default().insert(map);
        }
        let mixed: Vec<_> = maps.iter().filter(|(_, maps)| maps.len() > 1).collect();
        assert!(mixed.is_empty(), "steps on several maps: {mixed:?}");
    }

    fn to_control(&self, agent: &str) -> Vec<&super::Relay> {
        let from = format!("{agent}>");
        let relays = self.cluster.relays.iter();
        relays
            .filter(|(name, _)| name.starts_with(&from))
            .map(|(_, relay)| relay)
            .collect()
    }

    /// The engine behind an agent is lost: the others go on without its ranks.
    pub fn lose_ranks(&self, agent: &str) {
        let number = AGENTS.iter().position(|name| *name == agent).unwrap();
        let first = u32::try_from(number).unwrap() * RANKS_EACH;
        (first..first + RANKS_EACH).for_each(|rank| self.collective.lose(rank));
    }

    /// Cuts an agent off all controls.
    pub fn cut_off_control(&self, agent: &str) {
        self.to_control(agent).iter().for_each(|relay| relay.cut());
    }

    /// From now on an agent hears nothing of any control, but is heard.
    pub fn mute_control(&self, agent: &str) {
        self.to_control(agent).iter().for_each(|relay| relay.mute());
    }

    /// Whether an agent has dialled a control anew since it was last muted.
    pub fn is_redialled(&self, agent: &str) -> bool {
        let relays = self.to_control(agent);
        relays.iter().any(|relay| relay.muted_connections() > 0)
    }

    /// Lets an agent reach all controls again.
    pub fn heal_control(&self, agent: &str) {
        self.to_control(agent).iter().for_each(|relay| relay.heal());
    }

    /// Cuts an agent off everything but its engine.
    pub fn cut_off(&self, agent: &str) {
        self.cluster.relays[agent].cut();
        self.cut_off_control(agent);
    }

    /// Lets an agent reach everything again.
    pub fn heal(&self, agent: &str) {
        self.cluster.relays[agent].heal();
        self.heal_control(agent);
    }

    /// The highest fencing number that the engine behind an agent has seen.
    pub async fn fencing(&self, agent: &str) -> u64 {
        self.map(agent).await["fencing"]
            .as_u64()
            .unwrap_or_default()
    }

    /// Waits until all engines stop before a barrier, while the coordinator can't
    /// reach control: the decision was not made. Returns the version.
    pub async fn until_undecided(&self) -> u64 {
        for _ in 0..MAX_ATTEMPTS {
            self.until_staged().await;
            self.cut_off_control(AGENTS[0]);
            let stopped = until("all stop, or go on", || async {
                let maps = self.maps().await;
                let staged = maps[0]["staged"].as_u64();
                let waits =
                    |map: &Value| map["held"].as_u64() == map["step"].as_u64().map(|step| step + 1);
                if maps.iter().all(waits) {
                    return Some(staged);
                }
                let idle = |map: &Value| map["staged"].is_null() && map["loading"].is_null();
                let over = maps.iter().all(idle);
                over.then_some(None)
            })
            .await;
            if let Some(version) = stopped {
                return version;
            }
            // It was decided before the cut.
            self.heal_control(AGENTS[0]);
        }
        panic!("the decision was never kept back")
    }
}
