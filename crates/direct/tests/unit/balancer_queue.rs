//! Requests that wait for a slot are neither forgotten nor started out of order. Nothing
//! here polls, as `run` does: each wake-up comes from the event that makes it due.

use super::{Acquisition, QueuePlace};
use crate::balancer::{Balancer, Known};
use crate::permit::Permit;
use crate::proxy::{ProxySettings, RetryTolerance};
use crate::refusal::Reason;
use crate::timing::Timing;
use crate::waiting::{SlotRequest, TRIED_VALIDITY};
use crate::{Dialect, KeepAlive, ResponseInfo, Verdict};
use member::{Evacuation, Presence, TargetReport};
use node::KnownTarget;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{DispatchOutcome, Priority};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use table::{Access, Draft, Engine, RequestKind, Route, Service, Table, WeightedService};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const SERVICE: &str = "desk";
/// Slots of a target; as many requests may wait there.
const SLOTS: u32 = 4;
/// Time that a test gives the tasks to end; they take a small part of it.
const PATIENCE: Duration = Duration::from_mins(1);

fn route(name: &str, priority: u32) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        prefix: format!("/{name}/"),
        split: vec![WeightedService {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
        kind: RequestKind::Repeatable,
        timeout: PATIENCE,
        objective: PATIENCE,
        priority,
        attempts: 2,
        access: Access::Anyone,
    }
}

fn target(n: u16) -> KnownTarget {
    KnownTarget {
        report: TargetReport {
            id: format!("i-{n}"),
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], n).into(),
            zone: "zone".to_owned(),
            slots: SLOTS,
            presence: Presence::Ready,
            started_ms: 1,
            sequence: 1,
            cold: Duration::ZERO,
        },
        slowdown: 1.0,
        received_at: Instant::now(),
        cold_until: None,
        limit: None,
        evacuation: Evacuation::Never,
    }
}

/// A service of model engines, at which hardly any request may wait.
fn engine_service() -> Service {
    Service {
        engine: Some(Engine {
            slots: SLOTS,
            kv_cache_tokens: 1 << 20,
            base_step: Duration::from_millis(6),
            step_per_request: Duration::from_micros(400),
            prefill_tokens_per_second: 1e4,
            report_lag: Duration::ZERO,
            experts: None,
        }),
        ..Service::new(SERVICE, 96)
    }
}

fn table(service: Service, priorities: [u32; 2]) -> Table {
    let routes = priorities.iter().enumerate();
    let routes = routes.map(|(n, priority)| route(&format!("r{n}"), *priority));
    let draft = Draft {
        number: 1,
        routes: routes.collect(),
        services: vec![service],
        ..Draft::default()
    };
    Table::new(draft).unwrap()
}

/// A balancer of a service with two priorities and this many targets.
fn balancer(targets: u16) -> Arc<Balancer> {
    balancer_of(Service::new(SERVICE, 96), targets)
}

fn balancer_of(service: Service, targets: u16) -> Arc<Balancer> {
    let cfg = ProxySettings {
        name: "entry-0".to_owned(),
        zone: "zone".to_owned(),
        timing: Timing::default(),
        dialect: Dialect {
            write_headers: |_, _| {},
            read_head: |_, _, _| ResponseInfo {
                verdict: Verdict::Verified,
                keep_alive: KeepAlive::Close,
                load: None,
                limit: None,
                rest: None,
                leaving: false,
            },
        },
        retry_tolerance: RetryTolerance::default(),
    };
    let balancer = Arc::new(Balancer::new(&cfg));
    update(&balancer, &table(service, [0, 2]), targets);
    balancer
}

fn update(balancer: &Arc<Balancer>, table: &Table, targets: u16) {
    let known = Known {
        targets: (1..=targets).map(target).collect(),
        zone_entries: BTreeSet::new(),
        entries: Some(1),
    };
    balancer.update(table, &known, Instant::now());
}

fn request(priority: u32) -> SlotRequest {
    let deadline = Instant::now() + PATIENCE;
    SlotRequest {
        priority: Priority {
            account: priority,
            route: priority,
        },
        account: 0,
        weight: 1.0,
        bytes: 100,
        tried: Vec::new(),
        objective_until: Some(deadline),
        deadline,
        leaves_at: None,
    }
}

