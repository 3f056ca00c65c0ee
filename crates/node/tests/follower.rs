//! A follower with stubs of control replicas.

use node::{ControlAddresses, Follower, FollowerSettings};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;
use wire::proto::frame::Body;
use wire::proto::{
    MemberView, NodeInfo, NotLeader, Notes, Outcome, Renewed, Unavailable, command, outcome,
};
use wire::{ClusterKey, Identity, LinkSettings, Role};

const MAX_WAIT: Duration = Duration::from_secs(30);
const LEASE_MS: u32 = 600_000;

fn key() -> ClusterKey {
    ClusterKey::from_bytes(b"a key of the cluster").unwrap()
}

/// Answers of a stub, by request.
type Answers = Arc<Mutex<dyn FnMut(Body) -> Option<Body> + Send>>;

async fn start_replica(name: &'static str, answers: Answers) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let me = Identity::new(Role::Control, name, 1);
        while let Ok((stream, _)) = listener.accept().await {
            let accepted = wire::accept(stream, &me, &key(), &LinkSettings::default()).await;
            let Ok((link, mut rx)) = accepted else {
                continue;
            };
            let answers = Arc::clone(&answers);
            tokio::spawn(async move {
                while let Some(incoming) = rx.recv().await {
                    let answer = answers.lock().unwrap()(incoming.body);
                    if let Some(answer) = answer {
                        let _ = link.reply(incoming.call, answer).await;
                    }
                }
            });
        }
    });
    address
}

fn answers(f: impl FnMut(Body) -> Option<Body> + Send + 'static) -> Answers {
    Arc::new(Mutex::new(f))
}

fn follow(controls: Vec<SocketAddr>) -> Follower {
    follow_with(ControlAddresses::All(controls))
}

/// Follows replicas of which the settings name some; the sender changes the settings.
fn follow_seeds(seeds: Vec<SocketAddr>) -> (Follower, watch::Sender<Vec<SocketAddr>>) {
    let seeds = watch::Sender::new(seeds);
    let follower = follow_with(ControlAddresses::Seeds(seeds.subscribe()));
    (follower, seeds)
}

fn follow_with(controls: ControlAddresses) -> Follower {
    let cfg = FollowerSettings {
        controls,
        renew_interval: Duration::from_millis(100),
        key: key(),
        link: LinkSettings::default(),
    };
    let me = Identity::new(Role::Entry, "entry-1", 1);
    Follower::spawn(me, node_info("entry-1"), cfg)
}

fn node_info(name: &str) -> NodeInfo {
    NodeInfo {
        name: name.to_owned(),
        ..NodeInfo::default()
    }
}

