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
fn note_rollout_new_leader() {
    // Guards against a new leader reporting a note as in use everywhere while an
    // entry that has not reached it yet still uses the old note under a lease of the
    // former leader: that entry would send work to a withdrawn target.
    let began = Instant::now();
    let mut registry = Registry::new(2, began, LEASE);
    registry.renew(agent("a", 1), 5, began);
    assert!(!registry.note_rollout(5, began).everywhere);
    let later = began + LEASE;
    registry.renew(agent("a", 1), 5, later);
    assert!(registry.note_rollout(5, later).everywhere);
}

#[test]
fn note_rollout_silent_node() {
    // A node is disconnected and never acknowledges the note. The rollout must stay
    // incomplete for as long as its lease lets it accept work, and no longer.
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
fn note_rollout_replaced_process() {
    // Two processes run under one name, and the first still holds its lease when the
    // second renews. It may still use the old note, so the new one must not be reported
    // as in use everywhere.
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
    // A process reconnects after its lease has expired. If it were refused, its target
    // would stay unused.
    let now = Instant::now();
    let mut registry = Registry::new(1, now, LEASE);
    registry.renew(agent("a", 1), 1, now);
    let back = registry.renew(agent("a", 1), 1, now + LEASE * 2);
    assert_eq!(back, Renewal::Granted { changed: true });
}

#[test]
fn renew_full() {
    // Processes keep renewing under made-up names. Memory must stay bounded and live
    // nodes must keep their leases; only expired nodes are evicted.
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

/// One step of a schedule with three names.
#[derive(Debug, Clone, Copy)]
enum Step {
    Renew {
        name: u8,
    },
    /// A renewal of an earlier incarnation arrives late.
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

/// Simple model of what the registry must hold.
#[derive(Default)]
struct Model {
    /// Newest incarnation of each name that was started.
    started: BTreeMap<u8, u64>,
    /// All incarnations that renewed, the newest last, and the end of the lease of the
    /// newest one.
    renewed: BTreeMap<u8, (Vec<u64>, Instant)>,
    leaving: BTreeSet<u8>,
}

impl Model {
    fn node(&self, name: u8) -> Node {
        let incarnation = self.started.get(&name).copied().unwrap_or(1);
        let mut node = agent(&name.to_string(), incarnation);
        node.leaving = self.leaving.contains(&name);
        node
    }

    fn record(&mut self, name: u8, incarnation: u64, expires: Instant) {
        let renewed = self.renewed.entry(name).or_insert((Vec::new(), expires));
        if renewed.0.last() != Some(&incarnation) {
            renewed.0.push(incarnation);
        }
        renewed.1 = expires;
    }

    fn earlier_incarnation(&self, name: u8, back: u8) -> Option<u64> {
        let (renewed, _) = self.renewed.get(&name)?;
        let earlier = renewed.len().checked_sub(2 + usize::from(back))?;
        Some(renewed[earlier])
    }

    fn live(&self, now: Instant) -> Vec<(String, u64)> {
        let live = self
            .renewed
            .iter()
            .filter(|(_, (_, expires))| now < *expires);
        live.map(|(name, (renewed, _))| (name.to_string(), renewed[renewed.len() - 1]))
            .collect()
    }
}

fn apply(step: Step, registry: &mut Registry, model: &mut Model, now: &mut Instant) -> bool {
    match step {
        Step::Wait { ms } => *now += Duration::from_millis(ms.into()),
        Step::Restart { name } => {
            *model.started.entry(name).or_insert(1) += 1;
            model.leaving.remove(&name);
        }
        Step::Leave { name } => drop(model.leaving.insert(name)),
        Step::Renew { name } => {
            let node = model.node(name);
            model.record(name, node.incarnation, *now + LEASE);
            return matches!(registry.renew(node, 1, *now), Renewal::Granted { .. });
        }
        Step::RenewLate { name, back } => {
            if let Some(late) = model.earlier_incarnation(name, back) {
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
        if !apply(step, &mut registry, &mut model, &mut now) {
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
    // Agents restart, leave or stop renewing, and renewals of ended processes arrive
    // late. The view must hold exactly the newest incarnations with a live lease;
    // otherwise calls go to a process that no longer runs.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 23))
        .tests(2_000)
        .quickcheck(follows_model as fn(Vec<Step>) -> bool);
}

/// A node that holds a version of the view and applies the changes since.
#[derive(Default)]
struct Follower {
    version: u64,
    nodes: BTreeMap<String, u64>,
}

impl Follower {
    fn update(&mut self, registry: &Registry) {
        if let Some(changes) = registry.changes_since(self.version) {
            for removed in changes.removed {
                self.nodes.remove(&removed.name);
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
    const FULL_VIEW_EVERY: usize = 17;
    let began = Instant::now();
    let mut now = began;
    let mut registry = Registry::new(1, began, LEASE);
    let mut model = Model::default();
    let mut followers: Vec<Follower> = Vec::new();
    followers.resize_with(FOLLOWERS, Follower::default);
    for (count, step) in steps.into_iter().enumerate() {
        if !apply(step, &mut registry, &mut model, &mut now) {
            return false;
        }
        registry.expire(now);
        if count % FULL_VIEW_EVERY == FULL_VIEW_EVERY - 1 {
            registry.require_full_view();
        }
        for (position, follower) in followers.iter_mut().enumerate() {
            // Followers update at different intervals, so they lag by different versions.
            if count % (position + 1) == 0 {
                follower.update(&registry);
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
    // Nodes receive only the changes since the version of the view that they hold. If
    // one were missing, an entry would keep sending calls to a removed target, or never
    // send any to a new one.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 29))
        .tests(2_000)
        .quickcheck(changes_lead_to_view as fn(Vec<Step>) -> bool);
}
