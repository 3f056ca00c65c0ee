//! A zone of many nodes with one control replica.

use fake::Relay;
use node::{ControlAddresses, Follower, FollowerSettings};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::proto::NodeInfo;
use wire::{ClusterKey, Identity, LinkSettings, Role};

/// More nodes than renew directly, so that three of them are relays.
pub const NODES: usize = 40;
pub const LEASE: Duration = Duration::from_secs(6);
pub const RENEW: Duration = Duration::from_millis(500);
const MAX_WAIT: Duration = Duration::from_secs(90);

/// How a node handles messages that others send it for forwarding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Forwarding,
    Hanging,
    /// Delays each message for longer than its sender waits.
    Slow,
}

pub struct Node {
    pub name: String,
    pub follower: Follower,
    pub mode: watch::Sender<Mode>,
    pub proxy: Relay,
    _stop: DropGuard,
}

pub struct Zone {
    pub nodes: Vec<Node>,
    _control: control::Control,
    _folder: tempfile::TempDir,
}

pub fn key() -> ClusterKey {
    ClusterKey::from_bytes(b"key of the zone's cluster").unwrap()
}

pub async fn until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(Instant::now() < deadline, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn bind() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap()
}

pub async fn start_control() -> (control::Control, SocketAddr, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("key"), "key of the zone's cluster").unwrap();
    std::fs::write(folder.path().join("token"), "token of the operators").unwrap();
    let (links, http) = (bind().await, bind().await);
    let address = links.local_addr().unwrap();
    let settings = json!({
        "name": "control-1", "zone": "celje", "listen": address.to_string(),
        "http": http.local_addr().unwrap().to_string(),
        "data": folder.path().join("data"),
        "cluster_key_file": folder.path().join("key"),
        "operator_token_file": folder.path().join("token"),
        "replicas": [{"name": "control-1", "address": address.to_string()}],
        "timing": {"lease_ms": LEASE.as_millis()},
    });
    let settings = control::Settings::from_slice(settings.to_string().as_bytes()).unwrap();
    control::init(&settings).unwrap();
    let http = http.into();
    let listeners = control::Listeners { links, http };
    let control = control::Control::start(settings, listeners).await.unwrap();
    (control, address, folder)
}

impl Zone {
    /// Starts all nodes and waits until all except the three relays renew through a relay.
    pub async fn start() -> Zone {
        let (control, address, folder) = start_control().await;
        let mut nodes = Vec::new();
        for number in 0..NODES {
            nodes.push(Node::start(&format!("node-{number:02}"), address).await);
        }
        let zone = Zone {
            nodes,
            _control: control,
            _folder: folder,
        };
        until("all nodes use relays", || {
            let relayed = zone.nodes.iter().filter(|node| node.relay().is_some());
            (relayed.count() == NODES - 3).then_some(())
        })
        .await;
        zone
    }

    /// The index of the relay that most nodes renew through, and the names of those nodes.
    pub fn busiest_relay(&self) -> (usize, BTreeSet<String>) {
        let relayed_by = |name: &str| -> BTreeSet<String> {
            let through = self
                .nodes
                .iter()
                .filter(|n| n.relay().as_deref() == Some(name));
            through.map(|node| node.name.clone()).collect()
        };
        let all = self.nodes.iter().enumerate();
        let all = all.map(|(index, node)| (index, relayed_by(&node.name)));
        all.max_by_key(|(_, names)| names.len()).unwrap()
    }

    /// Watches the leases of all nodes except one.
    pub fn watch_leases_except(&self, excluded: usize) -> LeaseWatch {
        let nodes = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != excluded);
        let nodes: Vec<(String, Follower)> = nodes
            .map(|(_, node)| (node.name.clone(), node.follower.clone()))
            .collect();
        let lost: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        let (recorded, stop) = (Arc::clone(&lost), CancellationToken::new());
        tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
            loop {
                let now = Instant::now();
                for (name, follower) in &nodes {
                    if !follower.leased(now) {
                        recorded.lock().unwrap().insert(name.clone());
                    }
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }));
        LeaseWatch {
            lost,
            _stop: stop.drop_guard(),
        }
    }
}

/// Records the nodes that were without a lease at any time since its creation.
pub struct LeaseWatch {
    lost: Arc<Mutex<BTreeSet<String>>>,
    _stop: DropGuard,
}

impl LeaseWatch {
    pub fn assert_no_lease_lost(&self) {
        let lost = self.lost.lock().unwrap();
        assert!(lost.is_empty(), "without a lease: {lost:?}");
    }
}

impl Node {
    pub async fn start(name: &str, control: SocketAddr) -> Node {
        let listener = bind().await;
        let proxy = Relay::start().await.unwrap();
        proxy.set_target(control);
        let me = Identity::new(Role::Agent, name, u64::from(std::process::id()));
        let info = NodeInfo {
            role: Role::Agent.into(),
            name: name.to_owned(),
            incarnation: me.incarnation,
            zone: "celje".to_owned(),
            link_address: listener.local_addr().unwrap().to_string(),
            ..NodeInfo::default()
        };
        let cfg = FollowerSettings {
            controls: ControlAddresses::All(vec![proxy.address]),
            renew_interval: RENEW,
            key: key(),
            link: LinkSettings::default(),
        };
        let follower = Follower::spawn(me.clone(), info, cfg);
        let mode = watch::Sender::new(Mode::Forwarding);
        let stop = CancellationToken::new();
        let accepting = accept(
            listener,
            me,
            follower.clone(),
            mode.subscribe(),
            stop.clone(),
        );
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Node {
            name: name.to_owned(),
            follower,
            mode,
            proxy,
            _stop: stop.drop_guard(),
        }
    }

    pub fn relay(&self) -> Option<String> {
        self.follower.renewal_relay()
    }
}

async fn accept(
    listener: TcpListener,
    me: Identity,
    follower: Follower,
    mode: watch::Receiver<Mode>,
    stop: CancellationToken,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (me, follower, mode) = (me.clone(), follower.clone(), mode.clone());
        let serving = async move {
            let accepted = wire::accept(stream, &me, &key(), &LinkSettings::default()).await;
            let Ok((_link, mut rx)) = accepted else {
                return;
            };
            while let Some(incoming) = rx.recv().await {
                let now = *mode.borrow();
                let follower = follower.clone();
                match now {
                    Mode::Forwarding => follower.relay(incoming),
                    Mode::Hanging => {}
                    Mode::Slow => {
                        tokio::spawn(async move {
                            tokio::time::sleep(RENEW * 2).await;
                            follower.relay(incoming);
                        });
                    }
                }
            }
        };
        tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
    }
}
