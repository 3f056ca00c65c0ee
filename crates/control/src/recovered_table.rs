//! The route table found on disk before a leader is known.

use quorum::{EntryBody, PersistedState};
use wire::proto::command::Body;
use wire::proto::{Command, DurableState, RouteTable};

/// Returns the route table with the highest number on this disk, committed or not.
///
/// After all processes were lost at once, an election must complete before it is
/// known which entries are committed. Until then entry nodes without a table would
/// refuse every caller, although the newest table is on this disk. Using a table
/// that turns out not to be committed is acceptable: the operator who sent it was
/// not told that it was rejected, and sends it again.
pub(crate) fn newest(restored: &PersistedState) -> Option<RouteTable> {
    let snapshot = restored.snapshot.as_ref();
    let in_snapshot = snapshot.and_then(|snapshot| {
        let state = <DurableState as prost::Message>::decode(snapshot.data.clone());
        state.ok()?.route_table
    });
    let in_log = restored.entries.iter().filter_map(|entry| {
        let EntryBody::Command(data) = &entry.body else {
            return None;
        };
        let command = <Command as prost::Message>::decode(data.clone()).ok()?;
        match command.body {
            Some(Body::RouteTable(table)) => Some(table),
            _ => None,
        }
    });
    in_snapshot
        .into_iter()
        .chain(in_log)
        .max_by_key(|table| table.number)
}
