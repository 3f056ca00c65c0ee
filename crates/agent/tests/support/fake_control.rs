//! A fake control: a single replica that always leads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use expert::{Decision, Decisions, GroupState, Verdict};
use serde_json::json;
use tokio::net::TcpListener;
use wire::proto::frame::Body;
use wire::proto::{
    CoordinatorOutcome, CrashedOutcome, DecideMap, MapDecision, MemberView, NodeInfo, NotLeader,
    Notes, Outcome, Propose, Quarantine, QueryReply, Renewed, Unavailable, command, outcome,
    query_reply,
};
use wire::{Identity, LinkSettings, Role};

/// Time until a command is committed.
const COMMIT_DELAY: Duration = Duration::from_millis(100);

#[derive(Clone)]
pub struct FakeControl {
    address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

/// Whether the member view lists all agents that renewed their lease.
#[derive(Clone, Copy, PartialEq)]
enum LiveView {
    Off,
    Settled,
    Unsettled,
}

struct Inner {
    notes: Vec<String>,
    lease_ms: u32,
    leads: bool,
    view: MemberView,
    quarantine: Quarantine,
    decisions: Decisions,
    /// Whether proposals to commit a map are dropped.
    drop_commits: bool,
    commits_dropped: u64,
    live_view: LiveView,
    agents: BTreeMap<String, NodeInfo>,
    last: Option<NodeInfo>,
    renewals: u64,
    crashes: Vec<Vec<bytes::Bytes>>,
}

impl FakeControl {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let control = FakeControl {
            address: listener.local_addr().unwrap(),
            inner: Arc::new(Mutex::new(Inner {
                notes: vec![first_note()],
                lease_ms: 60_000,
                leads: true,
                view: MemberView::default(),
                quarantine: Quarantine::default(),
                decisions: Decisions::new(),
                drop_commits: false,
                commits_dropped: 0,
                live_view: LiveView::Off,
                agents: BTreeMap::new(),
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

    /// Number of the newest release note.
    pub fn newest_note(&self) -> u64 {
        self.inner.lock().unwrap().notes.len() as u64
    }

    pub fn renewals(&self) -> u64 {
        self.inner.lock().unwrap().renewals
    }

    /// Node information in the latest renewal.
    pub fn last_node(&self) -> Option<NodeInfo> {
        self.inner.lock().unwrap().last.clone()
    }

    /// Fingerprints of each reported crash.
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

    /// Sets the length of leases.
    pub fn set_lease(&self, lease_ms: u32) {
        self.inner.lock().unwrap().lease_ms = lease_ms;
    }

    /// Opens coordinators until the fencing number is `fencing`.
    pub fn set_fencing(&self, fencing: u64) {
        let decisions = &mut self.inner.lock().unwrap().decisions;
        while decisions.open_coordinator(super::GROUP, "other", 1).fencing < fencing {}
    }

    pub fn set_notes(&self, notes: Vec<String>) {
        self.inner.lock().unwrap().notes = notes;
    }

    /// Shows all agents that renew in the member view from now on.
    pub fn show_live_agents(&self) {
        self.inner.lock().unwrap().live_view = LiveView::Settled;
    }

    /// Like [`Self::show_live_agents`], but the view is not settled: the leader may
    /// not know all agents yet.
    pub fn show_live_agents_unsettled(&self) {
        self.inner.lock().unwrap().live_view = LiveView::Unsettled;
    }

    /// Removes an agent from the view until it renews again.
    pub fn forget_agent(&self, name: &str) {
        self.inner.lock().unwrap().agents.remove(name);
    }

    /// Sets whether proposals to commit a map are dropped.
    pub fn drop_commits(&self, drop: bool) {
        self.inner.lock().unwrap().drop_commits = drop;
    }

    /// Number of dropped proposals to commit a map.
    pub fn commits_dropped(&self) -> u64 {
        self.inner.lock().unwrap().commits_dropped
    }

    /// Current decisions of the group.
    pub fn standing(&self) -> GroupState {
        let inner = self.inner.lock().unwrap();
        let standing = inner.decisions.group_state(super::GROUP);
        standing.cloned().unwrap_or_default()
    }

    /// Sets the member view.
    pub fn set_view(&self, nodes: Vec<NodeInfo>) {
        let mut inner = self.inner.lock().unwrap();
        inner.view.term = 1;
        inner.view.version += 1;
        inner.view.settled = true;
        inner.view.nodes = nodes;
    }

    /// Stops leading: every request is answered with `NotLeader`.
    pub fn resign(&self) {
        self.inner.lock().unwrap().leads = false;
    }

    pub fn set_quarantine(&self, suspects: Vec<bytes::Bytes>, convicted: Vec<bytes::Bytes>) {
        let mut inner = self.inner.lock().unwrap();
        let version = inner.quarantine.version + 1;
        inner.quarantine = Quarantine {
            version,
            suspects,
            convicted,
            watched: Vec::new(),
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
                        tokio::time::sleep(COMMIT_DELAY).await;
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
                let known = renew
                    .unchanged
                    .and_then(|node| inner.known_node(&node.name));
                inner.last = renew.node.or(known);
                let lease_ms = inner.last.as_ref().map_or(0, |_| inner.lease_ms);
                inner.renewals += 1;
                inner.update_view();
                Body::Renewed(Renewed {
                    term: 1,
                    note: inner.notes.len() as u64,
                    lease_ms,
                    view: Some(inner.view.clone()),
                    quarantine: Some(inner.quarantine.clone()),
                    ..Renewed::default()
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
                body: Some(query_reply::Body::Map(inner.coordinator_outcome())),
            }),
            _ => Body::NotLeader(NotLeader::default()),
        }
    }
}

impl Inner {
    /// The state of a node that leaves it out of its renewal.
    fn known_node(&self, name: &str) -> Option<NodeInfo> {
        if self.live_view != LiveView::Off {
            return self.agents.get(name).cloned();
        }
        self.last.clone().filter(|node| node.name == name)
    }

    fn propose(&mut self, propose: Propose) -> Outcome {
        let body = match propose.command.and_then(|command| command.body) {
            Some(command::Body::OpenCoordinator(open)) => {
                let (agent, incarnation) = (&open.agent, open.incarnation);
                let decisions = &mut self.decisions;
                decisions.open_coordinator(&open.group, agent, incarnation);
                outcome::Body::Coordinator(self.coordinator_outcome())
            }
            Some(command::Body::DecideMap(decide)) => self.decide(decide),
            Some(command::Body::Crashed(crashed)) => {
                self.crashes.push(crashed.fingerprints);
                outcome::Body::Crashed(CrashedOutcome::default())
            }
            _ => outcome::Body::Crashed(CrashedOutcome::default()),
        };
        Outcome {
            index: 1,
            body: Some(body),
        }
    }

    fn decide(&mut self, decide: DecideMap) -> outcome::Body {
        if decide.commit && self.drop_commits {
            self.commits_dropped += 1;
            return outcome::Body::Unavailable(Unavailable {
                reason: "lost".into(),
                maybe: true,
                retry_after_ms: 1,
                lasting: false,
            });
        }
        let decision = Decision {
            fencing: decide.fencing,
            version: decide.version,
            barrier_step: decide.barrier_step,
            verdict: if decide.commit {
                Verdict::Commit
            } else {
                Verdict::Abort
            },
            map: decide.map,
        };
        let outcome = self.decisions.decide(&decide.group, decision);
        let current = outcome.current().map(map_decision).unwrap_or_default();
        outcome::Body::Map(MapDecision {
            accepted: outcome.is_accepted(),
            ..current
        })
    }

    fn coordinator_outcome(&self) -> CoordinatorOutcome {
        let standing = self.decisions.group_state(super::GROUP);
        let standing = standing.cloned().unwrap_or_default();
        CoordinatorOutcome {
            fencing: standing.fencing,
            current: standing.current.as_ref().map(map_decision),
            committed: standing.committed.iter().map(map_decision).collect(),
        }
    }

    fn update_view(&mut self) {
        if self.live_view == LiveView::Off {
            return;
        }
        if let Some(node) = self.last.clone() {
            self.agents.insert(node.name.clone(), node);
            self.view.term = 1;
            self.view.version += 1;
            self.view.settled = self.live_view == LiveView::Settled;
            self.view.nodes = self.agents.values().cloned().collect();
        }
    }
}

fn map_decision(decision: &Decision) -> MapDecision {
    MapDecision {
        group: super::GROUP.into(),
        fencing: decision.fencing,
        version: decision.version,
        barrier_step: decision.barrier_step,
        commit: decision.verdict == Verdict::Commit,
        map: decision.map.clone(),
        accepted: true,
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
