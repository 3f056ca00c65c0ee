//! Checks for linearizability the histories of concurrent callers that send the same few
//! reservations through all entries while entries, agents, services and controls fail.

use crate::support::{Answer, Cluster, ClusterPlan, bearer, request, until};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use todc_utils::{Action, History, Specification, WGLChecker};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const ENTRIES: usize = 3;
const SERVICES: usize = 3;
const CALLERS: u64 = 6;
const ROUNDS: usize = 14;
/// Reservations that all callers send in one round.
const KEYS_PER_ROUND: usize = 5;
/// Request timeout that a caller sets in the header.
const TIMEOUT_MS: &str = "2500";
/// For how long a caller waits for its answer; longer than the request timeout.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// The outcome of a reservation as reported to a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    /// Answered, with the number of times the service had received it by then.
    Answer(u64),
    /// It did not run.
    NotRun,
    /// It cannot be determined whether it ran, and this is final.
    Unknown,
    /// No answer yet, or none arrived: it may run at any time after the call, or never.
    Open,
}

/// Sequential specification of one reservation, as its callers observe it.
struct Reservation;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ReservationState {
    Free,
    /// An attempt may have run.
    Claimed,
    Answered(u64),
}

impl Specification for Reservation {
    type State = ReservationState;
    type Operation = Outcome;

    fn init() -> ReservationState {
        ReservationState::Free
    }

    fn apply(outcome: &Outcome, state: &ReservationState) -> (bool, ReservationState) {
        match (*outcome, *state) {
            (Outcome::Answer(answer), ReservationState::Answered(first)) => {
                (answer == first, *state)
            }
            (Outcome::Answer(answer), _) => (true, ReservationState::Answered(answer)),
            (Outcome::NotRun, _) => (*state == ReservationState::Free, *state),
            // Once it was answered, no caller may get another outcome.
            (Outcome::Unknown, ReservationState::Answered(_)) => (false, *state),
            (Outcome::Open, ReservationState::Answered(_)) => (true, *state),
            (Outcome::Unknown | Outcome::Open, _) => (true, ReservationState::Claimed),
        }
    }
}

/// Calls and responses, each with the number of its operation.
type Actions = Vec<(usize, Action<Outcome>)>;

/// State shared by all callers and the fault injection.
#[derive(Clone, Default)]
struct Shared {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    round: Arc<AtomicUsize>,
    histories: Arc<Mutex<BTreeMap<String, Actions>>>,
    operations: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
}

impl Shared {
    /// Reads the current addresses of the entries, which change at a restart.
    fn update_entries(&self, cluster: &Cluster) {
        let entries = (1..=ENTRIES).map(|n| cluster.http(&format!("entry-{n}")));
        *self.entries.lock().unwrap() = entries.collect();
    }

    fn push(&self, key: &str, id: usize, action: Action<Outcome>) {
        let mut histories = self.histories.lock().unwrap();
        histories
            .entry(key.to_owned())
            .or_default()
            .push((id, action));
    }

    fn respond(&self, key: &str, id: usize, outcome: Outcome) {
        let mut histories = self.histories.lock().unwrap();
        let actions = histories.get_mut(key).unwrap();
        actions.push((id, Action::Response(outcome)));
        // The checker reads the operation from the call, not from the response.
        let call = actions.iter_mut().find(|(of, _)| *of == id).unwrap();
        call.1 = Action::Call(outcome);
    }
}

fn outcome_of(answer: Option<Answer>) -> Outcome {
    let Some(answer) = answer.filter(|answer| !answer.broken) else {
        return Outcome::Open;
    };
    if answer.status == 200 {
        return Outcome::Answer(answer.json()["count"].as_u64().unwrap());
    }
    match answer.json()["ran"].as_str() {
        Some("no") => Outcome::NotRun,
        Some("unknown") if answer.status == 409 => Outcome::Unknown,
        other => {
            assert_eq!(other, Some("unknown"), "{}", answer.text());
            Outcome::Open
        }
    }
}

/// Sends a reservation once and records the operation in its history.
async fn send(shared: &Shared, entry: SocketAddr, key: &str) {
    let id = shared.operations.fetch_add(1, Ordering::Relaxed);
    shared.push(key, id, Action::Call(Outcome::Open));
    let bearer = bearer("huber");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key),
        ("x-request-timeout-ms", TIMEOUT_MS),
    ];
    let path = "/s/order-desk/reservations";
    let sent = timeout(
        RESPONSE_TIMEOUT,
        request(entry, "POST", path, &headers, "burl"),
    )
    .await;
    let outcome = outcome_of(sent.ok().and_then(Result::ok));
    if outcome != Outcome::Open {
        shared.respond(key, id, outcome);
    }
}

/// Sends the reservations of the current round through random entries until the test
/// ends.
async fn send_until_stopped(shared: Shared, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !shared.stopped.load(Ordering::Relaxed) {
        let round = shared.round.load(Ordering::Relaxed);
        let key = format!("lot-{round}-{}", rng.random_range(0..KEYS_PER_ROUND));
        let entry = {
            let entries = shared.entries.lock().unwrap();
            entries[rng.random_range(0..entries.len())]
        };
        send(&shared, entry, &key).await;
        sleep(Duration::from_millis(rng.random_range(5..150))).await;
    }
}