fn acquire(balancer: &Arc<Balancer>, request: SlotRequest) -> Acquisition {
    let acquired = balancer.acquire_by_priority(SERVICE, request, Instant::now());
    acquired.unwrap()
}

fn start(balancer: &Arc<Balancer>, priority: u32) -> Permit {
    match acquire(balancer, request(priority)) {
        Acquisition::Started(permit) => permit,
        other => panic!("{other:?}"),
    }
}

fn queue(balancer: &Arc<Balancer>, request: SlotRequest) -> QueuePlace {
    match acquire(balancer, request) {
        Acquisition::Waiting(place) => place,
        other => panic!("{other:?}"),
    }
}

/// Takes all the room of all targets.
fn fill(balancer: &Arc<Balancer>, targets: u16) -> Vec<Permit> {
    let room = u32::from(targets) * SLOTS * 2;
    (0..room).map(|_| start(balancer, 2)).collect()
}

fn is_ready(place: &mut QueuePlace) -> bool {
    !place.rx.is_empty()
}

fn waiting(balancer: &Balancer) -> usize {
    let stats = balancer.queue_stats(Instant::now());
    stats.iter().map(|(_, each)| each.waiting).sum()
}

fn running(balancer: &Balancer) -> u32 {
    let inner = balancer.inner();
    let targets = &inner.services[SERVICE];
    let keys = targets.endpoints.values().map(|(key, _)| *key);
    keys.map(|key| targets.set.running(key)).sum()
}

/// An urgent request that came later had to wait for less urgent ones.
#[test]
fn released_slot_goes_to_most_urgent() {
    let balancer = balancer(1);
    let mut held = fill(&balancer, 1);
    let mut review = queue(&balancer, request(2));
    let mut hint = queue(&balancer, request(0));
    drop(held.pop());
    assert!(is_ready(&mut hint));
    assert!(!is_ready(&mut review));
    drop(held.pop());
    assert!(is_ready(&mut review));
}

/// A slot was lost with the caller that it was handed to as it left.
#[tokio::test]
async fn handed_slot_of_left_caller_passed_on() {
    let balancer = balancer(1);
    let mut held = fill(&balancer, 1);
    let mut hint = queue(&balancer, request(0));
    let mut review = queue(&balancer, request(2));
    held.pop().unwrap().finish(DispatchOutcome::Answered);
    assert!(is_ready(&mut hint));
    drop(hint);
    assert!(is_ready(&mut review));
    drop(
        review
            .wait(Instant::now() + PATIENCE)
            .await
            .unwrap()
            .unwrap(),
    );
    assert_eq!(waiting(&balancer), 0);
}

/// A request that was sent to the only target with room kept others from it.
#[test]
fn tried_target_left_to_others() {
    let balancer = balancer(1);
    let mut held = fill(&balancer, 1);
    let tried = vec![held[0].key()];
    let mut hint = queue(
        &balancer,
        SlotRequest {
            tried,
            ..request(0)
        },
    );
    let mut review = queue(&balancer, request(2));
    drop(held.pop());
    assert!(!is_ready(&mut hint));
    assert!(is_ready(&mut review));
    // A target that has declined may accept later.
    let later = Instant::now() + TRIED_VALIDITY;
    drop(held.pop());
    balancer.drain_queue(SERVICE, later);
    assert!(is_ready(&mut hint));
}

/// A late request that needs a free slot is first, and its caller leaves: one behind it
/// that may also wait at a target was not started.
#[test]
fn next_starts_when_first_leaves() {
    let balancer = balancer_of(engine_service(), 1);
    let first = start(&balancer, 2);
    // The duration of a request must be known.
    std::thread::sleep(Duration::from_millis(1));
    first.finish(DispatchOutcome::Answered);
    let held: Vec<Permit> = (0..SLOTS).map(|_| start(&balancer, 2)).collect();
    let late = SlotRequest {
        objective_until: None,
        ..request(0)
    };
    let mut late = queue(&balancer, late);
    let mut review = queue(&balancer, request(2));
    assert!(!is_ready(&mut late));
    assert!(!is_ready(&mut review));
    drop(late);
    assert!(is_ready(&mut review));
    drop(held);
}

