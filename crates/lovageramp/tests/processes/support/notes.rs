//! Operators that concurrently send and read notes at any control, and a check that the
//! history of their operations is linearizable.

use super::cluster::{Cluster, TOKEN};
use super::http::{Answer, request};
use super::until;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use todc_utils::{Action, History, Specification, WGLChecker};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time-out of an operator's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// An operator's operation with its result. The content of a note is represented by a
/// unique number.
#[derive(Clone, Copy, Debug)]
pub enum Operation {
    /// A note was sent: its number, its content and the result.
    Send(usize, u32, Sent),
    /// A note was read: its number, and its content if there is such a note.
    Read(usize, Option<u32>),
}

/// Result of sending a note.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sent {
    /// Accepted, now or by an earlier request with the same note.
    Accepted,
    /// Another note has the number, or the number is not the next.
    Refused,
    /// Not accepted, and this request will never cause it to be.
    NotAccepted,
    /// No answer: it may take effect at any later time, or never.
    Unknown,
}

/// Sequential specification: the contents of the accepted notes in the order of their
/// numbers.
pub struct Notes;

impl Specification for Notes {
    type State = Vec<u32>;
    type Operation = Operation;

    fn init() -> Vec<u32> {
        Vec::new()
    }

    fn apply(operation: &Operation, state: &Vec<u32>) -> (bool, Vec<u32>) {
        match *operation {
            Operation::Read(number, content) => {
                (state.get(number - 1).copied() == content, state.clone())
            }
            Operation::Send(number, content, sent) => {
                let is_next = number == state.len() + 1;
                let mut after = state.clone();
                if is_next && matches!(sent, Sent::Accepted | Sent::Unknown) {
                    after.push(content);
                }
                let holds = after.get(number - 1) == Some(&content);
                let valid = match sent {
                    Sent::Accepted => holds,
                    Sent::Refused => !is_next && !holds,
                    Sent::NotAccepted | Sent::Unknown => true,
                };
                (valid, after)
            }
        }
    }
}

/// Calls and responses, each with the id of its operation.
pub type Actions = Vec<(usize, Action<Operation>)>;

/// State shared by all operators and the test that injects faults.
#[derive(Clone, Default)]
pub struct Shared {
    pub hosts: Arc<Mutex<BTreeMap<String, SocketAddr>>>,
    pub actions: Arc<Mutex<Actions>>,
    contents: Arc<AtomicU32>,
    /// Number of operations so far, which gives the next id. Each operation has an id of
    /// its own in place of a process in the history, since an operation without an
    /// answer never ends.
    operations: Arc<Mutex<usize>>,
    stop: Arc<AtomicBool>,
    /// Number of notes accepted before the first note of the history.
    accepted_before: usize,
}

impl Shared {
    /// Adds a process to those that operators send requests to, or updates its address.
    pub fn add_host(&self, cluster: &Cluster, name: &str) {
        let address = cluster.http(name);
        self.hosts.lock().unwrap().insert(name.to_owned(), address);
    }

    fn any_host(&self, rng: &mut StdRng) -> SocketAddr {
        let hosts = self.hosts.lock().unwrap();
        let index = rng.random_range(0..hosts.len());
        *hosts.values().nth(index).unwrap()
    }

    fn call(&self, operation: Operation) -> usize {
        let mut operations = self.operations.lock().unwrap();
        let id = *operations;
        *operations += 1;
        self.actions
            .lock()
            .unwrap()
            .push((id, Action::Call(operation)));
        id
    }

    fn respond(&self, id: usize, operation: Operation) {
        let mut actions = self.actions.lock().unwrap();
        actions.push((id, Action::Response(operation)));
        // The checker reads the result from the operation of the call.
        let call = actions.iter_mut().find(|(of, _)| *of == id).unwrap();
        call.1 = Action::Call(operation);
    }
}