/// Injects one fault and clears it, while the callers send the reservations of this round.
async fn inject_fault(cluster: &mut Cluster, round: usize, rng: &mut StdRng) {
    let entry = rng.random_range(1..=ENTRIES);
    let entry_name = format!("entry-{entry}");
    let agent = format!("desk-{:02}", rng.random_range(1..=SERVICES));
    let duration = Duration::from_millis(rng.random_range(500..2500));
    match round % 7 {
        0 => {
            cluster.kill(&entry_name).await;
            sleep(duration).await;
            cluster.start_entry(entry).await;
        }
        1 => {
            cluster.fault(&agent, "stall", "").await;
            sleep(duration).await;
            cluster.kill(&agent).await;
            cluster.fault(&agent, "clear", "").await;
            cluster.start_agent(&agent).await;
        }
        2 => {
            cluster.signal(&agent, "STOP").await;
            cluster.signal(&entry_name, "STOP").await;
            sleep(duration * 2).await;
            cluster.signal(&agent, "CONT").await;
            cluster.signal(&entry_name, "CONT").await;
        }
        3 => {
            cluster.relays[&agent].cut();
            cluster.fault(&agent, "lose-answer", "").await;
            sleep(duration).await;
            cluster.relays[&agent].heal();
            sleep(duration).await;
            cluster.fault(&agent, "clear", "").await;
        }
        4 => {
            let leader = cluster.leader().await;
            cluster.kill(&leader).await;
            sleep(duration).await;
            let number = leader.rsplit('-').next().unwrap().parse().unwrap();
            cluster.start_control(number).await;
            cluster.until_repaired().await;
        }
        5 => {
            let agents = cluster.agents();
            for agent in &agents {
                cluster.relays[agent].cut();
            }
            sleep(duration * 3).await;
            for agent in &agents {
                cluster.relays[agent].heal();
            }
        }
        _ => {
            let from = format!("{entry_name}>");
            let cut = cluster.relays.keys().filter(|name| name.starts_with(&from));
            let cut: Vec<String> = cut.cloned().collect();
            for relay in &cut {
                cluster.relays[relay].cut();
            }
            cluster.relays[&agent].discard_from_target();
            sleep(duration * 2).await;
            for relay in &cut {
                cluster.relays[relay].heal();
            }
        }
    }
    sleep(duration / 2).await;
}

/// Appends an open response for each operation without an answer.
fn complete(actions: &Actions) -> Actions {
    let ended = |id: usize| actions.iter().filter(|(of, _)| *of == id).count() == 2;
    let open = actions.iter().filter(|(id, _)| !ended(*id));
    let ends = open.map(|(id, _)| (*id, Action::Response(Outcome::Open)));
    actions.iter().cloned().chain(ends).collect()
}

/// Detects a reservation that runs twice, one that runs although a caller was told that
/// it did not, two different answers, and an answer followed by an unknown outcome.
#[tokio::test(flavor = "multi_thread")]
async fn reservations_linearizable_under_faults() {
    let mut cluster = Cluster::start(ClusterPlan {
        controls: 3,
        entries: ENTRIES,
        engines: 0,
        services: SERVICES,
        ..ClusterPlan::default()
    })
    .await;
    cluster.submit_first_note().await;
    let shared = Shared::default();
    shared.update_entries(&cluster);
    let mut callers = JoinSet::new();
    for seed in 0..CALLERS {
        callers.spawn(send_until_stopped(shared.clone(), seed));
    }
    let mut rng = StdRng::seed_from_u64(4711);
    for round in 0..ROUNDS {
        shared.round.store(round, Ordering::Relaxed);
        inject_fault(&mut cluster, round, &mut rng).await;
        shared.update_entries(&cluster);
    }
    shared.stopped.store(true, Ordering::Relaxed);
    while let Some(ended) = callers.join_next().await {
        ended.unwrap();
    }
    resend_until_final(&cluster, &shared).await;
    check(&cluster, &shared).await;
}

/// Resends every reservation until its outcome is final.
async fn resend_until_final(cluster: &Cluster, shared: &Shared) {
    let keys: Vec<String> = shared.histories.lock().unwrap().keys().cloned().collect();
    let entry = cluster.http("entry-1");
    for key in &keys {
        until("the outcome is final", || async {
            send(shared, entry, key).await;
            let histories = shared.histories.lock().unwrap();
            let (_, last) = histories[key].last().unwrap();
            let is_final = matches!(
                last,
                Action::Response(Outcome::Answer(_) | Outcome::Unknown)
            );
            is_final.then_some(())
        })
        .await;
    }
}

async fn check(cluster: &Cluster, shared: &Shared) {
    let histories = shared.histories.lock().unwrap().clone();
    let (mut answered, mut not_run, mut unknown, mut open) = (0, 0, 0, 0);
    for (key, actions) in &histories {
        let ran = cluster.ran(key).await;
        assert!(ran <= 1, "{key} ran {ran} times: {actions:?}");
        let mut has_answer = false;
        for (_, action) in actions {
            match action {
                Action::Response(Outcome::Answer(_)) => {
                    answered += 1;
                    has_answer = true;
                }
                Action::Response(Outcome::NotRun) => not_run += 1,
                Action::Response(Outcome::Unknown) => unknown += 1,
                Action::Response(Outcome::Open) => {}
                Action::Call(outcome) => open += u32::from(*outcome == Outcome::Open),
            }
        }
        assert!(
            !has_answer || ran == 1,
            "{key} was answered but ran {ran} times"
        );
        let history = History::from_actions(complete(actions));
        let linearizable = WGLChecker::<Reservation>::is_linearizable(history);
        assert!(linearizable, "{key}: {actions:?}");
    }
    let keys = histories.len();
    println!(
        "{keys} reservations: {answered} answers, {not_run} not run, {unknown} unknown, {open} open"
    );
    assert!(keys > ROUNDS, "only {keys} reservations were sent");
}
