//! Settings of an entry.

use std::net::SocketAddr;
use std::path::PathBuf;

use cfg::{Findings, Reader};
use serde_json::Value;

use crate::{Limits, Timing};

/// Settings of an entry, read from JSON and checked.
///
/// ```
/// let json = br#"{
///     "name": "entry-1", "zone": "celje", "http": "127.0.0.1:8080",
///     "controls": ["127.0.0.1:7001"], "cluster_key_file": "cluster.key"
/// }"#;
/// let settings = entry::Settings::from_slice(json)?;
/// assert_eq!(settings.zone, "celje");
/// assert_eq!(settings.advertise, settings.http);
/// # Ok::<(), cfg::Findings>(())
/// ```
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry, unique among all nodes.
    pub name: String,
    /// Availability zone of the entry.
    pub zone: String,
    /// Listen address for callers and operators.
    pub http: SocketAddr,
    /// Address that is announced to callers.
    pub advertise: SocketAddr,
    /// Link addresses of the control replicas.
    pub controls: Vec<SocketAddr>,
    /// File that contains the cluster key.
    pub cluster_key_file: PathBuf,
    /// File that contains the operators' token; without it, operator requests are
    /// refused.
    pub operator_token_file: Option<PathBuf>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Limits.
    pub limits: Limits,
    effective: Value,
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns all findings at once, each with its JSON path.
    pub fn from_slice(json: &[u8]) -> Result<Settings, Findings> {
        let mut r = Reader::from_slice(json)?;
        let name = r.required("name");
        let zone = r.required("zone");
        let http = r.required("http");
        let advertise = r.optional("advertise");
        let controls: Vec<SocketAddr> = r.or("controls", Vec::new());
        if controls.is_empty() {
            r.finding("controls", "must name at least one control replica");
        }
        let cluster_key_file = r.required("cluster_key_file");
        let operator_token_file = r.optional("operator_token_file");
        let timing = Timing::read(&mut r.section("timing"));
        let limits = Limits::read(&mut r.section("limits"));
        let effective = r.effective();
        r.finish()?;
        let missing = || cfg::Finding::new("", "missing");
        let http = http.ok_or_else(missing)?;
        Ok(Settings {
            name: name.ok_or_else(missing)?,
            zone: zone.ok_or_else(missing)?,
            http,
            advertise: advertise.unwrap_or(http),
            controls,
            cluster_key_file: cluster_key_file.ok_or_else(missing)?,
            operator_token_file,
            timing,
            limits,
            effective,
        })
    }

    /// Settings in force, including defaults.
    #[must_use]
    pub fn effective(&self) -> Value {
        self.effective.clone()
    }
}
