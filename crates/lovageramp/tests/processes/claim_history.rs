//! Histories of buyers who send few reservations through all entries at once while
//! entries, agents, services and controls fail, checked for linearizability.

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
/// Reservations that all buyers send in one round.
const KEYS: usize = 5;
/// For how long a buyer asks the system to try, and then waits for its answer.
const TIMEOUT_MS: &str = "2500";
const PATIENCE: Duration = Duration::from_secs(4);

/// What a buyer was told of a reservation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Told {
    /// Its answer: how often the service had seen it then.
    Answer(u64),
    /// It did not run.
    NotRun,
    /// Nobody will ever learn whether it ran.
    Lost,
    /// Nothing yet, or no answer came: it may run at any time since, or never.
    Open,
}

/// One reservation, as its buyers see it.
struct Reservation;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stand {
    Free,
    /// Somebody's attempt may have run.
    Taken,
    Answered(u64),
}

impl Specification for Reservation {
    type State = Stand;
    type Operation = Told;

    fn init() -> Stand {
        Stand::Free
    }

    fn apply(told: &Told, stand: &Stand) -> (bool, Stand) {
        match (*told, *stand) {
            (Told::Answer(answer), Stand::Answered(first)) => (answer == first, *stand),
            (Told::Answer(answer), _) => (true, Stand::Answered(answer)),
            (Told::NotRun, _) => (*stand == Stand::Free, *stand),
            // Once it has an answer, nobody may be told otherwise.
            (Told::Lost, Stand::Answered(_)) => (false, *stand),
            (Told::Open, Stand::Answered(_)) => (true, *stand),
            (Told::Lost | Told::Open, _) => (true, Stand::Taken),
        }
    }
}

/// Calls and responses, each with the number of its operation.
type Actions = Vec<(usize, Action<Told>)>;

/// What all buyers and the troublemaker share.
#[derive(Clone, Default)]
struct Shared {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    round: Arc<AtomicUsize>,
    histories: Arc<Mutex<BTreeMap<String, Actions>>>,
    operations: Arc<AtomicUsize>,
    over: Arc<AtomicBool>,
}

impl Shared {
    fn learn(&self, cluster: &Cluster) {
        let entries = (1..=ENTRIES).map(|n| cluster.http(&format!("entry-{n}")));
        *self.entries.lock().unwrap() = entries.collect();
    }

    fn push(&self, key: &str, id: usize, action: Action<Told>) {
        let mut histories = self.histories.lock().unwrap();
        histories
            .entry(key.to_owned())
            .or_default()
            .push((id, action));
    }

    fn respond(&self, key: &str, id: usize, told: Told) {
        let mut histories = self.histories.lock().unwrap();
        let actions = histories.get_mut(key).unwrap();
        actions.push((id, Action::Response(told)));
        // The checker looks at the operation of the call.
        let call = actions.iter_mut().find(|(of, _)| *of == id).unwrap();
        call.1 = Action::Call(told);
    }
}

fn told(answer: Option<Answer>) -> Told {
    let Some(answer) = answer.filter(|answer| !answer.broken) else {
        return Told::Open;
    };
    if answer.status == 200 {
        return Told::Answer(answer.json()["count"].as_u64().unwrap());
    }
    match answer.json()["ran"].as_str() {
        Some("no") => Told::NotRun,
        Some("unknown") if answer.status == 409 => Told::Lost,
        other => {
            assert_eq!(other, Some("unknown"), "{}", answer.text());
            Told::Open
        }
    }
}

/// Sends a reservation once and enters it into its history.
async fn send(shared: &Shared, entry: SocketAddr, key: &str) {
    let id = shared.operations.fetch_add(1, Ordering::Relaxed);
    shared.push(key, id, Action::Call(Told::Open));
    let bearer = bearer("huber");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key),
        ("x-request-timeout-ms", TIMEOUT_MS),
    ];
    let path = "/s/order-desk/reservations";
    let sent = timeout(PATIENCE, request(entry, "POST", path, &headers, "burl")).await;
    let told = told(sent.ok().and_then(Result::ok));
    if told != Told::Open {
        shared.respond(key, id, told);
    }
}

/// Sends the round's reservations through any entry until the trouble is over.
async fn buy(shared: Shared, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !shared.over.load(Ordering::Relaxed) {
        let round = shared.round.load(Ordering::Relaxed);
        let key = format!("lot-{round}-{}", rng.random_range(0..KEYS));
        let entry = {
            let entries = shared.entries.lock().unwrap();
            entries[rng.random_range(0..entries.len())]
        };
        send(&shared, entry, &key).await;
        sleep(Duration::from_millis(rng.random_range(5..150))).await;
    }
}

