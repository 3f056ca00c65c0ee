//! Operators who send and read notes at any control, and the history of what they were
//! told.

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

/// An operator gives up on an answer after this.
const PATIENCE: Duration = Duration::from_secs(4);

/// What an operator did, with the answer. A note's content is a number of its own.
#[derive(Clone, Copy, Debug)]
pub enum Operation {
    /// A note was sent: its number, its content, what was answered.
    Send(usize, u32, Sent),
    /// The note of a number was read.
    Read(usize, Option<u32>),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sent {
    /// Accepted, now or when it was first sent.
    Holds,
    /// Another note has the number, or the number is not the next.
    Refused,
    /// Not accepted, and never will be by this sending.
    Never,
    /// No answer: it may count at any time since, or never.
    Unknown,
}

/// The accepted notes, one after the other.
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
                if is_next && matches!(sent, Sent::Holds | Sent::Unknown) {
                    after.push(content);
                }
                let holds = after.get(number - 1) == Some(&content);
                let valid = match sent {
                    Sent::Holds => holds,
                    Sent::Refused => !is_next && !holds,
                    Sent::Never | Sent::Unknown => true,
                };
                (valid, after)
            }
        }
    }
}

/// Calls and responses, each with the number of its operation.
pub type Actions = Vec<(usize, Action<Operation>)>;

/// What all operators and the troublemaker share.
#[derive(Clone, Default)]
pub struct Shared {
    pub hosts: Arc<Mutex<BTreeMap<String, SocketAddr>>>,
    pub actions: Arc<Mutex<Actions>>,
    contents: Arc<AtomicU32>,
    /// Each operation is a process of its own in the history, since one without an
    /// answer never ends.
    operations: Arc<Mutex<usize>>,
    over: Arc<AtomicBool>,
    /// Notes that were accepted before the first of the history.
    before: usize,
}

impl Shared {
    /// Operators ask this process from now on.
    pub fn add_host(&self, cluster: &Cluster, name: &str) {
        let address = cluster.http(name);
        self.hosts.lock().unwrap().insert(name.to_owned(), address);
    }

    fn any_host(&self, rng: &mut StdRng) -> SocketAddr {
        let hosts = self.hosts.lock().unwrap();
        let place = rng.random_range(0..hosts.len());
        *hosts.values().nth(place).unwrap()
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
        // The checker looks at the operation of the call.
        let call = actions.iter_mut().find(|(of, _)| *of == id).unwrap();
        call.1 = Action::Call(operation);
    }
}

