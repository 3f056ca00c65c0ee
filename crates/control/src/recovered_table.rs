//! The route table and the evacuated zones found on disk before a leader is known.

use quorum::{EntryBody, PersistedState};
use std::collections::BTreeSet;
use wire::proto::command::Body;
use wire::proto::{Command, DurableState, Evacuations, RouteTable};

/// Returns the route table with the highest number on this disk, committed or not.
///
/// After all processes were lost at once, an election must complete before it is
/// known which entries are committed. Until then entry nodes without a table would
/// refuse every caller, although the newest table is on this disk. Using a table
/// that turns out not to be committed is acceptable: the operator who sent it was
/// not told that it was rejected, and sends it again.
pub(crate) fn newest(restored: &PersistedState) -> Option<RouteTable> {
    let in_log = commands(restored).filter_map(|body| match body {
        Body::RouteTable(table) => Some(table),
        _ => None,
    });
    snapshot(restored)
        .and_then(|state| state.route_table)
        .into_iter()
        .chain(in_log)
        .max_by_key(|table| table.number)
}

/// Returns the zones that are evacuated according to this disk, with the number 0: until
/// a leader is known, orders in the log may turn out not to be committed.
pub(crate) fn evacuations(restored: &PersistedState) -> Evacuations {
    let in_snapshot = snapshot(restored).and_then(|state| state.evacuations);
    let mut zones: BTreeSet<String> = in_snapshot.into_iter().flat_map(|e| e.zones).collect();
    for body in commands(restored) {
        match body {
            Body::Evacuate(order) if order.active => drop(zones.insert(order.zone)),
            Body::Evacuate(order) => drop(zones.remove(&order.zone)),
            _ => {}
        }
    }
    Evacuations {
        number: 0,
        zones: zones.into_iter().collect(),
    }
}

fn snapshot(restored: &PersistedState) -> Option<DurableState> {
    let snapshot = restored.snapshot.as_ref()?;
    <DurableState as prost::Message>::decode(snapshot.data.clone()).ok()
}

/// The commands in the log, committed or not.
fn commands(restored: &PersistedState) -> impl Iterator<Item = Body> {
    restored.entries.iter().filter_map(|entry| {
        let EntryBody::Command(data) = &entry.body else {
            return None;
        };
        let command = <Command as prost::Message>::decode(data.clone()).ok()?;
        command.body
    })
}
