//! Conversion between protobuf messages and the types of `quorum` and `store`.

use bytes::Bytes;
use eyre::{Result, bail, eyre};
use prost::Message as _;
use quorum::{DiskId, Entry, EntryBody, HardState, Members, Message, MessageBody, Peer, Snapshot};
use std::collections::BTreeMap;
use store::Record;
use wire::proto::quorum_message::Body;
use wire::proto::{
    Append, AppendReply, Compressed, InstallSnapshot, Join, LogEntry, QuorumMessage, Replica,
    ReplicaSet, SnapshotReply, StoredSnapshot, VoteReply, VoteRequest,
};

const COMMAND: u8 = 0;
const NOOP: u8 = 1;
const MEMBERS: u8 = 2;

/// Encodes a message for the wire, with the entries that `compress` returns compressed.
pub(crate) fn encode(
    message: Message,
    compress: impl FnMut(&Entry) -> Option<Compressed>,
) -> QuorumMessage {
    QuorumMessage {
        from: message.from.0,
        to: message.to.0,
        term: message.term,
        knows_compressed: true,
        body: Some(encode_body(message.body, compress)),
    }
}

fn encode_body(body: MessageBody, mut compress: impl FnMut(&Entry) -> Option<Compressed>) -> Body {
    match body {
        MessageBody::VoteRequest {
            pre_vote,
            last_index,
            last_term,
        } => Body::VoteRequest(VoteRequest {
            pre: pre_vote,
            last_index,
            last_term,
        }),
        MessageBody::VoteReply { pre_vote, granted } => Body::VoteReply(VoteReply {
            pre: pre_vote,
            granted,
        }),
        MessageBody::Append {
            previous_index,
            previous_term,
            commit,
            round,
            entries,
        } => Body::Append(Append {
            previous_index,
            previous_term,
            commit,
            entries: entries
                .iter()
                .map(|entry| log_entry(entry, compress(entry)))
                .collect(),
            round,
        }),
        MessageBody::AppendReply {
            accepted,
            index,
            round,
        } => Body::AppendReply(AppendReply {
            accepted,
            index,
            round,
        }),
        MessageBody::InstallSnapshot {
            index,
            term,
            members,
            offset,
            chunk,
            done,
            round,
        } => Body::InstallSnapshot(InstallSnapshot {
            last_index: index,
            last_term: term,
            members: replica_set(&members).encode_to_vec().into(),
            offset,
            chunk,
            done,
            round,
        }),
        MessageBody::SnapshotReply {
            index,
            offset,
            done,
            round,
        } => Body::SnapshotReply(SnapshotReply {
            last_index: index,
            offset,
            done,
            round,
        }),
        MessageBody::Join { id, peer } => Body::Join(Join {
            disk: id.0,
            name: peer.name,
            address: peer.address,
        }),
    }
}

/// Decodes a message from the wire.
pub(crate) fn decode(message: QuorumMessage) -> Result<Message> {
    let body = message
        .body
        .ok_or_else(|| eyre!("message without a body"))?;
    Ok(Message {
        from: DiskId(message.from),
        to: DiskId(message.to),
        term: message.term,
        body: decode_body(DiskId(message.from), body)?,
    })
}

fn decode_body(from: DiskId, body: Body) -> Result<MessageBody> {
    Ok(match body {
        Body::VoteRequest(m) => MessageBody::VoteRequest {
            pre_vote: m.pre,
            last_index: m.last_index,
            last_term: m.last_term,
        },
        Body::VoteReply(m) => MessageBody::VoteReply {
            pre_vote: m.pre,
            granted: m.granted,
        },
        Body::Append(m) => MessageBody::Append {
            previous_index: m.previous_index,
            previous_term: m.previous_term,
            commit: m.commit,
            round: m.round,
            entries: m.entries.into_iter().map(entry).collect::<Result<_>>()?,
        },
        Body::AppendReply(m) => MessageBody::AppendReply {
            accepted: m.accepted,
            index: m.index,
            round: m.round,
        },
        Body::InstallSnapshot(m) => MessageBody::InstallSnapshot {
            index: m.last_index,
            term: m.last_term,
            members: members(ReplicaSet::decode(m.members)?),
            offset: m.offset,
            chunk: m.chunk,
            done: m.done,
            round: m.round,
        },
        Body::SnapshotReply(m) => MessageBody::SnapshotReply {
            index: m.last_index,
            offset: m.offset,
            done: m.done,
            round: m.round,
        },
        Body::Join(m) => MessageBody::Join {
            // Absent in requests of earlier versions, which are not forwarded.
            id: if m.disk == 0 { from } else { DiskId(m.disk) },
            peer: Peer::new(&m.name, &m.address),
        },
    })
}

