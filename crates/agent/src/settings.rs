//! Settings of an agent.

use std::net::SocketAddr;
use std::path::PathBuf;

use cfg::{Findings, Reader};
use serde_json::Value;

use crate::engine::TargetKind;
use crate::{Limits, MapSettings, Timing};

/// Validated settings of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the target and of its agent.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address on which links are accepted.
    pub listen: SocketAddr,
    /// Address that other nodes dial, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Address of the health and metrics endpoints.
    pub http: SocketAddr,
    /// Link addresses of all control replicas.
    pub controls: Vec<SocketAddr>,
    /// File that holds the cluster key.
    pub cluster_key_file: PathBuf,
    /// Name of the group or service to which the target belongs.
    pub group_or_service: String,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Address of the target.
    pub target_address: SocketAddr,
    /// Intervals, timeouts and retention times.
    pub timing: Timing,
    /// Limits.
    pub limits: Limits,
    /// Settings of expert maps.
    pub maps: MapSettings,
    effective: Value,
}

impl Settings {
    /// Reads settings from a JSON document.
    ///
    /// # Errors
    ///
    /// All findings at once, each with its location in the document.
    ///
    /// ```
    /// let settings = agent::Settings::from_slice(
    ///     br#"{
    ///         "name": "advisor-01", "zone": "franken",
    ///         "listen": "127.0.0.1:0", "http": "127.0.0.1:0",
    ///         "controls": ["127.0.0.1:7001"], "cluster_key_file": "cluster.key",
    ///         "group": "blank-advisor", "engine": {"address": "127.0.0.1:8000"}
    ///     }"#,
    /// )?;
    /// assert_eq!(settings.group_or_service, "blank-advisor");
    /// # Ok::<(), cfg::Findings>(())
    /// ```
    pub fn from_slice(json: &[u8]) -> Result<Self, Findings> {
        let mut r = Reader::from_slice(json)?;
        let name: Option<String> = r.required("name");
        let zone: Option<String> = r.required("zone");
        let listen = r.required("listen");
        let advertise = r.optional("advertise");
        let http = r.required("http");
        let controls: Option<Vec<SocketAddr>> = r.required("controls");
        if controls.as_ref().is_some_and(Vec::is_empty) {
            r.finding("controls", "must name at least one control replica");
        }
        let key: Option<PathBuf> = r.required("cluster_key_file");
        let target = read_target(&mut r);
        let timing = Timing::read(&mut r.section("timing"));
        let limits = Limits::read(&mut r.section("limits"));
        let maps = MapSettings::read(&mut r.section("maps"));
        if limits.window_bytes > limits.answer_bytes {
            r.finding("limits", "window_bytes must not exceed answer_bytes");
        }
        let effective = r.effective();
        r.finish()?;
        let settings = || {
            let (group_or_service, kind, target_address) = target?;
            Some(Settings {
                name: name?,
                zone: zone?,
                listen: listen?,
                advertise,
                http: http?,
                controls: controls?,
                cluster_key_file: key?,
                group_or_service,
                kind,
                target_address,
                timing,
                limits,
                maps,
                effective,
            })
        };
        // Not reached: every missing setting has been reported as a finding.
        settings().ok_or_else(|| cfg::Finding::new("", "settings are incomplete").into())
    }

    /// The effective settings, including defaults.
    #[must_use]
    pub fn effective(&self) -> Value {
        self.effective.clone()
    }
}

fn read_target(r: &mut Reader) -> Option<(String, TargetKind, SocketAddr)> {
    let (key, section, kind) = match (r.has("group"), r.has("service")) {
        (true, false) => ("group", "engine", TargetKind::Engine),
        (false, true) => ("service", "target", TargetKind::Service),
        _ => {
            r.finding("group", "exactly one of group and service must be set");
            return None;
        }
    };
    let group_or_service = r.required(key);
    let address = r.section(section).required("address");
    Some((group_or_service?, kind, address?))
}
