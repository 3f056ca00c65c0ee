//! A follower before small stand-ins for control replicas.

use node::{Follower, FollowerSettings};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use wire::proto::frame::Body;
use wire::proto::{
    MemberView, NodeInfo, NotLeader, Notes, Outcome, Renewed, Unavailable, command, outcome,
};
use wire::{ClusterKey, Identity, LinkSettings, Role};

const WITHIN: Duration = Duration::from_secs(30);
const LEASE_MS: u32 = 600_000;

fn key() -> ClusterKey {
    ClusterKey::from_bytes(b"a key of the cluster").unwrap()
}

/// What a stand-in answers, by request.
type Answers = Arc<Mutex<dyn FnMut(Body) -> Option<Body> + Send>>;

async fn replica(name: &'static str, answers: Answers) -> SocketAddr {
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
    follow_by(Follower::spawn, controls)
}

fn follow_by(
    spawn: fn(Identity, NodeInfo, FollowerSettings) -> Follower,
    controls: Vec<SocketAddr>,
) -> Follower {
    let cfg = FollowerSettings {
        controls,
        renew_interval: Duration::from_millis(100),
        key: key(),
        link: LinkSettings::default(),
    };
    let me = Identity::new(Role::Entry, "entry-1", 1);
    spawn(me, node_info("entry-1"), cfg)
}

fn node_info(name: &str) -> NodeInfo {
    NodeInfo {
        name: name.to_owned(),
        ..NodeInfo::default()
    }
}

async fn until<Fut: Future<Output = bool>>(mut holds: impl FnMut() -> Fut) {
    let end = Instant::now() + WITHIN;
    while !holds().await {
        assert!(Instant::now() < end, "never happened");
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

/// A node was down for hundreds of notes. If it took work before it had them all, a
/// caller would be served by what operators withdrew long ago.
#[tokio::test]
async fn lease_only_with_newest_note() {
    let withhold = Arc::new(Mutex::new(true));
    let held = Arc::clone(&withhold);
    let control = answers(move |body| match body {
        Body::Renew(_) => Some(Body::Renewed(renewed(1, 300))),
        Body::FetchNotes(ask) if *held.lock().unwrap() => {
            Some(notes(ask.after + 1..=(ask.after + 50).min(299)))
        }
        Body::FetchNotes(ask) => Some(notes(ask.after + 1..=300)),
        _ => None,
    });
    let follower = follow(vec![replica("control-1", control).await]);
    until(|| async { follower.catalogue().number() == 299 }).await;
    follower.refresh().await;
    assert!(!follower.leased(Instant::now()));
    *withhold.lock().unwrap() = false;
    until(|| async { follower.leased(Instant::now()) }).await;
    assert_eq!(follower.catalogue().number(), 300);
}

/// A leader was cut off, another one leads, and what the old one sent arrives late: an
/// older view that lacks a target, and notes that stand already. A node that took them
/// would send callers back to what is no longer in force.
#[tokio::test]
async fn view_and_notes_never_go_back() {
    let turn = Arc::new(Mutex::new(0_u64));
    let turns = Arc::clone(&turn);
    let control = answers(move |body| match body {
        Body::Renew(_) => {
            let mut turn = turns.lock().unwrap();
            *turn += 1;
            let first = *turn == 1;
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
    let follower = follow(vec![replica("control-1", control).await]);
    until(|| async { *turn.lock().unwrap() > 5 }).await;
    assert_eq!(follower.view().term, 5);
    assert_eq!(follower.view().nodes.len(), 2);
    assert_eq!(follower.catalogue().number(), 2);
}

/// The replica that a node asks first does not lead, and the one that leads gives no
/// answer at first. The operator's command must still get through.
#[tokio::test]
async fn propose_finds_leader() {
    let follows = answers(|_| {
        Some(Body::NotLeader(NotLeader {
            leader: "control-2".to_owned(),
            address: String::new(),
        }))
    });
    let mut asked = 0;
    let leads = answers(move |body| {
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
    let first = replica("control-1", follows).await;
    let second = replica("control-2", leads).await;
    let follower = follow(vec![first, second]);
    let outcome = follower.propose(drain(), WITHIN).await;
    assert_eq!(outcome.index, 7);
}

/// The settings name three replicas of five, and one of the other two leads. Were it
/// not found, nothing that this node asks for would ever be decided.
#[tokio::test]
async fn propose_finds_leader_beside_settings() {
    let leads = answers(|body| match body {
        Body::Propose(_) => Some(Body::Outcome(Outcome {
            index: 8,
            body: None,
        })),
        _ => None,
    });
    let leader = replica("control-4", leads).await;
    let follows = answers(move |_| {
        Some(Body::NotLeader(NotLeader {
            leader: "control-4".to_owned(),
            address: leader.to_string(),
        }))
    });
    let named = replica("control-1", follows).await;
    let follower = follow_by(Follower::spawn_from_seeds, vec![named]);
    let outcome = follower.propose(drain(), WITHIN).await;
    assert_eq!(outcome.index, 8);
}

fn drain() -> command::Body {
    command::Body::Drain(wire::proto::Drain {
        target: "t".to_owned(),
        draining: true,
    })
}

/// No replica answers. The caller must be told at once that the time is over, and that
/// the command may have been committed all the same.
#[tokio::test]
async fn propose_unanswered_maybe() {
    let silent = replica("control-1", answers(|_| None)).await;
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

/// Guards against a group that is held for as long as a frozen leader is waited for,
/// though another replica leads by then.
#[tokio::test]
async fn propose_leader_frozen() {
    let frozen = answers(|body| match body {
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
        replica("control-1", frozen).await,
        replica("control-2", next).await,
    ];
    let follower = follow(controls);
    until(|| async { follower.leased(Instant::now()) }).await;
    let open = command::Body::OpenCoordinator(wire::proto::OpenCoordinator::default());
    // Less than the frozen one is waited for.
    let within = Duration::from_millis(1_400);
    assert_eq!(follower.propose(open, within).await.index, 7);
}
