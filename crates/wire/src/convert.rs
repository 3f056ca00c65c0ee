//! What targets and entries tell of themselves, between its message and its
//! type.

use crate::proto;
use member::{Entrance, Presence, Sighting, TargetSpeed};

/// The message of what a target tells.
#[must_use]
pub fn sighting_to_proto(told: &Sighting) -> proto::Sighting {
    let presence = match told.presence {
        Presence::Ready => proto::Presence::Ready,
        Presence::Draining => proto::Presence::Draining,
        Presence::Gone => proto::Presence::Gone,
    };
    proto::Sighting {
        id: told.id.clone(),
        service: told.service.clone(),
        address: told.address.to_string(),
        zone: told.zone.clone(),
        slots: told.slots,
        presence: presence.into(),
        born: told.born,
        sequence: told.sequence,
    }
}

/// What a target tells; none where the message can't be understood, which
/// then names no target.
#[must_use]
pub fn sighting_from_proto(told: proto::Sighting) -> Option<Sighting> {
    let presence = match told.presence() {
        proto::Presence::Ready => Presence::Ready,
        proto::Presence::Draining => Presence::Draining,
        proto::Presence::Gone => Presence::Gone,
        proto::Presence::Unspecified => return None,
    };
    Some(Sighting {
        address: told.address.parse().ok()?,
        id: told.id,
        service: told.service,
        zone: told.zone,
        slots: told.slots,
        presence,
        born: told.born,
        sequence: told.sequence,
    })
}

/// The message of what an agent reports of its target's speed.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and far greater slowdowns are no different"
)]
pub fn target_speed_to_proto(told: &TargetSpeed) -> proto::TargetSpeed {
    proto::TargetSpeed {
        address: told.address.to_string(),
        slowdown_permille: (told.slowdown * 1e3) as u32,
    }
}

/// What an agent reports; none where the message can't be understood.
#[must_use]
pub fn target_speed_from_proto(told: &proto::TargetSpeed) -> Option<TargetSpeed> {
    Some(TargetSpeed {
        address: told.address.parse().ok()?,
        slowdown: f64::from(told.slowdown_permille) / 1e3,
    })
}

/// The message of what an entry tells.
#[must_use]
pub fn entrance_to_proto(told: &Entrance) -> proto::Entrance {
    proto::Entrance {
        name: told.name.clone(),
        incarnation: told.incarnation,
        sequence: told.sequence,
        zone: told.zone.clone(),
        region: told.region.clone(),
        address: told.address.to_string(),
        open: told.open,
        table: told.table,
    }
}

/// What an entry tells; none where the message can't be understood.
#[must_use]
pub fn entrance_from_proto(told: proto::Entrance) -> Option<Entrance> {
    Some(Entrance {
        address: told.address.parse().ok()?,
        name: told.name,
        incarnation: told.incarnation,
        sequence: told.sequence,
        zone: told.zone,
        region: told.region,
        open: told.open,
        table: told.table,
    })
}
