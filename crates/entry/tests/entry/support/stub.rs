//! An agent scripted by a test.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use node::{ControlAddresses, Follower, FollowerSettings};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wire::proto::frame::Body;
use wire::proto::{
    Announcement, AnswerChunk, AnswerEnd, AnswerHead, End, Header, NodeInfo, Refusal, Start,
    StartReply,
};
use wire::{Identity, Incoming, LinkSettings, Role};

use super::Cluster;
use fake::Relay;

/// Handles each message to the agent.
pub type Script = Arc<dyn Fn(&StubAgent, &Incoming) + Send + Sync>;

/// An agent that announces itself and handles messages with a script.
#[derive(Clone)]
pub struct StubAgent {
    pub name: String,
    pub incarnation: u64,
    pub follower: Follower,
    pub received: Arc<Mutex<Vec<Body>>>,
}

impl StubAgent {
    /// Starts a stub agent of the order desk.
    pub async fn desk(cluster: &Cluster, name: &str, script: Script) -> StubAgent {
        let target = Announcement {
            service: "order-desk".to_owned(),
            ..announcement(name)
        };
        StubAgent::start(cluster, target, None, script).await
    }

    /// Starts a stub agent of an engine that can resume streams.
    pub async fn engine(cluster: &Cluster, name: &str, script: Script) -> StubAgent {
        let target = Announcement {
            group: "blank-advisor".to_owned(),
            can_resume: true,
            ..announcement(name)
        };
        StubAgent::start(cluster, target, None, script).await
    }

    /// Starts a stub agent with the given announcement; with `relay`, its links go
    /// through the relay.
    pub async fn start(
        cluster: &Cluster,
        target: Announcement,
        relay: Option<&Relay>,
        script: Script,
    ) -> StubAgent {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut address = listener.local_addr().unwrap();
        if let Some(relay) = relay {
            relay.set_target(address);
            address = relay.address;
        }
        let name = target.target.clone();
        let incarnation = rand::random();
        let me = Identity::new(Role::Agent, name.clone(), incarnation);
        let info = NodeInfo {
            role: Role::Agent.into(),
            name: name.clone(),
            incarnation,
            zone: "celje".to_owned(),
            link_address: address.to_string(),
            target: Some(target),
            ..NodeInfo::default()
        };
        let link = LinkSettings {
            heartbeat_interval: Duration::from_millis(500),
            ..LinkSettings::default()
        };
        let settings = FollowerSettings {
            controls: ControlAddresses::All(vec![cluster.control.link_address()]),
            renew_interval: Duration::from_millis(200),
            key: cluster.key(),
            link: link.clone(),
        };
        let stub = StubAgent {
            name,
            incarnation,
            follower: Follower::spawn(me.clone(), info, settings),
            received: Arc::default(),
        };
        let (key, accepting) = (cluster.key(), stub.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Ok((_, rx)) = wire::accept(stream, &me, &key, &link).await else {
                    continue;
                };
                tokio::spawn(run_script(accepting.clone(), rx, Arc::clone(&script)));
            }
        });
        stub
    }

    /// Values that `matching` returns for the messages received so far.
    pub fn received_matching<T>(&self, matching: impl Fn(&Body) -> Option<T>) -> Vec<T> {
        self.received
            .lock()
            .unwrap()
            .iter()
            .filter_map(matching)
            .collect()
    }

    pub fn starts(&self) -> Vec<Start> {
        self.received_matching(|body| match body {
            Body::Start(start) => Some(start.clone()),
            _ => None,
        })
    }
}

pub fn announcement(name: &str) -> Announcement {
    Announcement {
        target: name.to_owned(),
        ranks: vec![0],
        can_cancel: true,
        healthy: true,
        ..Announcement::default()
    }
}

async fn run_script(stub: StubAgent, mut rx: mpsc::Receiver<Incoming>, script: Script) {
    while let Some(incoming) = rx.recv().await {
        stub.received.lock().unwrap().push(incoming.body.clone());
        script(&stub, &incoming);
    }
}

/// Sends a reply and then messages, in order, from a separate task.
pub fn send_reply(incoming: &Incoming, reply: Body, after: Vec<Body>) {
    let (link, call) = (incoming.link.clone(), incoming.call);
    tokio::spawn(async move {
        let _ = link.reply(call, reply).await;
        for body in after {
            let _ = link.send(body).await;
        }
    });
}

pub fn accept(start: &Start) -> Body {
    Body::StartReply(StartReply {
        attempt: start.attempt.clone(),
        accepted: true,
        ..StartReply::default()
    })
}

pub fn refuse(start: &Start, refusal: Refusal) -> Body {
    Body::StartReply(StartReply {
        attempt: start.attempt.clone(),
        refusal: refusal.into(),
        ..StartReply::default()
    })
}

pub fn head(attempt: &Bytes, kind: &str) -> Body {
    let header = Header {
        name: "content-type".to_owned(),
        value: Bytes::copy_from_slice(kind.as_bytes()),
    };
    Body::AnswerHead(AnswerHead {
        attempt: attempt.clone(),
        status: 200,
        headers: vec![header],
    })
}

/// A chunk with the bytes of `text` from `offset` on.
pub fn chunk(attempt: &Bytes, text: &str, offset: usize) -> Body {
    Body::AnswerChunk(AnswerChunk {
        attempt: attempt.clone(),
        offset: offset as u64,
        data: Bytes::copy_from_slice(&text.as_bytes()[offset..]),
    })
}

pub fn finish(attempt: &Bytes, text: &str, end: End) -> Body {
    Body::AnswerEnd(AnswerEnd {
        attempt: attempt.clone(),
        end: end.into(),
        length: text.len() as u64,
        crc32c: crc32c::crc32c(text.as_bytes()),
        ..AnswerEnd::default()
    })
}

/// Head, a single chunk and the end of a complete answer.
pub fn answer(attempt: &Bytes, kind: &str, text: &str) -> Vec<Body> {
    vec![
        head(attempt, kind),
        chunk(attempt, text, 0),
        finish(attempt, text, End::Whole),
    ]
}

/// Numbered server-sent events, followed by `done`.
pub fn events(numbers: std::ops::Range<u32>, done: &str) -> String {
    let events = numbers.map(|n| format!("data: {{\"n\":{n}}}\n\n"));
    events.collect::<String>() + done
}