async fn send_request(host: SocketAddr, method: &str, path: &str, body: String) -> Option<Answer> {
    let bearer = format!("Bearer {TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let response = request(host, method, path, &headers, body);
    timeout(REQUEST_TIMEOUT, response).await.ok()?.ok()
}

/// Reads a note and records the operation, unless there is no answer. Returns the result
/// of the read, `None` without an answer.
async fn read(shared: &Shared, host: SocketAddr, number: usize) -> Option<Option<u32>> {
    let id = shared.call(Operation::Read(number, None));
    let path = format!("/v1/operator/notes/{}", shared.accepted_before + number);
    let answer = send_request(host, "GET", &path, String::new()).await;
    let content = match answer {
        Some(answer) if answer.status == 200 => Some(content_of(&answer.json())),
        Some(answer) if answer.status == 404 => None,
        // A read without an answer has no effect and no result to check.
        _ => {
            shared.actions.lock().unwrap().retain(|(of, _)| *of != id);
            return None;
        }
    };
    shared.respond(id, Operation::Read(number, content));
    Some(content)
}

fn content_of(note: &Value) -> u32 {
    let names = note["added"].as_array().unwrap().iter();
    let mut names = names.filter_map(|item| item["name"].as_str());
    let content = names.find_map(|name| name.strip_prefix("model-"));
    content.unwrap().parse().unwrap()
}

/// Sends a note with a unique model as its content, in addition to the items of `note`.
async fn send(shared: &Shared, host: SocketAddr, number: usize, mut note: Value) -> Sent {
    let content = shared.contents.fetch_add(1, Ordering::Relaxed);
    let id = shared.call(Operation::Send(number, content, Sent::Unknown));
    let model = json!({"kind": "model", "name": format!("model-{content}"), "versions": ["1"]});
    let mut added = vec![model];
    added.extend(note["added"].as_array().into_iter().flatten().cloned());
    note["added"] = added.into();
    note["number"] = json!(shared.accepted_before + number);
    let answer = send_request(host, "POST", "/v1/operator/notes", note.to_string()).await;
    let sent = match answer {
        Some(answer) if answer.status == 200 => Sent::Accepted,
        Some(answer) if answer.status == 409 => Sent::Refused,
        Some(answer) if answer.status == 503 && answer.json()["ran"] == "no" => Sent::NotAccepted,
        _ => return Sent::Unknown,
    };
    shared.respond(id, Operation::Send(number, content, sent));
    sent
}

/// Sends and reads notes at random hosts until `stop` is set.
async fn run_operator(shared: Shared, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut next = 1;
    while !shared.stop.load(Ordering::Relaxed) {
        let host = shared.any_host(&mut rng);
        if rng.random_range(0..2) == 0 {
            send(&shared, host, next, json!({})).await;
        }
        let host = shared.any_host(&mut rng);
        if let Some(Some(_)) = read(&shared, host, next).await {
            next += 1;
        }
        sleep(Duration::from_millis(rng.random_range(20..200))).await;
    }
}

/// The running operators.
pub struct Operators {
    pub shared: Shared,
    tasks: JoinSet<()>,
}

impl Operators {
    /// Starts `count` operators that use all controls of `cluster`, which has accepted
    /// `accepted_before` notes so far.
    pub fn start(cluster: &Cluster, count: u64, accepted_before: usize) -> Operators {
        let shared = Shared {
            accepted_before,
            ..Shared::default()
        };
        for number in 1..=cluster.plan.controls {
            shared.add_host(cluster, &format!("control-{number}"));
        }
        let mut tasks = JoinSet::new();
        for seed in 0..count {
            tasks.spawn(run_operator(shared.clone(), seed));
        }
        Operators { shared, tasks }
    }

    /// Sends a note among those of the operators, with the next free number, until one is
    /// accepted. Returns its number.
    pub async fn send_next(&self, cluster: &Cluster, host: &str, note: Value) -> u64 {
        let host = cluster.http(host);
        until("the note is accepted", || async {
            let path = "/v1/operator/notes/status";
            let status = send_request(host, "GET", path, String::new()).await?;
            let accepted = status.json()["accepted"].as_u64()?;
            let next = usize::try_from(accepted).unwrap() + 1 - self.shared.accepted_before;
            let sent = send(&self.shared, host, next, note.clone()).await;
            (sent == Sent::Accepted).then_some(accepted + 1)
        })
        .await
    }

    /// Reads the newest note known to be accepted, and the number after it, at one host.
    /// The check of the history decides whether the results are valid.
    pub async fn read_newest(&self, cluster: &Cluster, host: &str) {
        let accepted = self.accepted();
        read(&self.shared, cluster.http(host), accepted.max(1)).await;
        read(&self.shared, cluster.http(host), accepted + 1).await;
    }

    /// Highest number that was answered as accepted, 0 if there is none.
    fn accepted(&self) -> usize {
        let actions = self.shared.actions.lock().unwrap();
        let numbers = actions.iter().map(|(_, action)| match action {
            Action::Response(Operation::Send(number, _, Sent::Accepted)) => *number,
            _ => 0,
        });
        numbers.max().unwrap_or(0)
    }

    /// Waits until the operators have started `count` more operations.
    pub async fn until_operations(&self, count: usize) {
        let started = || *self.shared.operations.lock().unwrap();
        let goal = started() + count;
        until("the operators start more operations", || async {
            (started() >= goal).then_some(())
        })
        .await;
    }

    /// Stops the operators, reads all notes at each control and checks the history.
    /// Returns the number of accepted notes since the start.
    pub async fn end(mut self, cluster: &Cluster) -> usize {
        self.shared.stop.store(true, Ordering::Relaxed);
        while let Some(result) = self.tasks.join_next().await {
            result.unwrap();
        }
        let accepted = read_all(cluster, &self.shared).await;
        assert_linearizable(&self.shared);
        accepted
    }
}

/// Reads all notes of the history at each control. Returns their number.
async fn read_all(cluster: &Cluster, shared: &Shared) -> usize {
    let mut accepted = 0;
    for control in 1..=cluster.plan.controls {
        let host = cluster.http(&format!("control-{control}"));
        for number in 1.. {
            let content = until("an answer", || read(shared, host, number)).await;
            if content.is_none() {
                accepted = number - 1;
                break;
            }
        }
    }
    accepted
}

/// Fails the test unless the history is linearizable.
fn assert_linearizable(shared: &Shared) {
    let history = History::from_actions(resolve_pending(shared));
    assert!(
        WGLChecker::<Notes>::is_linearizable(history),
        "{:?}",
        shared.actions
    );
}

/// Resolves the send operations without an answer. All notes were read at the end, and an
/// accepted note is never removed. So a note that was never read was never accepted, and
/// its operation is left out; one that was read was accepted before the end, and its
/// operation gets a response there. Each operation left pending would double the search
/// space of the checker.
fn resolve_pending(shared: &Shared) -> Actions {
    let mut actions = shared.actions.lock().unwrap().clone();
    let read: BTreeSet<u32> = actions
        .iter()
        .filter_map(|(_, a)| content_read(a))
        .collect();
    let answered: BTreeSet<usize> = actions.iter().filter_map(answered_id).collect();
    let mut responses = Vec::new();
    actions.retain(|(id, action)| {
        let Action::Call(Operation::Send(number, content, _)) = action else {
            return true;
        };
        if answered.contains(id) {
            return true;
        }
        let operation = Operation::Send(*number, *content, Sent::Unknown);
        responses.push((*id, Action::Response(operation)));
        read.contains(content)
    });
    let kept: BTreeSet<usize> = actions.iter().map(|(id, _)| *id).collect();
    actions.extend(responses.into_iter().filter(|(id, _)| kept.contains(id)));
    actions
}

fn content_read(action: &Action<Operation>) -> Option<u32> {
    match action {
        Action::Response(Operation::Read(_, content)) => *content,
        _ => None,
    }
}

fn answered_id((id, action): &(usize, Action<Operation>)) -> Option<usize> {
    matches!(action, Action::Response(_)).then_some(*id)
}
