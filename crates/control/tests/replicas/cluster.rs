//! A cluster of replicas in one process, with real sockets and data folders.

use control::{Control, Listeners, Settings};
use fake::Relay;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use store::Ops;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wire::proto::frame::Body;
use wire::proto::{Command, Propose, Query, SubmitNote, command, outcome, query, query_reply};
use wire::{ClusterKey, Identity, Incoming, Link, LinkSettings, Role};

/// Timeout of every wait; generous, so that tests also pass on a slow host.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The replicas of one cluster.
pub struct Cluster {
    folder: TempDir,
    addresses: BTreeMap<String, SocketAddr>,
    running: BTreeMap<String, Control>,
    /// Relays of links, by the names of the dialling and the accepting replica.
    relays: BTreeMap<(String, String), Relay>,
    pub snapshot_entries: u64,
    pub lag_ms: u64,
    /// Replicas named in the settings; all if empty.
    seeds: BTreeMap<String, Vec<String>>,
}

impl Cluster {
    /// Starts replicas `r1` to `rN`; the first one is initialised.
    pub async fn start(size: usize) -> Cluster {
        let mut cluster = Cluster::prepare(size).await;
        cluster.init_and_start().await;
        cluster
    }

    /// Initialises the first replica and starts all.
    pub async fn init_and_start(&mut self) {
        control::init(&self.settings("r1")).unwrap();
        for name in self.names() {
            self.start_replica(&name).await;
        }
        self.wait_repaired().await;
    }

    /// Prepares addresses, keys and relays without starting a replica.
    pub async fn prepare(size: usize) -> Cluster {
        let folder = tempfile::tempdir().unwrap();
        fs::write(folder.path().join("key"), "0123456789abcdef").unwrap();
        fs::write(folder.path().join("token"), "operators-token-of-tests").unwrap();
        let (host, relay_host) = unique_hosts();
        let mut addresses = BTreeMap::new();
        for number in 1..=size {
            let listener = listen(SocketAddr::new(host, 0)).await;
            addresses.insert(format!("r{number}"), listener.local_addr().unwrap());
        }
        let mut relays = BTreeMap::new();
        for from in addresses.keys() {
            for (to, address) in addresses.iter().filter(|(to, _)| *to != from) {
                let relay = Relay::start_on(relay_host).await.unwrap();
                relay.set_target(*address);
                relays.insert((from.clone(), to.clone()), relay);
            }
        }
        Cluster {
            relays,
            folder,
            addresses,
            running: BTreeMap::new(),
            snapshot_entries: 10_000,
            lag_ms: 2000,
            seeds: BTreeMap::new(),
        }
    }

    /// Lets the settings of a replica name only these others, from its next start on.
    pub fn set_seeds(&mut self, name: &str, seeds: &[String]) {
        self.seeds.insert(name.to_owned(), seeds.to_vec());
    }

    pub fn names(&self) -> Vec<String> {
        self.addresses.keys().cloned().collect()
    }