fn kind_and_data(body: &EntryBody) -> (u8, Bytes) {
    match body {
        EntryBody::Command(data) => (COMMAND, data.clone()),
        EntryBody::Noop => (NOOP, Bytes::new()),
        EntryBody::Members(m) => (MEMBERS, replica_set(m).encode_to_vec().into()),
    }
}

fn entry_body(kind: u8, data: Bytes) -> Result<EntryBody> {
    Ok(match kind {
        COMMAND => EntryBody::Command(data),
        NOOP => EntryBody::Noop,
        MEMBERS => EntryBody::Members(members(ReplicaSet::decode(data)?)),
        other => bail!("unknown kind of entry {other}"),
    })
}

fn log_entry(entry: &Entry, compressed: Option<Compressed>) -> LogEntry {
    let (kind, data) = kind_and_data(&entry.body);
    let data = match compressed {
        Some(_) => Bytes::new(),
        None => data,
    };
    LogEntry {
        index: entry.index,
        term: entry.term,
        kind: u32::from(kind),
        data,
        compressed,
    }
}

fn entry(entry: LogEntry) -> Result<Entry> {
    let data = match &entry.compressed {
        Some(compressed) => wire::decompress(compressed)
            .map_err(|e| eyre!("entry {} of term {}: {e}", entry.index, entry.term))?,
        None => entry.data,
    };
    Ok(Entry {
        index: entry.index,
        term: entry.term,
        body: entry_body(u8::try_from(entry.kind)?, data)?,
    })
}

/// Converts a log entry to a record on disk.
pub(crate) fn record(entry: &Entry) -> Record {
    let (kind, data) = kind_and_data(&entry.body);
    Record {
        index: entry.index,
        term: entry.term,
        kind,
        data,
    }
}

/// Converts a record on disk to a log entry.
pub(crate) fn recorded_entry(record: Record) -> Result<Entry> {
    Ok(Entry {
        index: record.index,
        term: record.term,
        body: entry_body(record.kind, record.data)?,
    })
}

/// Converts the term, vote and commit index for the disk.
pub(crate) fn stored_hard_state(hard_state: HardState) -> store::HardState {
    store::HardState {
        term: hard_state.term,
        vote: hard_state.vote.map(|id| id.0),
        commit: hard_state.commit_index,
    }
}

/// Converts the term, vote and commit index from the disk.
pub(crate) fn hard_state(stored: store::HardState) -> HardState {
    HardState {
        term: stored.term,
        vote: stored.vote.map(DiskId),
        commit_index: stored.commit,
    }
}

/// Encodes a snapshot for the disk.
pub(crate) fn stored_snapshot(snapshot: &Snapshot) -> store::Snapshot {
    let stored = StoredSnapshot {
        members: Some(replica_set(&snapshot.members)),
        state: snapshot.data.clone(),
    };
    store::Snapshot {
        index: snapshot.index,
        term: snapshot.term,
        data: stored.encode_to_vec().into(),
    }
}

/// Decodes a snapshot from the disk.
pub(crate) fn snapshot(stored: store::Snapshot) -> Result<Snapshot> {
    let content = StoredSnapshot::decode(stored.data)?;
    Ok(Snapshot {
        index: stored.index,
        term: stored.term,
        members: members(content.members.unwrap_or_default()),
        data: content.state,
    })
}

fn replica_set(members: &Members) -> ReplicaSet {
    let rows = |peers: &BTreeMap<DiskId, Peer>| {
        let row = |(id, peer): (&DiskId, &Peer)| Replica {
            disk: id.0,
            name: peer.name.clone(),
            address: peer.address.clone(),
        };
        peers.iter().map(row).collect()
    };
    ReplicaSet {
        voters: rows(&members.voters),
        learners: rows(&members.learners),
    }
}

fn members(set: ReplicaSet) -> Members {
    let peers = |rows: Vec<Replica>| {
        let peer = |row: Replica| (DiskId(row.disk), Peer::new(&row.name, &row.address));
        rows.into_iter().map(peer).collect()
    };
    Members {
        voters: peers(set.voters),
        learners: peers(set.learners),
    }
}
