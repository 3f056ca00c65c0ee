//! `GET /v1/addresses`: the entries that a caller may use.

use admin::{Response, json};
use hyper::StatusCode;
use serde_json::json;
use wire::proto::{MemberView, NodeInfo, Role};

use crate::Settings;

/// Lists the active entries, those of the caller's availability zone first. The `zone`
/// parameter of `query` names that zone; the default is the zone of this entry.
pub(super) fn response(settings: &Settings, view: &MemberView, query: Option<&str>) -> Response {
    let zone = query.and_then(zone_parameter);
    let zone = zone.unwrap_or(&settings.zone);
    let is_entry = |node: &&NodeInfo| node.role() == Role::Entry && !node.leaving;
    let entries = view.nodes.iter().filter(is_entry);
    let entries = entries.filter(|node| !node.caller_address.is_empty());
    let mut entries: Vec<&NodeInfo> = entries.collect();
    let seed = rand::random::<u64>();
    let distance = |node: &&NodeInfo| u32::from(node.zone != zone);
    member::nearest_first(&mut entries, seed, distance, |node| &node.name);
    let rows: Vec<_> = entries
        .iter()
        .map(|node| json!({"address": node.caller_address, "zone": node.zone}))
        .collect();
    let ttl = settings.timing.address_ttl.as_secs();
    let document = json!({"addresses": rows, "zone": zone, "ttl_s": ttl});
    json(StatusCode::OK, document.to_string())
}

fn zone_parameter(query: &str) -> Option<&str> {
    let mut pairs = query.split('&');
    let zone = pairs.find_map(|pair| pair.strip_prefix("zone="))?;
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (!zone.is_empty() && zone.bytes().all(is_allowed)).then_some(zone)
}
