//! All daemons and fake targets in one process, on loopback.

use super::call::send_request;
use super::{DEMO_KEY, DEMO_TOKEN};
use agent::Agent;
use control::Control;
use entry::Entry;
use eyre::{WrapErr, bail};
use fake::{Engine, EngineSettings, Service, ServiceSettings};
use serde_json::{Value, json};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Longest wait until all targets respond.
const STARTUP_TIMEOUT: Duration = Duration::from_mins(1);
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of targets to start, and their speed.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Number of engines in the model group.
    pub engines: u32,
    /// Number of targets of the plain service.
    pub services: u32,
    /// Step time of the engines.
    pub step_time: Duration,
}

impl Default for DeploymentSize {
    fn default() -> Self {
        DeploymentSize {
            engines: 2,
            services: 2,
            step_time: Duration::from_millis(20),
        }
    }
}

/// A running system on loopback.
pub struct Deployment {
    control: Control,
    entry: Entry,
    agents: Vec<Agent>,
    engines: Vec<Engine>,
    services: Vec<Service>,
    _temporary: Option<TempDir>,
}

impl Deployment {
    /// Starts all daemons, sends the first release note and waits until the targets
    /// respond.
    ///
    /// # Errors
    ///
    /// Fails when a daemon can't start or a target does not respond in time.
    pub async fn start(data: Option<PathBuf>, size: DeploymentSize) -> eyre::Result<Deployment> {
        let temporary = match data {
            Some(_) => None,
            None => Some(tempfile::tempdir()?),
        };
        let folder = match (&data, &temporary) {
            (Some(folder), _) => folder.clone(),
            (None, Some(temporary)) => temporary.path().to_path_buf(),
            (None, None) => bail!("no data folder"),
        };
        let files = SystemFiles::prepare(folder)?;
        let control = files.control().await?;
        let controls = [control.link_address()];
        let mut deployment = Deployment {
            entry: files.entry(&controls).await?,
            control,
            agents: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            _temporary: temporary,
        };
        for rank in 0..size.engines {
            deployment
                .add_engine(&files, &controls, rank, size.step_time)
                .await?;
        }
        for number in 0..size.services {
            deployment.add_service(&files, &controls, number).await?;
        }
        deployment.configure(size).await?;
        Ok(deployment)
    }

    /// HTTP address of the entry, for callers and operators.
    #[must_use]
    pub fn entry_address(&self) -> SocketAddr {
        self.entry.http_address()
    }

    /// Addresses of the fake services; `GET /seen` returns their request counts.
    #[must_use]
    pub fn service_addresses(&self) -> Vec<SocketAddr> {
        self.services.iter().map(Service::address).collect()
    }

    /// Requests received by the fake engines.
    #[must_use]
    pub fn engine_requests(&self) -> Vec<fake::RecordedRequest> {
        self.engines.iter().flat_map(Engine::requests).collect()
    }

    /// Number of requests that the services received with this idempotency key and path.
    #[must_use]
    pub fn service_call_count(&self, key: &str, path: &str) -> u64 {
        let counts = self
            .services
            .iter()
            .map(|service| service.request_count(key, path));
        counts.sum()
    }

    /// Shuts down the entry first, then the agents and control.
    pub async fn shutdown(self) {
        self.entry.shutdown().await;
        for agent in self.agents {
            agent.shutdown().await;
        }
        self.control.shutdown().await;
    }

    async fn add_engine(
        &mut self,
        files: &SystemFiles,
        controls: &[SocketAddr],
        rank: u32,
        step_time: Duration,
    ) -> eyre::Result<()> {
        let engine = Engine::start(EngineSettings {
            ranks: vec![rank],
            step_time,
            ..EngineSettings::default()
        })
        .await?;
        let name = engine_name(rank);
        let target = json!({
            "group": "blank-advisor",
            "engine": { "address": engine.address() },
        });
        self.agents
            .push(files.agent(&name, controls, target).await?);
        self.engines.push(engine);
        Ok(())
    }

    async fn add_service(
        &mut self,
        files: &SystemFiles,
        controls: &[SocketAddr],
        number: u32,
    ) -> eyre::Result<()> {
        let service = Service::start(ServiceSettings::default()).await?;
        let name = service_name(number);
        let target = json!({
            "service": "order-desk",
            "target": { "address": service.address() },
        });
        self.agents
            .push(files.agent(&name, controls, target).await?);
        self.services.push(service);
        Ok(())
    }

    /// Sends the first note until it is accepted, then waits until a service and an
    /// engine respond.
    async fn configure(&self, size: DeploymentSize) -> eyre::Result<()> {
        let bearer = format!("Bearer {DEMO_TOKEN}");
        let operator = [("authorization", bearer.as_str())];
        let note = initial_note(size).to_string();
        self.retry_until(200, "POST", "/v1/operator/notes", &operator, &note)
            .await?;
        let bearer = format!("Bearer {DEMO_KEY}");
        let caller = [("authorization", bearer.as_str())];
        self.retry_until(200, "GET", "/s/order-desk/stock", &caller, "")
            .await?;
        let chat = json!({"model": "burl-notes", "max_tokens": 1,
                          "messages": [{"role": "user", "content": "ready?"}]});
        let chat = chat.to_string();
        self.retry_until(200, "POST", "/v1/chat/completions", &caller, &chat)
            .await
    }

