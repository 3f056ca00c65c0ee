//! Leases, incarnations and views under schedules of renewals and restarts.
#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck gives its arguments by value"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use member::{Node, Refusal, Registry, Renewal, Role};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const LEASE: Duration = Duration::from_secs(3);

fn agent(name: &str, incarnation: u64) -> Node {
    Node::new(Role::Agent, name, incarnation, "celje")
}

#[test]
fn in_force_new_leader() {
    // A leader has just been elected and one entry, which still acts on the old
    // note under a lease of the former leader, hasn't reached it. Were the note
    // reported as in force everywhere, the operator would trust it while that
    // entry sends work to a target that is withdrawn.
    let began = Instant::now();
    let mut registry = Registry::new(2, began, LEASE);
    registry.renew(agent("a", 1), 5, began);
    assert!(!registry.note_rollout(5, began).everywhere);
    let later = began + LEASE;
    registry.renew(agent("a", 1), 5, later);
    assert!(registry.note_rollout(5, later).everywhere);
}

#[test]
fn in_force_silent_node() {
    // A node is cut off and never acknowledges the note. It must hold the report
    // up for as long as its lease lets it take work, and no longer.
    let began = Instant::now();
    let now = began + LEASE;
    let mut registry = Registry::new(2, began, LEASE);
    registry.renew(agent("a", 1), 4, now);
    let soon = now + LEASE / 2;
    assert_eq!(registry.note_rollout(5, soon).lagging[0].name, "a");
    assert!(!registry.note_rollout(5, soon).everywhere);
    assert!(registry.note_rollout(5, now + LEASE).everywhere);
}

#[test]
fn in_force_replaced_process() {
    // Two processes were started under one name, and the first still runs under
    // its lease when the second renews. It may go on by the old note, so the new
    // one must not be reported as in force everywhere.
    let began = Instant::now();
    let now = began + LEASE;
    let mut registry = Registry::new(2, began, LEASE);
    registry.renew(agent("a", 1), 4, now);
    registry.renew(agent("a", 2), 5, now + LEASE / 2);
    assert!(!registry.note_rollout(5, now + LEASE / 2).everywhere);
    assert!(registry.note_rollout(5, now + LEASE).everywhere);
}

#[test]
fn renew_same_after_expiry() {
    // A host was cut off for longer than its lease and comes back, the same
    // process. Its targets would stay unused if it were refused.
    let now = Instant::now();
    let mut registry = Registry::new(1, now, LEASE);
    registry.renew(agent("a", 1), 1, now);
    let back = registry.renew(agent("a", 1), 1, now + LEASE * 2);
    assert_eq!(back, Renewal::Granted { changed: true });
}

#[test]
fn renew_full() {
    // Processes with made-up names renew without end. Memory must stay bounded
    // and nodes that live must keep their leases; names long gone give way.
    let now = Instant::now();
    let mut registry = Registry::new(1, now, LEASE);
    for n in 0..10_000 {
        registry.renew(agent(&n.to_string(), 1), 1, now);
    }
    let refused = registry.renew(agent("more", 1), 1, now);
    assert_eq!(refused, Renewal::Refused(Refusal::Full));
    let granted = registry.renew(agent("more", 1), 1, now + LEASE);
    assert_eq!(granted, Renewal::Granted { changed: true });
}

/// One step of a schedule, over three names.
#[derive(Debug, Clone, Copy)]
enum Step {
    Renew {
        name: u8,
    },
    /// An earlier incarnation's message arrives late.
    RenewLate {
        name: u8,
        back: u8,
    },
    Restart {
        name: u8,
    },
    Leave {
        name: u8,
    },
    Wait {
        ms: u16,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 5 {
            0 => Step::Renew { name },
            1 => Step::RenewLate {
                name,
                back: u8::arbitrary(g) % 4,
            },
            2 => Step::Restart { name },
            3 => Step::Leave { name },
            _ => Step::Wait {
                ms: u16::arbitrary(g) % 2_500,
            },
        }
    }
}

/// What the registry should hold, kept in the plainest way.
#[derive(Default)]
struct Model {
    /// Newest incarnation of each name that was started.
    started: BTreeMap<u8, u64>,
    /// All incarnations that were heard, the newest last, and the end of the
    /// newest one's lease.
    heard: BTreeMap<u8, (Vec<u64>, Instant)>,
    leaving: BTreeSet<u8>,
}

impl Model {
    fn node(&self, name: u8) -> Node {
        let incarnation = self.started.get(&name).copied().unwrap_or(1);
        let mut node = agent(&name.to_string(), incarnation);
        node.leaving = self.leaving.contains(&name);
        node
    }

    fn hear(&mut self, name: u8, incarnation: u64, expires: Instant) {
        let heard = self.heard.entry(name).or_insert((Vec::new(), expires));
        if heard.0.last() != Some(&incarnation) {
            heard.0.push(incarnation);
        }
        heard.1 = expires;
    }

