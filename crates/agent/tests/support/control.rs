//! A stand-in for control: one replica that always leads.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;
use wire::proto::frame::Body;
use wire::proto::{
    CoordinatorOutcome, CrashedOutcome, MemberView, NodeInfo, NotLeader, Notes, Outcome, Propose,
    Quarantine, QueryReply, Renewed, command, outcome, query_reply,
};
use wire::{Identity, LinkSettings, Role};

/// Until a command is committed.
const COMMIT: Duration = Duration::from_millis(100);

#[derive(Clone)]
pub struct Control {
    address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    notes: Vec<String>,
    lease_ms: u32,
    leads: bool,
    view: MemberView,
    quarantine: Quarantine,
    fencing: u64,
    last: Option<NodeInfo>,
    renewals: u64,
    crashes: Vec<Vec<bytes::Bytes>>,
}

impl Control {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let control = Control {
            address: listener.local_addr().unwrap(),
            inner: Arc::new(Mutex::new(Inner {
                notes: vec![first_note()],
                lease_ms: 60_000,
                leads: true,
                view: MemberView::default(),
                quarantine: Quarantine::default(),
                fencing: 0,
                last: None,
                renewals: 0,
                crashes: Vec::new(),
            })),
        };
        tokio::spawn(control.clone().accept(listener));
        control
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of the newest note.
    pub fn note(&self) -> u64 {
        self.inner.lock().unwrap().notes.len() as u64
    }

    pub fn renewals(&self) -> u64 {
        self.inner.lock().unwrap().renewals
    }

    /// What the agent last told of itself.
    pub fn last(&self) -> Option<NodeInfo> {
        self.inner.lock().unwrap().last.clone()
    }

    /// Fingerprints of each crash that was reported.
    pub fn crashes(&self) -> Vec<Vec<bytes::Bytes>> {
        self.inner.lock().unwrap().crashes.clone()
    }

    pub fn withdraw(&self, target: &str) {
        let mut inner = self.inner.lock().unwrap();
        let number = inner.notes.len() + 1;
        let note = json!({"number": number, "added": [], "changed": [],
            "withdrawn": [{"kind": "target", "name": target}]});
        inner.notes.push(note.to_string());
    }

    /// Gives leases of this length from now on.
    pub fn lease(&self, lease_ms: u32) {
        self.inner.lock().unwrap().lease_ms = lease_ms;
    }

    pub fn fence(&self, fencing: u64) {
        self.inner.lock().unwrap().fencing = fencing;
    }

    /// Gives out this member view.
    pub fn view(&self, nodes: Vec<NodeInfo>) {
        let mut inner = self.inner.lock().unwrap();
        inner.view.term = 1;
        inner.view.version += 1;
        inner.view.settled = true;
        inner.view.nodes = nodes;
    }

    /// Stops leading: nothing is answered any more.
    pub fn resign(&self) {
        self.inner.lock().unwrap().leads = false;
    }

    pub fn quarantine(&self, suspects: Vec<bytes::Bytes>, convicted: Vec<bytes::Bytes>) {
        let mut inner = self.inner.lock().unwrap();
        let version = inner.quarantine.version + 1;
        inner.quarantine = Quarantine {
            version,
            suspects,
            convicted,
        };
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let control = self.clone();
            tokio::spawn(async move {
                let me = Identity::new(Role::Control, "control-1", 1);
                let cfg = LinkSettings::default();
                let accepted = wire::accept(stream, &me, &super::key(), &cfg).await;
                let Ok((link, mut rx)) = accepted else { return };
                while let Some(incoming) = rx.recv().await {
                    if matches!(incoming.body, Body::Propose(_)) {
                        tokio::time::sleep(COMMIT).await;
                    }
                    let answer = control.answer(incoming.body);
                    let _ = link.reply(incoming.call, answer).await;
                }
            });
        }
    }

    fn answer(&self, body: Body) -> Body {
        let mut inner = self.inner.lock().unwrap();
        if !inner.leads {
            return Body::NotLeader(NotLeader::default());
        }
        match body {
            Body::Renew(renew) => {
                inner.last = renew.node;
                inner.renewals += 1;
                Body::Renewed(Renewed {
                    term: 1,
                    note: inner.notes.len() as u64,
                    lease_ms: inner.lease_ms,
                    view: Some(inner.view.clone()),
                    quarantine: Some(inner.quarantine.clone()),
                })
            }
            Body::FetchNotes(fetch) => {
                let after = usize::try_from(fetch.after).unwrap().min(inner.notes.len());
                let notes = inner.notes[after..].iter().cloned();
                Body::Notes(Notes {
                    notes: notes.map(Into::into).collect(),
                    snapshot: bytes::Bytes::new(),
                    number: inner.notes.len() as u64,
                })
            }
            Body::Propose(propose) => Body::Outcome(inner.propose(propose)),
            Body::Query(_) => Body::QueryReply(QueryReply {
                body: Some(query_reply::Body::Map(CoordinatorOutcome {
                    fencing: inner.fencing,
                    ..CoordinatorOutcome::default()
                })),
            }),
            _ => Body::NotLeader(NotLeader::default()),
        }
    }
}

impl Inner {
    fn propose(&mut self, propose: Propose) -> Outcome {
        let body = propose.command.and_then(|command| command.body);
        if let Some(command::Body::Crashed(crashed)) = body {
            self.crashes.push(crashed.fingerprints);
        }
        Outcome {
            index: 1,
            body: Some(outcome::Body::Crashed(CrashedOutcome::default())),
        }
    }
}

fn first_note() -> String {
    let added = json!([
        {"kind": "model", "name": "burl-notes", "versions": ["2026-11"], "adapters": ["spalted"]},
        {"kind": "group", "name": "blank-advisor", "model": "burl-notes", "ranks": 16,
         "layers": 4, "experts": 128, "spare_slots": 1, "weights": {"skew": 1.0, "moves": 4.0}},
        {"kind": "service", "name": "order-desk", "repeatable": ["GET"], "timeout_ms": 10000},
        {"kind": "target", "name": "advisor-01", "group": "blank-advisor"},
        {"kind": "target", "name": "desk-01", "service": "order-desk"},
    ]);
    json!({"number": 1, "added": added, "changed": [], "withdrawn": []}).to_string()
}