async fn until<Fut: Future<Output = bool>>(mut condition: impl FnMut() -> Fut) {
    let end = Instant::now() + MAX_WAIT;
    while !condition().await {
        assert!(Instant::now() < end, "condition not met in time");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn renewed(term: u64, note: u64) -> Renewed {
    Renewed {
        term,
        note,
        lease_ms: LEASE_MS,
        ..Renewed::default()
    }
}

fn notes(numbers: impl Iterator<Item = u64>) -> Body {
    let notes = numbers.map(|n| format!(r#"{{"number": {n}}}"#).into());
    Body::Notes(Notes {
        notes: notes.collect(),
        ..Notes::default()
    })
}

/// Guards against a node accepting work before it has all of hundreds of missed notes:
/// callers would be served by targets that operators have withdrawn.
#[tokio::test]
async fn lease_only_with_newest_note() {
    let withhold = Arc::new(Mutex::new(true));
    let is_withheld = Arc::clone(&withhold);
    let control = answers(move |body| match body {
        Body::Renew(_) => Some(Body::Renewed(renewed(1, 300))),
        Body::FetchNotes(ask) if *is_withheld.lock().unwrap() => {
            Some(notes(ask.after + 1..=(ask.after + 50).min(299)))
        }
        Body::FetchNotes(ask) => Some(notes(ask.after + 1..=300)),
        _ => None,
    });
    let follower = follow(vec![start_replica("control-1", control).await]);
    until(|| async { follower.catalogue().number() == 299 }).await;
    follower.refresh().await;
    assert!(!follower.leased(Instant::now()));
    *withhold.lock().unwrap() = false;
    until(|| async { follower.leased(Instant::now()) }).await;
    assert_eq!(follower.catalogue().number(), 300);
}

/// Guards against applying late messages of a disconnected former leader: an older view
/// that lacks a target, and release notes that were already applied. The node would
/// revert to an outdated state.
#[tokio::test]
async fn view_and_notes_never_revert() {
    let renewals = Arc::new(Mutex::new(0_u64));
    let counter = Arc::clone(&renewals);
    let control = answers(move |body| match body {
        Body::Renew(_) => {
            let mut count = counter.lock().unwrap();
            *count += 1;
            let first = *count == 1;
            let (term, note, names) = if first {
                (5, 2, vec!["a", "b"])
            } else {
                (4, 1, vec!["a"])
            };
            let mut renewed = renewed(term, note);
            renewed.view = Some(MemberView {
                term,
                version: 9,
                settled: true,
                nodes: names.into_iter().map(node_info).collect(),
                ..MemberView::default()
            });
            Some(Body::Renewed(renewed))
        }
        Body::FetchNotes(_) => Some(notes(1..=2)),
        _ => None,
    });
    let follower = follow(vec![start_replica("control-1", control).await]);
    until(|| async { *renewals.lock().unwrap() > 5 }).await;
    assert_eq!(follower.view().term, 5);
    assert_eq!(follower.view().nodes.len(), 2);
    assert_eq!(follower.catalogue().number(), 2);
}

/// The replica that a node asks first does not lead, and the leader does not answer the
/// first requests. The operator's command must still be committed.
#[tokio::test]
async fn propose_finds_leader() {
    let non_leader = answers(|_| {
        Some(Body::NotLeader(NotLeader {
            leader: "control-2".to_owned(),
            address: String::new(),
        }))
    });
    let mut asked = 0;
    let leader_answers = answers(move |body| {
        asked += 1;
        match body {
            Body::Propose(_) if asked < 4 => None,
            Body::Propose(_) => Some(Body::Outcome(Outcome {
                index: 7,
                body: None,
            })),
            _ => None,
        }
    });
    let first = start_replica("control-1", non_leader).await;
    let second = start_replica("control-2", leader_answers).await;
    let follower = follow(vec![first, second]);
    let outcome = follower.propose(drain(), MAX_WAIT).await;
    assert_eq!(outcome.index, 7);
}

/// Guards against a node not finding a leader that its settings do not name, for example
/// when they name three replicas of five: none of its commands would be committed.
#[tokio::test]
async fn propose_finds_leader_outside_settings() {
    let leader_answers = answers(|body| match body {
        Body::Propose(_) => Some(Body::Outcome(Outcome {
            index: 8,
            body: None,
        })),
        _ => None,
    });
    let leader = start_replica("control-4", leader_answers).await;
    let non_leader = answers(move |_| {
        Some(Body::NotLeader(NotLeader {
            leader: "control-4".to_owned(),
            address: leader.to_string(),
        }))
    });
    let named = start_replica("control-1", non_leader).await;
    let (follower, _seeds) = follow_seeds(vec![named]);
    let outcome = follower.propose(drain(), MAX_WAIT).await;
    assert_eq!(outcome.index, 8);
}

/// Guards against a node that loses control, and holds its group, once the replicas in its
/// settings have been replaced one by one.
#[tokio::test]
async fn renew_replicas_replaced() {
    const REPLACEMENTS: usize = 12;
    let last_renewed = Arc::new(Mutex::new(false));
    let is_renewed = Arc::clone(&last_renewed);
    let last = answers(move |body| match body {
        Body::Renew(_) => {
            *is_renewed.lock().unwrap() = true;
            Some(Body::Renewed(renewed(1, 0)))
        }
        _ => None,
    });
    let mut address = start_replica("control-last", last).await;
    for _ in 0..REPLACEMENTS {
        // Leads until a node knows its successor, and is gone then.
        let mut successor = Some(address.to_string());
        let leader = answers(move |body| match body {
            Body::Renew(_) => {
                let mut renewed = renewed(1, 0);
                renewed.replicas = vec![successor.take()?];
                Some(Body::Renewed(renewed))
            }
            _ => None,
        });
        address = start_replica("control", leader).await;
    }
    let (_follower, _seeds) = follow_seeds(vec![address]);
    until(|| async { *last_renewed.lock().unwrap() }).await;
}

/// Guards against a node that does not reach control again before its process is restarted,
/// if all replicas were replaced while it was cut off.
#[tokio::test]
async fn renew_seeds_changed() {
    let control = answers(|body| match body {
        Body::Renew(_) => Some(Body::Renewed(renewed(1, 0))),
        _ => None,
    });
    let gone = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let (follower, seeds) = follow_seeds(vec![gone]);
    seeds.send_replace(vec![start_replica("control-1", control).await]);
    until(|| async { follower.leased(Instant::now()) }).await;
}

fn drain() -> command::Body {
    command::Body::Drain(wire::proto::Drain {
        target: "t".to_owned(),
        draining: true,
    })
}

/// No replica answers. The caller must learn in time that the time-out has passed and
/// that the command may still have been committed.
#[tokio::test]
async fn propose_unanswered_may_be_committed() {
    let silent = start_replica("control-1", answers(|_| None)).await;
    let follower = follow(vec![silent]);
    until(|| async {
        let outcome = follower.propose(drain(), Duration::from_millis(300)).await;
        matches!(
            outcome.body,
            Some(outcome::Body::Unavailable(Unavailable { maybe: true, .. }))
        )
    })
    .await;
}

/// Guards against blocking a group until a request to a hanging leader times out although
/// another replica already leads.
#[tokio::test]
async fn propose_leader_hangs() {
    let hanging = answers(|body| match body {
        Body::Renew(_) => Some(Body::Renewed(renewed(1, 0))),
        _ => None,
    });
    let next = answers(|body| match body {
        Body::Propose(_) => Some(Body::Outcome(Outcome {
            index: 7,
            body: None,
        })),
        _ => Some(Body::NotLeader(NotLeader {
            leader: "control-1".to_owned(),
            ..NotLeader::default()
        })),
    });
    let controls = vec![
        start_replica("control-1", hanging).await,
        start_replica("control-2", next).await,
    ];
    let follower = follow(controls);
    until(|| async { follower.leased(Instant::now()) }).await;
    let open = command::Body::OpenCoordinator(wire::proto::OpenCoordinator::default());
    // Shorter than the time-out of one attempt.
    let within = Duration::from_millis(1_400);
    assert_eq!(follower.propose(open, within).await.index, 7);
}
