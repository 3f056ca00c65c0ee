//! Settings of a replica.

use crate::Timing;
use crate::cluster_formation::ClusterFormation;
use crate::state_machine::MAX_UNPROVED;
use cfg::{Findings, Reader};
use std::net::SocketAddr;
use std::path::PathBuf;
use wire::proto::LedgerLimits;

const MAX_REPLICAS: usize = 9;

/// Name and address of a replica, as listed in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// Name of the replica.
    pub name: String,
    /// Address that it accepts links on.
    pub address: SocketAddr,
}

/// Settings of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this replica; it stays the same when the disk is replaced.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// All availability zones; empty if they aren't listed.
    pub zones: Vec<String>,
    /// Address to accept links on.
    pub listen: SocketAddr,
    /// Address that other processes dial, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Address of the operators' HTTP server.
    pub http: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
    /// File with the cluster key.
    pub cluster_key_file: PathBuf,
    /// File with the operators' token.
    pub operator_token_file: PathBuf,
    /// All replicas, including this one; empty if `forming` is set.
    pub replicas: Vec<ReplicaAddress>,
    /// How the replicas discover each other if they are not listed.
    pub forming: Option<ClusterFormation>,
    /// Number of log entries applied between two snapshots.
    pub snapshot_entries: u64,
    /// Size of the log entries applied between two snapshots, in bytes, if the last
    /// snapshot is smaller.
    pub snapshot_bytes: u64,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Limits of the ledger, the same on every replica of a cluster.
    pub ledger: LedgerLimits,
    /// Effective settings, including defaults.
    pub effective: serde_json::Value,
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid, and reports all findings at once.
    ///
    /// ```
    /// let findings = control::Settings::from_slice(b"{}").unwrap_err();
    /// assert!(findings.to_string().contains("missing at name"));
    /// ```
    pub fn from_slice(json: &[u8]) -> Result<Settings, Findings> {
        const SNAPSHOT_ENTRIES: u64 = 10_000;
        const SNAPSHOT_BYTES: u64 = 8 << 20;
        let mut r = Reader::from_slice(json)?;
        let name: Option<String> = r.required("name");
        let zone: Option<String> = r.required("zone");
        let zones: Vec<String> = r.or("zones", Vec::new());
        let listen: Option<SocketAddr> = r.required("listen");
        let advertise = r.optional("advertise");
        let http: Option<SocketAddr> = r.required("http");
        let data: Option<PathBuf> = r.required("data");
        let cluster_key_file: Option<PathBuf> = r.required("cluster_key_file");
        let operator_token_file: Option<PathBuf> = r.required("operator_token_file");
        let has_forming = r.has("forming");
        let forming = has_forming.then(|| ClusterFormation::read(r.section("forming")));
        let replicas = match &forming {
            None => read_replicas(&mut r, name.as_deref()),
            Some(_) => Vec::new(),
        };
        let snapshot_entries = r.within("snapshot_entries", SNAPSHOT_ENTRIES, 1..=u64::MAX);
        let snapshot_bytes = r.within("snapshot_bytes", SNAPSHOT_BYTES, 1..=u64::MAX);
        let timing = Timing::read(r.section("timing"));
        let ledger = read_ledger(&mut r.section("ledger"));
        let effective = r.effective();
        r.finish()?;
        let values = (name, zone, listen, http, data);
        let files = (cluster_key_file, operator_token_file);
        let (
            (Some(name), Some(zone), Some(listen), Some(http), Some(data)),
            (Some(key), Some(token)),
        ) = (values, files)
        else {
            return Err(cfg::Finding::new("", "incomplete").into());
        };
        Ok(Settings {
            name,
            zone,
            zones,
            listen,
            advertise,
            http,
            data,
            cluster_key_file: key,
            operator_token_file: token,
            replicas,
            forming,
            snapshot_entries,
            snapshot_bytes,
            timing,
            ledger,
            effective,
        })
    }
}

impl Settings {
    /// Whether there is such an availability zone, as far as the settings tell.
    pub(crate) fn may_have_zone(&self, zone: &str) -> bool {
        self.zones.is_empty() || self.zones.iter().any(|known| known == zone)
    }

    /// Address at which other processes dial this replica.
    pub(crate) fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

fn read_ledger(r: &mut Reader) -> LedgerLimits {
    const MAX_MS: u64 = 365 * 24 * 60 * 60 * 1000;
    let default = ledger::Limits::default();
    LedgerLimits {
        running_ms: r.within("running_ms", default.running_ms, 100..=MAX_MS),
        keep_ms: r.within("keep_ms", default.keep_ms, 100..=MAX_MS),
        max_unproved: r.within("unproved", default.max_unproved as u64, 1..=MAX_UNPROVED),
    }
}

fn read_replicas(r: &mut Reader, own_name: Option<&str>) -> Vec<ReplicaAddress> {
    let mut replicas: Vec<ReplicaAddress> = Vec::new();
    for mut row in r.sections("replicas") {
        let name: Option<String> = row.required("name");
        let address: Option<SocketAddr> = row.required("address");
        let (Some(name), Some(address)) = (name, address) else {
            continue;
        };
        if replicas.iter().any(|other| other.name == name) {
            row.finding("name", "another replica has this name");
        }
        replicas.push(ReplicaAddress { name, address });
    }
    if replicas.len() > MAX_REPLICAS {
        r.finding("replicas", "must be 9 at most");
    }
    let is_listed = |name: &str| replicas.iter().any(|replica| replica.name == name);
    if own_name.is_some_and(|name| !is_listed(name)) {
        r.finding("replicas", "must list this replica as well");
    }
    replicas
}
