//! Conversion between discovery types and their protobuf messages.

use crate::proto;
use member::{
    EntryReport, Presence, TableDigest, TargetLimit, TargetReport, TargetSpeed, hash_name,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Converts the announcement of a target to its message.
#[must_use]
pub fn sighting_to_proto(sighting: &TargetReport) -> proto::Sighting {
    let presence = match sighting.presence {
        Presence::Ready => proto::Presence::Ready,
        Presence::Draining => proto::Presence::Draining,
        Presence::Gone => proto::Presence::Gone,
    };
    proto::Sighting {
        id: sighting.id.clone(),
        service: sighting.service.clone(),
        address: sighting.address.to_string(),
        zone: sighting.zone.clone(),
        slots: sighting.slots,
        presence: presence.into(),
        born: sighting.started_ms,
        sequence: sighting.sequence,
        cold_ms: u32::try_from(sighting.cold.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Converts a message to the announcement of a target. Returns `None` if the message is
/// invalid.
#[must_use]
pub fn sighting_from_proto(message: proto::Sighting) -> Option<TargetReport> {
    let presence = match message.presence() {
        proto::Presence::Ready => Presence::Ready,
        proto::Presence::Draining => Presence::Draining,
        proto::Presence::Gone => Presence::Gone,
        proto::Presence::Unspecified => return None,
    };
    Some(TargetReport {
        address: message.address.parse().ok()?,
        id: message.id,
        service: message.service,
        zone: message.zone,
        slots: message.slots,
        presence,
        started_ms: message.born,
        sequence: message.sequence,
        cold: Duration::from_millis(message.cold_ms.into()),
    })
}

/// Converts the reported speed of a target to its message.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and larger slowdowns need not be distinguished"
)]
pub fn target_speed_to_proto(speed: &TargetSpeed) -> proto::TargetSpeed {
    proto::TargetSpeed {
        address: speed.address.to_string(),
        slowdown_permille: (speed.slowdown * 1e3) as u32,
    }
}

/// Converts a message to the reported speed of a target. Returns `None` if the message is
/// invalid.
#[must_use]
pub fn target_speed_from_proto(message: &proto::TargetSpeed) -> Option<TargetSpeed> {
    Some(TargetSpeed {
        address: message.address.parse().ok()?,
        slowdown: f64::from(message.slowdown_permille) / 1e3,
    })
}

/// Converts the limit that a target named at `observed_at` to its message.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and larger limits need not be distinguished"
)]
pub fn target_limit_to_proto(
    limit: &TargetLimit,
    observed_at: Instant,
    now: Instant,
) -> proto::TargetLimit {
    let age = now.saturating_duration_since(observed_at);
    proto::TargetLimit {
        id: limit.id.clone(),
        born: limit.started_ms,
        per_thousand_seconds: limit.per_second.map(|limit| (limit * 1e3) as u32),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Converts a message to the limit that a target named, and when.
#[must_use]
pub fn target_limit_from_proto(
    message: proto::TargetLimit,
    now: Instant,
) -> (TargetLimit, Instant) {
    let age = Duration::from_millis(message.age_ms.into());
    let limit = TargetLimit {
        id: message.id,
        started_ms: message.born,
        per_second: message.per_thousand_seconds.map(|n| f64::from(n) / 1e3),
    };
    (limit, now.checked_sub(age).unwrap_or(now))
}

/// Digest by which two nodes find out whether they know the same addresses; never 0.
///
/// ```
/// use std::collections::BTreeSet;
/// use wire::addresses_digest;
///
/// let known = BTreeSet::from(["10.1.0.9:7020".parse().unwrap()]);
/// assert_ne!(addresses_digest(&known), addresses_digest(&BTreeSet::new()));
/// ```
#[must_use]
pub fn addresses_digest(addresses: &BTreeSet<SocketAddr>) -> u64 {
    let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    hash_name(&texts.join(" ")).max(1)
}

/// Converts the announcement of an entry to its message.
#[must_use]
pub fn entrance_to_proto(entrance: &EntryReport) -> proto::Entrance {
    proto::Entrance {
        name: entrance.name.clone(),
        incarnation: entrance.incarnation,
        sequence: entrance.sequence,
        zone: entrance.zone.clone(),
        region: entrance.region.clone(),
        address: entrance.address.to_string(),
        open: entrance.open,
        table: entrance.table,
        table_digest: entrance.table_digest.map_or(0, |digest| digest.0),
        evacuations: entrance.evacuations,
    }
}

/// Converts a message to the announcement of an entry. Returns `None` if the message is
/// invalid.
#[must_use]
pub fn entrance_from_proto(message: proto::Entrance) -> Option<EntryReport> {
    Some(EntryReport {
        address: message.address.parse().ok()?,
        name: message.name,
        incarnation: message.incarnation,
        sequence: message.sequence,
        zone: message.zone,
        region: message.region,
        open: message.open,
        table: message.table,
        table_digest: (message.table_digest != 0).then_some(TableDigest(message.table_digest)),
        evacuations: message.evacuations,
    })
}