async fn ask(host: SocketAddr, method: &str, path: &str, body: String) -> Option<Answer> {
    let bearer = format!("Bearer {TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let asked = request(host, method, path, &headers, body);
    timeout(PATIENCE, asked).await.ok()?.ok()
}

/// Reads a note and enters it into the history, unless there is no answer.
async fn read(shared: &Shared, host: SocketAddr, number: usize) -> Option<Option<u32>> {
    let id = shared.call(Operation::Read(number, None));
    let path = format!("/v1/operator/notes/{}", shared.before + number);
    let answer = ask(host, "GET", &path, String::new()).await;
    let content = match answer {
        Some(answer) if answer.status == 200 => Some(content_of(&answer.json())),
        Some(answer) if answer.status == 404 => None,
        // A read without an answer says nothing.
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

/// Sends a note with a content of its own, and the items of `note` beside it.
async fn send(shared: &Shared, host: SocketAddr, number: usize, mut note: Value) -> Sent {
    let content = shared.contents.fetch_add(1, Ordering::Relaxed);
    let id = shared.call(Operation::Send(number, content, Sent::Unknown));
    let model = json!({"kind": "model", "name": format!("model-{content}"), "versions": ["1"]});
    let mut added = vec![model];
    added.extend(note["added"].as_array().into_iter().flatten().cloned());
    note["added"] = added.into();
    note["number"] = json!(shared.before + number);
    let answer = ask(host, "POST", "/v1/operator/notes", note.to_string()).await;
    let sent = match answer {
        Some(answer) if answer.status == 200 => Sent::Holds,
        Some(answer) if answer.status == 409 => Sent::Refused,
        Some(answer) if answer.status == 503 && answer.json()["ran"] == "no" => Sent::Never,
        _ => return Sent::Unknown,
    };
    shared.respond(id, Operation::Send(number, content, sent));
    sent
}

/// Sends and reads at any host until the trouble is over.
async fn operate(shared: Shared, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut next = 1;
    while !shared.over.load(Ordering::Relaxed) {
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

/// Operators at work.
pub struct Operators {
    pub shared: Shared,
    tasks: JoinSet<()>,
}

impl Operators {
    /// Starts some who ask all the controls of `cluster`, which holds this many notes.
    pub fn start(cluster: &Cluster, count: u64, before: usize) -> Operators {
        let shared = Shared {
            before,
            ..Shared::default()
        };
        for number in 1..=cluster.plan.controls {
            shared.add_host(cluster, &format!("control-{number}"));
        }
        let mut tasks = JoinSet::new();
        for seed in 0..count {
            tasks.spawn(operate(shared.clone(), seed));
        }
        Operators { shared, tasks }
    }

    /// Has a note accepted among theirs, under whichever number is free; gives the
    /// number.
    pub async fn send_next(&self, cluster: &Cluster, host: &str, note: Value) -> u64 {
        let host = cluster.http(host);
        until("the note is accepted", || async {
            let path = "/v1/operator/notes/status";
            let status = ask(host, "GET", path, String::new()).await?;
            let accepted = status.json()["accepted"].as_u64()?;
            let next = usize::try_from(accepted).unwrap() + 1 - self.shared.before;
            let sent = send(&self.shared, host, next, note.clone()).await;
            (sent == Sent::Holds).then_some(accepted + 1)
        })
        .await
    }

    /// Reads the note after the newest that is known to be accepted at one host: there
    /// is one, or there is none, and the history tells whether that is right.
    pub async fn read_newest(&self, cluster: &Cluster, host: &str) {
        let accepted = self.accepted();
        read(&self.shared, cluster.http(host), accepted.max(1)).await;
        read(&self.shared, cluster.http(host), accepted + 1).await;
    }

    /// The highest number of which somebody was told that it is accepted.
    fn accepted(&self) -> usize {
        let actions = self.shared.actions.lock().unwrap();
        let numbers = actions.iter().map(|(_, action)| match action {
            Action::Response(Operation::Send(number, _, Sent::Holds)) => *number,
            _ => 0,
        });
        numbers.max().unwrap_or(0)
    }

    /// Waits until they have done this much more.
    pub async fn until_operations(&self, times: usize) {
        let done = || *self.shared.operations.lock().unwrap();
        let enough = done() + times;
        until("the operators go on", || async {
            (done() >= enough).then_some(())
        })
        .await;
    }

    /// Ends their work, reads all notes at each control and checks the history; gives
    /// the number of accepted notes.
    pub async fn end(mut self, cluster: &Cluster) -> usize {
        self.shared.over.store(true, Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
        let accepted = read_all(cluster, &self.shared).await;
        check(&self.shared);
        accepted
    }
}

/// Reads all notes at each control; gives their number.
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

/// Fails the test unless all of it could have happened one after the other.
fn check(shared: &Shared) {
    let history = History::from_actions(complete(shared));
    assert!(
        WGLChecker::<Notes>::is_linearizable(history),
        "{:?}",
        shared.actions
    );
}

/// Settles the operations without an answer. All notes were read at the end, and none is
/// ever taken out: a note that was never read never held, so its sending is left out; one
/// that was read held at some time before the end. Left open, each such sending would
/// double what the checker has to try.
fn complete(shared: &Shared) -> Actions {
    let mut actions = shared.actions.lock().unwrap().clone();
    let read: BTreeSet<u32> = actions
        .iter()
        .filter_map(|(_, a)| content_read(a))
        .collect();
    let ended: BTreeSet<usize> = actions.iter().filter_map(ended).collect();
    let mut ends = Vec::new();
    actions.retain(|(id, action)| {
        let Action::Call(Operation::Send(number, content, _)) = action else {
            return true;
        };
        if ended.contains(id) {
            return true;
        }
        let operation = Operation::Send(*number, *content, Sent::Unknown);
        ends.push((*id, Action::Response(operation)));
        read.contains(content)
    });
    let kept: BTreeSet<usize> = actions.iter().map(|(id, _)| *id).collect();
    actions.extend(ends.into_iter().filter(|(id, _)| kept.contains(id)));
    actions
}

fn content_read(action: &Action<Operation>) -> Option<u32> {
    match action {
        Action::Response(Operation::Read(_, content)) => *content,
        _ => None,
    }
}

fn ended((id, action): &(usize, Action<Operation>)) -> Option<usize> {
    matches!(action, Action::Response(_)).then_some(*id)
}