    fn late(&self, name: u8, back: u8) -> Option<u64> {
        let (heard, _) = self.heard.get(&name)?;
        let earlier = heard.len().checked_sub(2 + usize::from(back))?;
        Some(heard[earlier])
    }

    fn live(&self, now: Instant) -> Vec<(String, u64)> {
        let live = self.heard.iter().filter(|(_, (_, expires))| now < *expires);
        live.map(|(name, (heard, _))| (name.to_string(), heard[heard.len() - 1]))
            .collect()
    }
}

fn take(step: Step, registry: &mut Registry, model: &mut Model, now: &mut Instant) -> bool {
    match step {
        Step::Wait { ms } => *now += Duration::from_millis(ms.into()),
        Step::Restart { name } => {
            *model.started.entry(name).or_insert(1) += 1;
            model.leaving.remove(&name);
        }
        Step::Leave { name } => drop(model.leaving.insert(name)),
        Step::Renew { name } => {
            let node = model.node(name);
            model.hear(name, node.incarnation, *now + LEASE);
            return matches!(registry.renew(node, 1, *now), Renewal::Granted { .. });
        }
        Step::RenewLate { name, back } => {
            if let Some(late) = model.late(name, back) {
                let renewal = registry.renew(agent(&name.to_string(), late), 1, *now);
                return renewal == Renewal::Refused(Refusal::Superseded);
            }
        }
    }
    true
}

fn follows_model(steps: Vec<Step>) -> bool {
    let began = Instant::now();
    let mut now = began;
    let mut registry = Registry::new(1, began, LEASE);
    let mut model = Model::default();
    let mut seen = registry.view();
    for step in steps {
        if !take(step, &mut registry, &mut model, &mut now) {
            return false;
        }
        registry.expire(now);
        let view = registry.view();
        let held = view.nodes.iter();
        let held = held.map(|node| (node.key.name.clone(), node.incarnation));
        let held: Vec<(String, u64)> = held.collect();
        let differs = view.nodes != seen.nodes || view.settled != seen.settled;
        let versioned = view.version >= seen.version && (!differs || view.version > seen.version);
        let settled = view.settled == (now >= began + LEASE);
        if held != model.live(now) || !versioned || !settled {
            return false;
        }
        seen = view;
    }
    true
}

#[test]
fn renew_schedules() {
    // Agents restart, leave, fall silent, and messages of processes that are
    // gone arrive late. The view must hold exactly the newest incarnations with
    // a live lease, or calls go to a process that is no longer there.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 23))
        .tests(2_000)
        .quickcheck(follows_model as fn(Vec<Step>) -> bool);
}

/// A node that holds some version of the view and is told what changed since.
#[derive(Default)]
struct Follower {
    version: u64,
    nodes: BTreeMap<String, u64>,
}

impl Follower {
    fn ask(&mut self, registry: &Registry) {
        if let Some(changes) = registry.changes_since(self.version) {
            for gone in changes.removed {
                self.nodes.remove(&gone.name);
            }
            for node in changes.nodes {
                self.nodes.insert(node.key.name.clone(), node.incarnation);
            }
        } else {
            let view = registry.view();
            let nodes = view.nodes.iter();
            let nodes = nodes.map(|node| (node.key.name.clone(), node.incarnation));
            self.nodes = nodes.collect();
        }
        self.version = registry.version();
    }

    fn agrees(&self, registry: &Registry) -> bool {
        let view = registry.view();
        let nodes = view.nodes.iter();
        nodes
            .map(|node| (&node.key.name, &node.incarnation))
            .eq(self.nodes.iter())
    }
}

fn changes_lead_to_view(steps: Vec<Step>) -> bool {
    const FOLLOWERS: usize = 5;
    const DRAIN_EACH: usize = 17;
    let began = Instant::now();
    let mut now = began;
    let mut registry = Registry::new(1, began, LEASE);
    let mut model = Model::default();
    let mut followers: Vec<Follower> = Vec::new();
    followers.resize_with(FOLLOWERS, Follower::default);
    for (count, step) in steps.into_iter().enumerate() {
        if !take(step, &mut registry, &mut model, &mut now) {
            return false;
        }
        registry.expire(now);
        if count % DRAIN_EACH == DRAIN_EACH - 1 {
            registry.require_full_view();
        }
        for (place, follower) in followers.iter_mut().enumerate() {
            // Each asks at a pace of its own, and so lags by other versions.
            if count % (place + 1) == 0 {
                follower.ask(&registry);
                if !follower.agrees(&registry) {
                    return false;
                }
            }
        }
    }
    true
}

#[test]
fn changes_since_schedules() {
    // Nodes are told only what changed in the view since the version that they hold.
    // Were one change left out, an entry would go on sending calls to a target that
    // is gone, or never send any to one that is there.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 29))
        .tests(2_000)
        .quickcheck(changes_lead_to_view as fn(Vec<Step>) -> bool);
}
