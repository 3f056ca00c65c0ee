//! A small stand-in for control, one for an entry, and an agent between them.
#![allow(dead_code, reason = "each test file uses its part")]

mod caller;
mod control;
mod relay;

pub use caller::Caller;
pub use control::Control;
pub use relay::Relay;

use std::time::Duration;

use agent::{Agent, Listeners, Settings};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use wire::ClusterKey;
use wire::proto::Start;

pub const GROUP: &str = "blank-advisor";
pub const SERVICE: &str = "order-desk";

/// How long a condition is waited for before a test fails.
const PATIENCE: Duration = Duration::from_mins(1);

pub fn key() -> ClusterKey {
    ClusterKey::from_bytes(b"a cluster key for tests").unwrap()
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < PATIENCE, "waited in vain until {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// A control, and an agent before a target.
pub struct Bench {
    pub control: Control,
    pub agent: Agent,
    _folder: tempfile::TempDir,
}

impl Bench {
    /// An agent before an engine, taking work.
    pub async fn engine(engine: &fake::Engine, timing: Value) -> Self {
        let target = json!({"group": GROUP, "engine": {"address": engine.address().to_string()}});
        Bench::start("advisor-01", target, timing).await
    }

    /// An agent before an engine that is reached through a relay.
    pub async fn relayed(relay: &Relay) -> Self {
        let target = json!({"group": GROUP, "engine": {"address": relay.address.to_string()}});
        Bench::start("advisor-01", target, json!({})).await
    }

    /// An agent before a plain service, taking work.
    pub async fn service(service: &fake::Service, timing: Value) -> Self {
        let target =
            json!({"service": SERVICE, "target": {"address": service.address().to_string()}});
        Bench::start("desk-01", target, timing).await
    }

    /// An agent before an engine, with leases of this length.
    pub async fn engine_leased(engine: &fake::Engine, lease_ms: u32) -> Self {
        let target = json!({"group": GROUP, "engine": {"address": engine.address().to_string()}});
        let control = Control::start().await;
        control.lease(lease_ms);
        Bench::under(control, "advisor-01", target, json!({})).await
    }

    async fn start(name: &str, target: Value, more: Value) -> Self {
        Bench::under(Control::start().await, name, target, more).await
    }

    /// An agent of this name under a control that others share.
    pub async fn join(control: &Control, name: &str, engine: &fake::Engine, more: Value) -> Self {
        let target = json!({"group": GROUP, "engine": {"address": engine.address().to_string()}});
        Bench::under(control.clone(), name, target, more).await
    }

    async fn under(control: Control, name: &str, target: Value, more: Value) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let key_file = folder.path().join("cluster.key");
        std::fs::write(&key_file, b"a cluster key for tests").unwrap();
        let mut settings = json!({
            "name": name,
            "zone": "franken",
            "listen": "127.0.0.1:0",
            "http": "127.0.0.1:0",
            "controls": [control.address().to_string()],
            "cluster_key_file": key_file,
            "timing": {"poll_ms": 20, "renew_ms": 50},
        });
        merge(&mut settings, target);
        merge(&mut settings, more);
        let settings = Settings::from_slice(settings.to_string().as_bytes()).unwrap();
        let listeners = Listeners {
            links: TcpListener::bind(settings.listen).await.unwrap(),
            http: TcpListener::bind(settings.http).await.unwrap(),
        };
        let agent = Agent::start(settings, listeners).await.unwrap();
        let bench = Bench {
            control,
            agent,
            _folder: folder,
        };
        bench.ready().await;
        bench
    }

    /// Waits until the agent has note, lease and target.
    pub async fn ready(&self) {
        until("the agent is ready", async || {
            page(self.agent.http_address(), "/readyz")
                .await
                .starts_with("HTTP/1.1 200")
                && self.control.renewals() > 1
        })
        .await;
    }

    pub async fn caller(&self) -> Caller {
        Caller::dial(self.agent.link_address()).await
    }

    /// A streamed model request.
    pub fn chat(&self, attempt: u128, tokens: u64) -> Start {
        let body = json!({"model": "burl-notes", "stream": true, "max_tokens": tokens,
            "attempt": attempt.to_string()});
        Start {
            attempt: id(attempt),
            request: format!("request-{attempt}").into(),
            incarnation: self.agent.incarnation(),
            note: self.control.note(),
            group: GROUP.into(),
            model: "burl-notes".into(),
            deadline_ms: 60_000,
            body: body.to_string().into(),
            fingerprint: vec![attempt.to_be_bytes()[15]; 32].into(),
            ..Start::default()
        }
    }

    /// A reservation, which may not be repeated.
    pub fn reservation(&self, attempt: u128, lot: &str) -> Start {
        let header = wire::proto::Header {
            name: "idempotency-key".into(),
            value: lot.to_owned().into(),
        };
        Start {
            attempt: id(attempt),
            request: format!("request-{attempt}").into(),
            incarnation: self.agent.incarnation(),
            note: self.control.note(),
            service: SERVICE.into(),
            deadline_ms: 60_000,
            method: "POST".into(),
            path: "/lots".into(),
            headers: vec![header],
            body: lot.to_owned().into(),
            keep: true,
            ..Start::default()
        }
    }
}

pub fn id(attempt: u128) -> bytes::Bytes {
    attempt.to_be_bytes().to_vec().into()
}

fn merge(into: &mut Value, more: Value) {
    match (into, more) {
        (Value::Object(into), Value::Object(more)) => {
            for (key, value) in more {
                merge(into.entry(key).or_insert(Value::Null), value);
            }
        }
        (into, more) => *into = more,
    }
}

/// Fetches a page, head and all.
pub async fn page(address: std::net::SocketAddr, path: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let ask = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(ask.as_bytes()).await.unwrap();
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text).await;
    String::from_utf8_lossy(&text).into_owned()
}
