//! A fake control, a test client that acts as an entry, and an agent between them.
#![allow(dead_code, reason = "each test file uses its part")]

mod fake_control;
mod tcp_proxy;
mod test_entry;

pub use fake_control::FakeControl;
pub use tcp_proxy::TcpProxy;
pub use test_entry::TestEntry;

use std::time::Duration;

use agent::{Agent, Listeners, Settings};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use wire::ClusterKey;
use wire::proto::Start;

pub const GROUP: &str = "blank-advisor";
pub const SERVICE: &str = "order-desk";

/// How long a test waits for a condition before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

pub fn key() -> ClusterKey {
    ClusterKey::from_bytes(b"a cluster key for tests").unwrap()
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !holds().await {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        sleep(Duration::from_millis(5)).await;
    }
}

/// A fake control and an agent in front of a target.
pub struct Fixture {
    pub control: FakeControl,
    pub agent: Agent,
    _folder: tempfile::TempDir,
}

impl Fixture {
    /// A ready agent in front of an engine.
    pub async fn engine(engine: &fake::Engine, timing: Value) -> Self {
        let target = json!({"group": GROUP, "engine": {"address": engine.address().to_string()}});
        Fixture::start("advisor-01", target, timing).await
    }

    /// A ready agent that reaches its engine through a proxy.
    pub async fn engine_via_proxy(proxy: &TcpProxy) -> Self {
        let target = json!({"group": GROUP, "engine": {"address": proxy.address.to_string()}});
        Fixture::start("advisor-01", target, json!({})).await
    }

    /// A ready agent in front of a plain service.
    pub async fn service(service: &fake::Service, timing: Value) -> Self {
        Fixture::service_at(service.address(), timing).await
    }

    /// A ready agent in front of a plain service at an address.
    pub async fn service_at(address: std::net::SocketAddr, timing: Value) -> Self {
        let target = json!({"service": SERVICE, "target": {"address": address.to_string()}});
        Fixture::start("desk-01", target, timing).await
    }

    /// A ready agent in front of an engine, with leases of this length.
    pub async fn engine_leased(engine: &fake::Engine, lease_ms: u32) -> Self {
        let target = json!({"group": GROUP, "engine": {"address": engine.address().to_string()}});
        let control = FakeControl::start().await;
        control.set_lease(lease_ms);
        Fixture::under(control, "advisor-01", target, json!({})).await
    }

    async fn start(name: &str, target: Value, more: Value) -> Self {
        Fixture::under(FakeControl::start().await, name, target, more).await
    }

    /// A ready agent of this name under a shared control.
    pub async fn join(
        control: &FakeControl,
        name: &str,
        engine: &fake::Engine,
        more: Value,
    ) -> Self {
        let target = json!({"group": GROUP, "engine": {"address": engine.address().to_string()}});
        Fixture::under(control.clone(), name, target, more).await
    }

    async fn under(control: FakeControl, name: &str, target: Value, more: Value) -> Self {
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
        let fixture = Fixture {
            control,
            agent,
            _folder: folder,
        };
        fixture.ready().await;
        fixture
    }

    /// Waits until the agent has a release note, a lease and a healthy target.
    pub async fn ready(&self) {
        wait_until("the agent is ready", async || {
            page(self.agent.http_address(), "/readyz")
                .await
                .starts_with("HTTP/1.1 200")
                && self.control.renewals() > 1
        })
        .await;
    }

    pub async fn connect_entry(&self) -> TestEntry {
        TestEntry::dial(self.agent.link_address()).await
    }

    /// A start of a streamed model request.
    pub fn chat(&self, attempt: u128, tokens: u64) -> Start {
        let body = json!({"model": "burl-notes", "stream": true, "max_tokens": tokens,
            "attempt": attempt.to_string()});
        Start {
            attempt: id(attempt),
            request: format!("request-{attempt}").into(),
            incarnation: self.agent.incarnation(),
            note: self.control.newest_note(),
            group: GROUP.into(),
            model: "burl-notes".into(),
            deadline_ms: 60_000,
            body: body.to_string().into(),
            fingerprint: vec![attempt.to_be_bytes()[15]; 32].into(),
            ..Start::default()
        }
    }

    /// A start of a reservation, which must not be repeated.
    pub fn reservation(&self, attempt: u128, lot: &str) -> Start {
        let header = wire::proto::Header {
            name: "idempotency-key".into(),
            value: lot.to_owned().into(),
        };
        Start {
            attempt: id(attempt),
            request: format!("request-{attempt}").into(),
            incarnation: self.agent.incarnation(),
            note: self.control.newest_note(),
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

/// Fetches a page, including the response head.
pub async fn page(address: std::net::SocketAddr, path: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let ask = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(ask.as_bytes()).await.unwrap();
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text).await;
    String::from_utf8_lossy(&text).into_owned()
}
