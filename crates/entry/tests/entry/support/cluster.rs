//! The test cluster.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::net::TcpListener;
use wire::ClusterKey;

use super::Caller;

pub const KEY: &str = "demo-key-of-huber";
const TOKEN: &str = "operators-token-of-the-tests";
const TIMEOUT: Duration = Duration::from_secs(30);

pub struct Cluster {
    dir: tempfile::TempDir,
    pub control: control::Control,
    pub agents: Vec<agent::Agent>,
    notes: u64,
}

/// Polls `check` until it returns a value.
pub async fn eventually<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(
            started.elapsed() < TIMEOUT,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

impl Cluster {
    pub async fn start() -> Cluster {
        let dir = tempfile::tempdir().unwrap();
        std::fs::write(dir.path().join("cluster.key"), "0123456789abcdef").unwrap();
        std::fs::write(dir.path().join("token"), TOKEN).unwrap();
        let (links, http) = (bind().await, bind().await);
        let settings = json!({
            "name": "control-1", "zone": "celje",
            "listen": links.local_addr().unwrap().to_string(),
            "http": http.local_addr().unwrap().to_string(),
            "data": dir.path().join("control-1"),
            "cluster_key_file": dir.path().join("cluster.key"),
            "operator_token_file": dir.path().join("token"),
            "replicas": [{"name": "control-1", "address": links.local_addr().unwrap().to_string()}],
            "timing": {"heartbeat_ms": 50, "election_ms": 300, "lease_ms": 2000},
        });
        let settings = control::Settings::from_slice(settings.to_string().as_bytes()).unwrap();
        control::init(&settings).unwrap();
        let listeners = control::Listeners {
            links,
            http: http.into(),
        };
        let control = control::Control::start(settings, listeners).await.unwrap();
        Cluster {
            dir,
            control,
            agents: Vec::new(),
            notes: 0,
        }
    }

    pub fn key(&self) -> ClusterKey {
        ClusterKey::from_file(&self.key_file()).unwrap()
    }

    fn key_file(&self) -> PathBuf {
        self.dir.path().join("cluster.key")
    }

    /// Submits a release note with the next number and waits until it is accepted.
    pub async fn submit_note(&mut self, added: &Value, withdrawn: &Value) {
        self.submit(added, &json!([]), withdrawn).await;
    }

    /// Submits a release note that changes items.
    pub async fn submit_changes(&mut self, changed: &Value) {
        self.submit(&json!([]), changed, &json!([])).await;
    }

    async fn submit(&mut self, added: &Value, changed: &Value, withdrawn: &Value) {
        self.notes += 1;
        let note = json!({"number": self.notes, "added": added, "changed": changed,
            "withdrawn": withdrawn});
        let caller = Caller::new(self.control.http_address(), TOKEN);
        eventually("the note is accepted", async || {
            let reply = caller
                .post("/v1/operator/notes", &[], note.to_string())
                .await;
            (reply.status == 200).then_some(())
        })
        .await;
    }

    /// Submits the first release note: a model, a service, an account and the named
    /// targets.
    pub async fn offer(&mut self, groups: &[&str], services: &[&str]) {
        let digest = sha256_hex(KEY.as_bytes());
        let mut added = vec![
            json!({"kind": "model", "name": "burl-notes", "versions": ["2026-11"], "adapters": ["spalted"]}),
            json!({"kind": "group", "name": "blank-advisor", "model": "burl-notes", "ranks": 1, "layers": 2, "experts": 4, "spare_slots": 1}),
            json!({"kind": "service", "name": "order-desk", "repeatable": ["GET", "HEAD"], "timeout_ms": 20000}),
            json!({"kind": "account", "name": "saegewerk-huber", "key_sha256": digest, "share": 1,
                "tokens_per_s": 1_000_000, "requests_per_s": 10_000, "concurrent": 1000, "priority": 1}),
        ];
        let targets = groups
            .iter()
            .map(|name| json!({"kind": "target", "name": name, "group": "blank-advisor"}));
        added.extend(targets);
        let targets = services
            .iter()
            .map(|name| json!({"kind": "target", "name": name, "service": "order-desk"}));
        added.extend(targets);
        self.submit_note(&json!(added), &json!([])).await;
    }

    /// Starts a real agent for an engine or a service.
    pub async fn start_agent(&mut self, name: &str, service: &str, target: SocketAddr) -> usize {
        let (links, http) = (bind().await, bind().await);
        let mut settings = json!({
            "name": name, "zone": "celje",
            "listen": links.local_addr().unwrap().to_string(),
            "http": http.local_addr().unwrap().to_string(),
            "controls": [self.control.link_address().to_string()],
            "cluster_key_file": self.key_file(),
        });
        let target = json!({"address": target.to_string()});
        if service.is_empty() {
            settings["group"] = json!("blank-advisor");
            settings["engine"] = target;
        } else {
            settings["service"] = json!(service);
            settings["target"] = target;
        }
        let settings = agent::Settings::from_slice(settings.to_string().as_bytes()).unwrap();
        let listeners = agent::Listeners { links, http };
        let agent = agent::Agent::start(settings, listeners).await.unwrap();
        self.agents.push(agent);
        self.agents.len() - 1
    }

    /// Starts an entry; `timing` and `limits` override defaults.
    pub async fn start_entry(&self, name: &str, timing: Value, limits: Value) -> entry::Entry {
        let control = self.control.link_address();
        self.start_entry_with_control(name, control, timing, limits)
            .await
    }

    /// Starts an entry that connects to control at the given address.
    pub async fn start_entry_with_control(
        &self,
        name: &str,
        control: SocketAddr,
        timing: Value,
        limits: Value,
    ) -> entry::Entry {
        let http = bind().await;
        let settings = json!({
            "name": name, "zone": "celje",
            "http": http.local_addr().unwrap().to_string(),
            "controls": [control.to_string()],
            "cluster_key_file": self.key_file(),
            "operator_token_file": self.dir.path().join("token"),
            "timing": timing, "limits": limits,
        });
        let settings = entry::Settings::from_slice(settings.to_string().as_bytes()).unwrap();
        entry::Entry::start(settings, entry::Listeners { http })
            .await
            .unwrap()
    }

    /// Starts an entry with default settings, waits until it is ready and returns it
    /// with a caller.
    pub async fn start_ready_entry(&self, name: &str) -> (entry::Entry, Caller) {
        let entry = self.start_entry(name, json!({}), json!({})).await;
        let caller = Caller::new(entry.http_address(), KEY);
        caller.until_ready().await;
        (entry, caller)
    }
}

pub fn sha256_hex(bytes: &[u8]) -> String {
    use sha2::{Digest, Sha256};
    use std::fmt::Write;
    let mut text = String::new();
    for byte in Sha256::digest(bytes) {
        write!(text, "{byte:02x}").unwrap();
    }
    text
}
