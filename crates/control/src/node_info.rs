//! Conversion of nodes between protobuf messages and `member` types.

use crate::withdrawn::Withdrawn;
use member::{Announcement, Capability, Node, Role, Serves};
use wire::proto::{self, NodeInfo};

/// Encodes a node for the member view. A target that operators have withdrawn is marked
/// as leaving.
pub(crate) fn encode_for_view(node: &Node, withdrawn: &Withdrawn) -> NodeInfo {
    let mut info = encode(node);
    info.leaving |= withdrawn.contains_target_of(node);
    info
}

/// The role of a node that may hold a lease.
pub(crate) fn parse_role(role: proto::Role) -> Result<Role, &'static str> {
    match role {
        proto::Role::Entry => Ok(Role::Entry),
        proto::Role::Agent => Ok(Role::Agent),
        _ => Err("only entries and agents hold a lease"),
    }
}

pub(crate) fn parse(info: NodeInfo) -> Result<Node, &'static str> {
    let role = parse_role(info.role())?;
    if info.name.is_empty() {
        return Err("a node without a name");
    }
    let mut node = Node::new(role, info.name, info.incarnation, info.zone);
    node.link_address = parse_address(&info.link_address)?;
    node.caller_address = parse_address(&info.caller_address)?;
    node.leaving = info.leaving;
    node.announcement = info.target.map(parse_target).transpose()?;
    Ok(node)
}

fn parse_address(text: &str) -> Result<Option<std::net::SocketAddr>, &'static str> {
    if text.is_empty() {
        return Ok(None);
    }
    let parsed = text.parse().map(Some);
    parsed.map_err(|_| "an address that is not ip:port")
}

fn parse_target(target: proto::Announcement) -> Result<Announcement, &'static str> {
    let serves = match (target.group.is_empty(), target.service.is_empty()) {
        (false, true) => Serves::Group(target.group),
        (true, false) => Serves::Service(target.service),
        _ => return Err("a target of neither or both a group and a service"),
    };
    let flags = [
        (target.can_resume, Capability::Resume),
        (target.can_cancel, Capability::Cancel),
        (target.has_priority, Capability::Priority),
        (target.checks_fencing, Capability::ChecksFencing),
        (target.exports_kv, Capability::ExportsKv),
    ];
    let supported = flags.into_iter().filter(|(is_set, _)| *is_set);
    Ok(Announcement {
        target: target.target,
        serves,
        ranks: target.ranks,
        models: target.models,
        adapters: target.adapters,
        versions: target.versions,
        capabilities: supported.map(|(_, capability)| capability).collect(),
        healthy: target.healthy,
    })
}

pub(crate) fn encode_role(role: Role) -> proto::Role {
    match role {
        Role::Entry => proto::Role::Entry,
        Role::Agent => proto::Role::Agent,
    }
}

fn encode(node: &Node) -> NodeInfo {
    let text = |address: Option<std::net::SocketAddr>| {
        address.map_or_else(String::new, |address| address.to_string())
    };
    NodeInfo {
        role: encode_role(node.key.role).into(),
        name: node.key.name.clone(),
        incarnation: node.incarnation,
        zone: node.zone.clone(),
        link_address: text(node.link_address),
        caller_address: text(node.caller_address),
        leaving: node.leaving,
        target: node.announcement.as_ref().map(encode_target),
    }
}

fn encode_target(target: &Announcement) -> proto::Announcement {
    let (group, service) = match &target.serves {
        Serves::Group(name) => (name.clone(), String::new()),
        Serves::Service(name) => (String::new(), name.clone()),
    };
    let has = |capability| target.capabilities.contains(&capability);
    proto::Announcement {
        target: target.target.clone(),
        group,
        service,
        ranks: target.ranks.clone(),
        models: target.models.clone(),
        adapters: target.adapters.clone(),
        versions: target.versions.clone(),
        can_resume: has(Capability::Resume),
        can_cancel: has(Capability::Cancel),
        has_priority: has(Capability::Priority),
        checks_fencing: has(Capability::ChecksFencing),
        exports_kv: has(Capability::ExportsKv),
        healthy: target.healthy,
    }
}