/// Late requests were kept out of the last quarter of the slots, for requests that were
/// less urgent.
#[test]
fn late_request_takes_last_slot() {
    let balancer = balancer_of(engine_service(), 1);
    let mut held: Vec<Permit> = (0..SLOTS).map(|_| start(&balancer, 2)).collect();
    // The duration of a request must be known.
    std::thread::sleep(Duration::from_millis(1));
    held.remove(0).finish(DispatchOutcome::Answered);
    held.push(start(&balancer, 2));
    let late = SlotRequest {
        objective_until: None,
        ..request(0)
    };
    let mut late = queue(&balancer, late);
    drop(held.pop());
    assert!(is_ready(&mut late));
}

/// Waiting requests were not started when new targets were known.
#[test]
fn new_target_starts_waiting() {
    let balancer = balancer(1);
    let held = fill(&balancer, 1);
    let mut hint = queue(&balancer, request(0));
    update(&balancer, &table(Service::new(SERVICE, 96), [0, 2]), 2);
    assert!(is_ready(&mut hint));
    drop(held);
}

/// Requests that waited when the priorities were made equal were never told.
#[tokio::test]
async fn queue_ended_by_new_table() {
    let balancer = balancer(1);
    let held = fill(&balancer, 1);
    let mut hint = queue(&balancer, request(0));
    update(&balancer, &table(Service::new(SERVICE, 96), [1, 1]), 1);
    let deadline = Instant::now() + PATIENCE;
    assert!(
        timeout(PATIENCE, hint.wait(deadline))
            .await
            .unwrap()
            .is_none()
    );
    let again = balancer.acquire_by_priority(SERVICE, request(0), Instant::now());
    assert!(again.is_none());
    drop(held);
}

/// A request that can no longer be of use was held until its deadline.
#[test]
fn refused_when_caller_leaves_before_start() {
    let balancer = balancer(1);
    let _held = fill(&balancer, 1);
    let leaves_at = Some(Instant::now());
    let gone = acquire(
        &balancer,
        SlotRequest {
            leaves_at,
            ..request(0)
        },
    );
    let Acquisition::Refused(refusal) = gone else {
        panic!("{gone:?}");
    };
    assert_eq!(refusal.reason, Reason::Full);
    let soon = Instant::now() + Duration::from_secs(2);
    let leaves_at = Some(soon);
    let mut hint = queue(
        &balancer,
        SlotRequest {
            leaves_at,
            ..request(0)
        },
    );
    balancer.drain_queue(SERVICE, soon);
    assert!(is_ready(&mut hint));
    assert_eq!(waiting(&balancer), 0);
}

/// With many requests that come, wait, leave and end at once, one was forgotten, or a slot
/// was never released.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_requests_none_forgotten() {
    for seed in 0..4 {
        let balancer = balancer(1);
        let mut tasks = JoinSet::new();
        for n in 0..300 {
            let rng = SmallRng::seed_from_u64(seed * 1_000 + n);
            tasks.spawn(come_and_go(Arc::clone(&balancer), rng));
        }
        let ended = async {
            let mut started = 0;
            while let Some(task) = tasks.join_next().await {
                started += u32::from(task.unwrap());
            }
            started
        };
        let started = timeout(PATIENCE, ended).await.unwrap();
        assert!(started > 100, "{started} started with seed {seed}");
        assert_eq!(waiting(&balancer), 0, "seed {seed}");
        assert_eq!(running(&balancer), 0, "seed {seed}");
    }
}

/// Requests a slot; either leaves after a while or uses the slot. Returns whether it got
/// one.
async fn come_and_go(balancer: Arc<Balancer>, mut rng: SmallRng) -> bool {
    let mut pause = |most: u64| Duration::from_micros(rng.random_range(0..most));
    sleep(pause(20_000)).await;
    let (use_time, patience) = (pause(2_000), pause(20_000));
    let (priority, leaves) = (rng.random_range(0..3), rng.random_bool(0.3));
    let permit = match acquire(&balancer, request(priority)) {
        Acquisition::Started(permit) => permit,
        Acquisition::Refused(refusal) => panic!("{refusal:?}"),
        Acquisition::Waiting(mut place) => {
            let deadline = Instant::now() + PATIENCE * 2;
            let patience = if leaves { patience } else { PATIENCE * 2 };
            match timeout(patience, place.wait(deadline)).await {
                Ok(told) => told.unwrap().unwrap(),
                Err(_) => return false,
            }
        }
    };
    sleep(use_time).await;
    permit.finish(DispatchOutcome::Answered);
    true
}
