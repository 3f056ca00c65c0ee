//! Settings of a replica.

use crate::Timing;
use crate::forming::Forming;
use crate::machine::MOST_UNPROVED;
use cfg::{Findings, Reader};
use std::net::SocketAddr;
use std::path::PathBuf;
use wire::proto::LedgerLimits;

const MOST_REPLICAS: usize = 9;

/// Name and address of a replica, as the settings list it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// Its name.
    pub name: String,
    /// Where its links are accepted.
    pub address: SocketAddr,
}

/// Settings of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this replica; it outlives its disk.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Where links are accepted.
    pub listen: SocketAddr,
    /// Where others dial, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Where operators' HTTP is served.
    pub http: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
    /// File with the cluster key.
    pub cluster_key_file: PathBuf,
    /// File with the operators' token.
    pub operator_token_file: PathBuf,
    /// All replicas, this one included; with `forming` none are listed.
    pub replicas: Vec<ReplicaAddress>,
    /// How the replicas find each other where no list of them is known.
    pub forming: Option<Forming>,
    /// Entries applied between two snapshots.
    pub snapshot_entries: u64,
    /// Times.
    pub timing: Timing,
    /// Bounds of the ledger, the same on every replica of a cluster.
    pub ledger: LedgerLimits,
    /// What is in force, defaults included.
    pub effective: serde_json::Value,
}

impl Settings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// All findings at once.
    ///
    /// ```
    /// let findings = control::Settings::from_slice(b"{}").unwrap_err();
    /// assert!(findings.to_string().contains("missing at name"));
    /// ```
    pub fn from_slice(json: &[u8]) -> Result<Settings, Findings> {
        const SNAPSHOT_ENTRIES: u64 = 10_000;
        let mut r = Reader::from_slice(json)?;
        let name: Option<String> = r.required("name");
        let zone: Option<String> = r.required("zone");
        let listen: Option<SocketAddr> = r.required("listen");
        let advertise = r.optional("advertise");
        let http: Option<SocketAddr> = r.required("http");
        let data: Option<PathBuf> = r.required("data");
        let cluster_key_file: Option<PathBuf> = r.required("cluster_key_file");
        let operator_token_file: Option<PathBuf> = r.required("operator_token_file");
        let formed = r.has("forming");
        let forming = formed.then(|| Forming::read(r.section("forming")));
        let replicas = match &forming {
            None => read_replicas(&mut r, name.as_deref()),
            Some(_) => Vec::new(),
        };
        let snapshot_entries = r.within("snapshot_entries", SNAPSHOT_ENTRIES, 1..=u64::MAX);
        let timing = Timing::read(r.section("timing"));
        let ledger = read_ledger(&mut r.section("ledger"));
        let effective = r.effective();
        r.finish()?;
        let given = (name, zone, listen, http, data);
        let files = (cluster_key_file, operator_token_file);
        let (
            (Some(name), Some(zone), Some(listen), Some(http), Some(data)),
            (Some(key), Some(token)),
        ) = (given, files)
        else {
            return Err(cfg::Finding::new("", "incomplete").into());
        };
        Ok(Settings {
            name,
            zone,
            listen,
            advertise,
            http,
            data,
            cluster_key_file: key,
            operator_token_file: token,
            replicas,
            forming,
            snapshot_entries,
            timing,
            ledger,
            effective,
        })
    }
}

impl Settings {
    /// Where other processes dial this replica.
    pub(crate) fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

fn read_ledger(r: &mut Reader) -> LedgerLimits {
    const LONGEST_MS: u64 = 365 * 24 * 60 * 60 * 1000;
    let default = ledger::Limits::default();
    LedgerLimits {
        running_ms: r.within("running_ms", default.running_ms, 100..=LONGEST_MS),
        keep_ms: r.within("keep_ms", default.keep_ms, 100..=LONGEST_MS),
        max_unproved: r.within("unproved", default.max_unproved as u64, 1..=MOST_UNPROVED),
    }
}

fn read_replicas(r: &mut Reader, own: Option<&str>) -> Vec<ReplicaAddress> {
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
    if replicas.len() > MOST_REPLICAS {
        r.finding("replicas", "must be 9 at most");
    }
    let listed = |own: &str| replicas.iter().any(|other| other.name == own);
    if own.is_some_and(|own| !listed(own)) {
        r.finding("replicas", "must list this replica as well");
    }
    replicas
}
