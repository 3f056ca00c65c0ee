//! The route table that a disk holds, before a leader is known.

use quorum::{EntryBody, PersistedState};
use wire::proto::command::Body;
use wire::proto::{Command, DurableState, RouteTable};

/// The route table with the highest number on this disk, committed or not.
///
/// After the loss of all processes at once it takes an election until what is
/// committed is known again. Entries that started empty would refuse every
/// caller until then, though a table that an operator was told nothing else
/// of lies here. One that turns out not to be committed was never refused
/// either: its operator sends it again.
pub(crate) fn newest(restored: &PersistedState) -> Option<RouteTable> {
    let snapshot = restored.snapshot.as_ref();
    let kept = snapshot.and_then(|snapshot| {
        let state = <DurableState as prost::Message>::decode(snapshot.data.clone());
        state.ok()?.route_table
    });
    let logged = restored.entries.iter().filter_map(|entry| {
        let EntryBody::Command(data) = &entry.body else {
            return None;
        };
        let command = <Command as prost::Message>::decode(data.clone()).ok()?;
        match command.body {
            Some(Body::RouteTable(table)) => Some(table),
            _ => None,
        }
    });
    kept.into_iter()
        .chain(logged)
        .max_by_key(|table| table.number)
}