    async fn retry_until(
        &self,
        expected_status: u16,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> eyre::Result<()> {
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        loop {
            let reply =
                send_request(self.entry_address(), method, path, headers, body.to_owned()).await;
            match reply {
                Ok(reply) if reply.status == expected_status => return Ok(()),
                Ok(reply) if Instant::now() > deadline => {
                    bail!(
                        "{method} {path} still returns {}: {}",
                        reply.status,
                        reply.body
                    )
                }
                Err(err) if Instant::now() > deadline => return Err(err),
                _ => sleep(RETRY_DELAY).await,
            }
        }
    }
}

fn engine_name(rank: u32) -> String {
    format!("advisor-{:02}", rank + 1)
}

fn service_name(number: u32) -> String {
    format!("desk-{:02}", number + 1)
}

fn initial_note(size: DeploymentSize) -> Value {
    let digest = note::Digest::of(DEMO_KEY.as_bytes()).to_string();
    let mut added = vec![
        json!({"kind": "model", "name": "burl-notes", "versions": ["2026-11"], "adapters": ["spalted"]}),
        json!({"kind": "group", "name": "blank-advisor", "model": "burl-notes",
               "ranks": size.engines, "layers": 2, "experts": 8, "spare_slots": 1,
               "weights": {"skew": 1.0, "moves": 4.0}}),
        json!({"kind": "service", "name": "order-desk", "repeatable": ["GET", "HEAD"],
               "timeout_ms": 10000}),
        json!({"kind": "account", "name": "demo", "key_sha256": digest, "share": 1,
               "tokens_per_s": 1_000_000, "requests_per_s": 10000, "concurrent": 1000,
               "priority": 1}),
    ];
    for rank in 0..size.engines {
        added.push(json!({"kind": "target", "name": engine_name(rank), "group": "blank-advisor"}));
    }
    for number in 0..size.services {
        added
            .push(json!({"kind": "target", "name": service_name(number), "service": "order-desk"}));
    }
    json!({"number": 1, "added": added})
}

/// Data folder with the files shared by all daemons.
struct SystemFiles {
    folder: PathBuf,
}

impl SystemFiles {
    fn prepare(folder: PathBuf) -> eyre::Result<SystemFiles> {
        fs::create_dir_all(&folder).wrap_err_with(|| folder.display().to_string())?;
        let key = format!("{:032x}", rand::random::<u128>());
        write_if_absent(&folder.join("cluster.key"), &key)?;
        write_if_absent(&folder.join("operator.token"), DEMO_TOKEN)?;
        Ok(SystemFiles { folder })
    }

    fn common_settings(&self, name: &str) -> Value {
        json!({
            "name": name,
            "zone": "oberpfalz",
            "http": "127.0.0.1:0",
            "cluster_key_file": self.folder.join("cluster.key"),
        })
    }

    async fn control(&self) -> eyre::Result<Control> {
        let links = bind_loopback()?;
        let data = self.folder.join("control");
        let is_new = !data.exists();
        let mut settings = self.common_settings("control-1");
        settings["listen"] = json!(links.local_addr()?);
        settings["data"] = json!(data);
        settings["operator_token_file"] = json!(self.folder.join("operator.token"));
        settings["replicas"] = json!([{"name": "control-1", "address": links.local_addr()?}]);
        let settings = control::Settings::from_slice(&to_json(&settings)?)?;
        if is_new {
            control::init(&settings)?;
        }
        let http = bind_loopback()?.into();
        Control::start(settings, control::Listeners { links, http }).await
    }

    async fn entry(&self, controls: &[SocketAddr]) -> eyre::Result<Entry> {
        let mut settings = self.common_settings("entry-1");
        settings["controls"] = json!(controls);
        settings["operator_token_file"] = json!(self.folder.join("operator.token"));
        // No other process caches the address list, so shutdown need not wait for it to expire.
        settings["timing"] = json!({"address_ttl_ms": 0});
        let settings = entry::Settings::from_slice(&to_json(&settings)?)?;
        let http = bind_loopback()?;
        Entry::start(settings, entry::Listeners { http }).await
    }

    async fn agent(
        &self,
        name: &str,
        controls: &[SocketAddr],
        target: Value,
    ) -> eyre::Result<Agent> {
        let links = bind_loopback()?;
        let mut settings = self.common_settings(name);
        settings["listen"] = json!(links.local_addr()?);
        settings["controls"] = json!(controls);
        if let (Some(settings), Value::Object(target)) = (settings.as_object_mut(), target) {
            settings.extend(target);
        }
        let settings = agent::Settings::from_slice(&to_json(&settings)?)?;
        let http = bind_loopback()?;
        Agent::start(settings, agent::Listeners { links, http }).await
    }
}

fn bind_loopback() -> std::io::Result<TcpListener> {
    wire::listen((Ipv4Addr::LOCALHOST, 0).into())
}

fn to_json(settings: &Value) -> eyre::Result<Vec<u8>> {
    Ok(serde_json::to_vec(settings)?)
}

fn write_if_absent(path: &Path, text: &str) -> eyre::Result<()> {
    if path.exists() {
        return Ok(());
    }
    fs::write(path, text).wrap_err_with(|| path.display().to_string())
}