    pub fn data(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub fn settings(&self, name: &str) -> Settings {
        let replica = |(to, address): (&String, &SocketAddr)| {
            let relay = self.relays.get(&(name.to_owned(), to.clone()));
            json!({"name": to, "address": relay.map_or(*address, |relay| relay.address)})
        };
        let replicas: Vec<Value> = self.addresses.iter().map(replica).collect();
        let seeds = self.seeds.get(name);
        let address = |name: &String| self.addresses[name].to_string();
        let forming = seeds.map(
            |seeds| json!({"voters": 3, "seeds": seeds.iter().map(address).collect::<Vec<_>>()}),
        );
        let mut settings = json!({
            "name": name,
            "zone": "celje",
            "listen": self.addresses[name],
            "http": "127.0.0.1:0",
            "data": self.data(name),
            "cluster_key_file": self.folder.path().join("key"),
            "operator_token_file": self.folder.path().join("token"),
            "replicas": replicas,
            "snapshot_entries": self.snapshot_entries,
            "timing": {"heartbeat_ms": 50, "election_ms": 500, "lease_ms": 1000, "lag_ms": self.lag_ms},
        });
        if let Some(forming) = forming {
            settings.as_object_mut().unwrap().remove("replicas");
            settings["forming"] = forming;
        }
        Settings::from_slice(settings.to_string().as_bytes()).unwrap()
    }

    pub async fn start_replica(&mut self, name: &str) {
        self.start_replica_with(name, Ops::default()).await;
    }

    pub async fn start_replica_with(&mut self, name: &str, ops: Ops) {
        let listeners = Listeners {
            links: listen(self.addresses[name]).await,
            http: listen("127.0.0.1:0".parse().unwrap()).await.into(),
        };
        let settings = self.settings(name);
        let control = Control::start_with(settings, listeners, ops).await.unwrap();
        self.running.insert(name.to_owned(), control);
    }

    pub async fn stop_replica(&mut self, name: &str) {
        if let Some(control) = self.running.remove(name) {
            control.shutdown().await;
        }
    }

    /// Cuts the links between a replica and the others in both directions.
    pub async fn isolate(&self, name: &str) {
        for relay in self.relays_of(name) {
            relay.cut();
            wait_for("connections to break", async || {
                (relay.open_connections() == 0).then_some(())
            })
            .await;
        }
    }

    pub fn heal(&self, name: &str) {
        self.relays_of(name).for_each(Relay::heal);
    }

    fn relays_of(&self, name: &str) -> impl Iterator<Item = &Relay> {
        let relays = self.relays.iter();
        let own = relays.filter(move |((from, to), _)| from == name || to == name);
        own.map(|(_, relay)| relay)
    }

    /// Deletes the data folder of a stopped replica.
    pub fn wipe_disk(&self, name: &str) {
        fs::remove_dir_all(self.data(name)).unwrap();
    }

    pub fn control(&self, name: &str) -> &Control {
        &self.running[name]
    }

    /// Returns the status of the leader, once there is one that holds the leader lease.
    pub async fn leader_status(&self) -> Value {
        let found = async |cluster: &Cluster| {
            for control in cluster.running.values() {
                match control.status().await {
                    Ok(status) if status["leased"] == true => return Some(status),
                    _ => {}
                }
            }
            None
        };
        wait_for("a leader", async || found(self).await).await
    }

    pub async fn leader(&self) -> String {
        let status = self.leader_status().await;
        status["replica"].as_str().unwrap().to_owned()
    }

    /// Waits until the leader reports that all replicas are voters and hold all committed
    /// entries.
    pub async fn wait_repaired(&self) {
        let names = self.names();
        wait_for("the repair", async || {
            let status = self.leader_status().await;
            let rows = status["replicas"].as_array().unwrap();
            let complete = status["repair"] == "complete" && rows.len() == names.len();
            complete.then_some(())
        })
        .await;
    }

    /// Waits until a replica has a different disk than in the status `before`, and the
    /// leader reports the repair as complete.
    pub async fn wait_repaired_on_new_disk(&self, name: &str, before: &Value) {
        let disk_in = |status: &Value| {
            let rows = status["replicas"].as_array().unwrap();
            let row = rows.iter().find(|row| row["name"] == name).unwrap();
            row["disk"].clone()
        };
        wait_for("the repair on a new disk", async || {
            let status = self.leader_status().await;
            let new = disk_in(&status) != disk_in(before);
            (new && status["repair"] == "complete").then_some(())
        })
        .await;
    }

    /// Waits until a replica has applied everything that the leader has committed.
    pub async fn wait_caught_up(&self, name: &str) {
        wait_for("a replica to catch up", async || {
            let commit = self.leader_status().await["commit"].as_u64();
            let own = self.control(name).status().await.ok()?;
            (own["applied"].as_u64() >= commit).then_some(())
        })
        .await;
    }

    pub async fn dial(&self, name: &str) -> Link {
        let address = self.addresses[name];
        wait_for("a link", async || dial(address).await).await
    }

    /// Opens a link as a node does, and returns it with the messages received on it.
    pub async fn dial_as_node(&self, name: &str) -> (Link, mpsc::Receiver<Incoming>) {
        let key = ClusterKey::from_bytes(b"0123456789abcdef").unwrap();
        let me = Identity::new(Role::Agent, "desk-01", 1);
        let cfg = LinkSettings::default();
        let dialled = wire::dial(self.addresses[name], &me, &key, &cfg).await;
        dialled.unwrap()
    }

    pub async fn dial_as(&self, name: &str, me: Identity) -> Link {
        let address = self.addresses[name];
        wait_for("a link", async || dial_as(address, me.clone()).await).await
    }

    /// Waits until a replica other than the given one leads.
    pub async fn leader_other_than(&self, excluded: &str) -> String {
        wait_for("another leader", async || {
            let leader = self.leader().await;
            (leader != excluded).then_some(leader)
        })
        .await
    }

    /// Number of the newest note that a replica has applied.
    pub async fn applied_note(&self, name: &str) -> Option<u64> {
        let status = self.control(name).status().await.ok()?;
        status["notes"]["accepted"].as_u64()
    }

    /// Waits until a replica has applied a note.
    pub async fn wait_for_note(&self, name: &str, number: u64) {
        wait_for("a note at a replica", async || {
            let applied = self.applied_note(name).await;
            (applied == Some(number)).then_some(())
        })
        .await;
    }

    /// Submits empty notes up to a number.
    pub async fn submit_up_to(&self, last: u64) {
        let status = self.leader_status().await;
        let accepted = status["notes"]["accepted"].as_u64().unwrap();
        for number in accepted + 1..=last {
            self.submit(&json!({"number": number}), "anna").await;
        }
    }

    /// Submits empty notes from 1 up to a number over a single link, as long as its replica
    /// leads.
    pub async fn submit_fast(&self, last: u64) {
        let mut link = self.dial(&self.leader().await).await;
        for number in 1..=last {
            let json = json!({"number": number});
            match propose_to(&link, note_command(&json, "anna")).await {
                Some(outcome::Body::Note(_)) => {}
                // On a slow host, another replica may be elected.
                None | Some(outcome::Body::Unavailable(_)) => {
                    self.submit(&json, "anna").await;
                    link = self.dial(&self.leader().await).await;
                }
                other => panic!("unexpected outcome {other:?}"),
            }
        }
        self.wait_for_note(&self.leader().await, last).await;
    }

    /// Commits a command at the current leader, and retries until it is answered.
    pub async fn propose(&self, body: command::Body) -> outcome::Body {
        wait_for("a commit", async || {
            let leader = self.leader().await;
            let link = self.dial(&leader).await;
            let outcome = propose_to(&link, body.clone()).await;
            link.close();
            outcome.filter(|o| !matches!(o, outcome::Body::Unavailable(_)))
        })
        .await
    }

    pub async fn submit(&self, json: &Value, operator: &str) -> wire::proto::NoteOutcome {
        let note = note_command(json, operator);
        match self.propose(note).await {
            outcome::Body::Note(note) => note,
            other => panic!("unexpected outcome {other:?}"),
        }
    }

    pub async fn query(&self, body: query::Body) -> query_reply::Body {
        wait_for("an answer", async || {
            let leader = self.leader().await;
            let link = self.dial(&leader).await;
            let query = Body::Query(Query {
                body: Some(body.clone()),
            });
            let answer = link.call(query, WAIT_TIMEOUT).await;
            link.close();
            match answer {
                Ok(Body::QueryReply(reply)) => reply.body,
                _ => None,
            }
        })
        .await
    }
}

pub fn note_command(json: &Value, operator: &str) -> command::Body {
    command::Body::SubmitNote(SubmitNote {
        json: json.to_string().into(),
        operator: operator.to_owned(),
    })
}

/// Proposes a command once at one replica; `None` unless it answers with an outcome.
pub async fn propose_to(link: &Link, body: command::Body) -> Option<outcome::Body> {
    let command = Some(Command {
        now_ms: 0,
        body: Some(body),
    });
    let propose = Body::Propose(Propose { command });
    match link.call(propose, WAIT_TIMEOUT).await {
        Ok(Body::Outcome(outcome)) => outcome.body,
        _ => None,
    }
}

pub async fn dial(address: SocketAddr) -> Option<Link> {
    dial_as(address, Identity::new(Role::Entry, "test", 1)).await
}

pub async fn dial_as(address: SocketAddr, me: Identity) -> Option<Link> {
    let key = ClusterKey::from_bytes(b"0123456789abcdef").unwrap();
    let dialled = wire::dial(address, &me, &key, &LinkSettings::default()).await;
    let (link, mut rx) = dialled.ok()?;
    // Hints of new notes are not used here, but must not fill the queue.
    tokio::spawn(async move { while rx.recv().await.is_some() {} });
    Some(link)
}

/// Returns loopback addresses used by this cluster alone, for replicas and for relays,
/// so that the port of a stopped replica cannot be assigned to another process.
fn unique_hosts() -> (IpAddr, IpAddr) {
    const ADDRESS_RANGE: u32 = 250;
    static CLUSTERS: AtomicU8 = AtomicU8::new(0);
    let process = u8::try_from(std::process::id() % ADDRESS_RANGE).unwrap() + 1;
    let cluster = CLUSTERS.fetch_add(1, Ordering::Relaxed);
    let host = |last| IpAddr::V4(Ipv4Addr::new(127, process, cluster, last));
    (host(1), host(2))
}

async fn listen(address: SocketAddr) -> TcpListener {
    wait_for("a port", async || TcpListener::bind(address).await.ok()).await
}

/// Polls until there is a value; panics after [`WAIT_TIMEOUT`].
pub async fn wait_for<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