/// One fault and its end, while the buyers send a fresh set of reservations.
async fn trouble(cluster: &mut Cluster, round: usize, rng: &mut StdRng) {
    let entry = rng.random_range(1..=ENTRIES);
    let entry_name = format!("entry-{entry}");
    let agent = format!("desk-{:02}", rng.random_range(1..=SERVICES));
    let span = Duration::from_millis(rng.random_range(500..2500));
    match round % 7 {
        0 => {
            cluster.kill(&entry_name).await;
            sleep(span).await;
            cluster.start_entry(entry).await;
        }
        1 => {
            cluster.fault(&agent, "stall", "").await;
            sleep(span).await;
            cluster.kill(&agent).await;
            cluster.fault(&agent, "clear", "").await;
            cluster.start_agent(&agent).await;
        }
        2 => {
            cluster.signal(&agent, "STOP").await;
            cluster.signal(&entry_name, "STOP").await;
            sleep(span * 2).await;
            cluster.signal(&agent, "CONT").await;
            cluster.signal(&entry_name, "CONT").await;
        }
        3 => {
            cluster.relays[&agent].cut();
            cluster.fault(&agent, "lose-answer", "").await;
            sleep(span).await;
            cluster.relays[&agent].heal();
            sleep(span).await;
            cluster.fault(&agent, "clear", "").await;
        }
        4 => {
            let leader = cluster.leader().await;
            cluster.kill(&leader).await;
            sleep(span).await;
            let number = leader.rsplit('-').next().unwrap().parse().unwrap();
            cluster.start_control(number).await;
            cluster.until_repaired().await;
        }
        5 => {
            let agents = cluster.agents();
            for agent in &agents {
                cluster.relays[agent].cut();
            }
            sleep(span * 3).await;
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
            cluster.relays[&agent].swallow_back();
            sleep(span * 2).await;
            for relay in &cut {
                cluster.relays[relay].heal();
            }
        }
    }
    sleep(span / 2).await;
}

/// Ends the operations without an answer at the end of the history.
fn complete(actions: &Actions) -> Actions {
    let ended = |id: usize| actions.iter().filter(|(of, _)| *of == id).count() == 2;
    let open = actions.iter().filter(|(id, _)| !ended(*id));
    let ends = open.map(|(id, _)| (*id, Action::Response(Told::Open)));
    actions.iter().cloned().chain(ends).collect()
}

/// A reservation that runs twice, one that runs though a buyer was told "not run", two
/// different answers, an answer after which a buyer is told that nobody knows: each
/// would show here.
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
    shared.learn(&cluster);
    let mut buyers = JoinSet::new();
    for seed in 0..CALLERS {
        buyers.spawn(buy(shared.clone(), seed));
    }
    let mut rng = StdRng::seed_from_u64(4711);
    for round in 0..ROUNDS {
        shared.round.store(round, Ordering::Relaxed);
        trouble(&mut cluster, round, &mut rng).await;
        shared.learn(&cluster);
    }
    shared.over.store(true, Ordering::Relaxed);
    while let Some(ended) = buyers.join_next().await {
        ended.unwrap();
    }
    send_all_again(&cluster, &shared).await;
    check(&cluster, &shared).await;
}

/// At the end every reservation is sent until somebody knows what came of it.
async fn send_all_again(cluster: &Cluster, shared: &Shared) {
    let keys: Vec<String> = shared.histories.lock().unwrap().keys().cloned().collect();
    let entry = cluster.http("entry-1");
    for key in &keys {
        until("somebody knows", || async {
            send(shared, entry, key).await;
            let histories = shared.histories.lock().unwrap();
            let (_, last) = histories[key].last().unwrap();
            let is_known = matches!(last, Action::Response(Told::Answer(_) | Told::Lost));
            is_known.then_some(())
        })
        .await;
    }
}

async fn check(cluster: &Cluster, shared: &Shared) {
    let histories = shared.histories.lock().unwrap().clone();
    let (mut answered, mut not_run, mut lost, mut open) = (0, 0, 0, 0);
    for (key, actions) in &histories {
        let ran = cluster.ran(key).await;
        assert!(ran <= 1, "{key} ran {ran} times: {actions:?}");
        let mut has_answer = false;
        for (_, action) in actions {
            match action {
                Action::Response(Told::Answer(_)) => {
                    answered += 1;
                    has_answer = true;
                }
                Action::Response(Told::NotRun) => not_run += 1,
                Action::Response(Told::Lost) => lost += 1,
                Action::Response(Told::Open) => {}
                Action::Call(told) => open += u32::from(*told == Told::Open),
            }
        }
        assert!(!has_answer || ran == 1, "{key} was answered and ran {ran}");
        let history = History::from_actions(complete(actions));
        let linearizable = WGLChecker::<Reservation>::is_linearizable(history);
        assert!(linearizable, "{key}: {actions:?}");
    }
    let keys = histories.len();
    println!(
        "{keys} reservations: {answered} answers, {not_run} not run, {lost} lost, {open} open"
    );
    assert!(keys > ROUNDS, "only {keys} reservations were sent");
}
