//! Settings of an agent.

use std::net::SocketAddr;
use std::path::PathBuf;

use cfg::{Findings, Reader};
use serde_json::Value;

use crate::engine::TargetKind;
use crate::{Limits, MapSettings, Timing};

/// Settings of an agent, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the target, which is the agent's too.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Where it accepts links.
    pub listen: SocketAddr,
    /// Where others dial it, if that differs.
    pub advertise: Option<SocketAddr>,
    /// Where it serves health and metrics.
    pub http: SocketAddr,
    /// Link addresses of all control replicas.
    pub controls: Vec<SocketAddr>,
    /// File that holds the cluster key.
    pub cluster_key_file: PathBuf,
    /// Name of the group or service that the target serves.
    pub serves: String,
    /// What kind of target it is.
    pub kind: TargetKind,
    /// Where the target listens.
    pub target: SocketAddr,
    /// Times.
    pub timing: Timing,
    /// Bounds.
    pub limits: Limits,
    /// Expert maps.
    pub maps: MapSettings,
    effective: Value,
}

impl Settings {
    /// Reads settings from a JSON document.
    ///
    /// # Errors
    ///
    /// All findings at once, each with its place.
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
    /// assert_eq!(settings.serves, "blank-advisor");
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
        let serves = read_serves(&mut r);
        let timing = Timing::read(&mut r.section("timing"));
        let limits = Limits::read(&mut r.section("limits"));
        let maps = MapSettings::read(&mut r.section("maps"));
        if limits.window > limits.answer {
            r.finding("limits", "window_bytes must not exceed answer_bytes");
        }
        let effective = r.effective();
        r.finish()?;
        let settings = || {
            let (serves, kind, target) = serves?;
            Some(Settings {
                name: name?,
                zone: zone?,
                listen: listen?,
                advertise,
                http: http?,
                controls: controls?,
                cluster_key_file: key?,
                serves,
                kind,
                target,
                timing,
                limits,
                maps,
                effective,
            })
        };
        // Whatever is missing was a finding, so there is nothing else to tell.
        settings().ok_or_else(|| cfg::Finding::new("", "settings are incomplete").into())
    }

    /// What is in force, defaults included.
    #[must_use]
    pub fn effective(&self) -> Value {
        self.effective.clone()
    }
}

fn read_serves(r: &mut Reader) -> Option<(String, TargetKind, SocketAddr)> {
    let (key, section, kind) = match (r.has("group"), r.has("service")) {
        (true, false) => ("group", "engine", TargetKind::Engine),
        (false, true) => ("service", "target", TargetKind::Service),
        _ => {
            r.finding("group", "exactly one of group and service must be set");
            return None;
        }
    };
    let serves = r.required(key);
    let address = r.section(section).required("address");
    Some((serves?, kind, address?))
}
