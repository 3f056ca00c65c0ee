//! Snapshots encoded as Protocol Buffers.

use bytes::Bytes;
use prost::Message;

use crate::error::Code;
use crate::record::{Record, State};
use crate::{Answer, Attempt, CallKey, CallOutcome, Digest, Holder, Ledger, Limits, Result};

#[derive(Clone, PartialEq, Message)]
struct Snapshot {
    #[prost(uint64, tag = "1")]
    now_ms: u64,
    #[prost(uint64, tag = "2")]
    max_records: u64,
    #[prost(uint64, tag = "3")]
    max_bytes: u64,
    #[prost(uint64, tag = "4")]
    max_answer_bytes: u64,
    #[prost(uint64, tag = "5")]
    keep_ms: u64,
    #[prost(uint64, tag = "6")]
    running_ms: u64,
    #[prost(message, repeated, tag = "7")]
    records: Vec<RecordRow>,
    /// 0 in snapshots of versions without this limit.
    #[prost(uint64, tag = "8")]
    max_unproved: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RecordRow {
    #[prost(string, tag = "1")]
    account: String,
    #[prost(bytes = "bytes", tag = "2")]
    key: Bytes,
    #[prost(bytes = "bytes", tag = "3")]
    digest: Bytes,
    #[prost(bytes = "bytes", tag = "4")]
    attempt: Bytes,
    #[prost(string, tag = "5")]
    target: String,
    #[prost(uint64, tag = "6")]
    incarnation: u64,
    /// Time at which the record is due, or since which its outcome is unknown.
    #[prost(uint64, tag = "7")]
    time_ms: u64,
    #[prost(message, optional, tag = "8")]
    answer: Option<AnswerRow>,
    #[prost(string, optional, tag = "9")]
    unknown: Option<String>,
    /// For an unknown outcome, whether the attempt is proved to have ended.
    /// Earlier versions did not store it, so a missing value means not proved.
    #[prost(bool, tag = "10")]
    ended: bool,
}

#[derive(Clone, PartialEq, Message)]
struct AnswerRow {
    #[prost(uint32, tag = "1")]
    status: u32,
    #[prost(string, repeated, tag = "2")]
    names: Vec<String>,
    #[prost(bytes = "bytes", repeated, tag = "3")]
    values: Vec<Bytes>,
    #[prost(bytes = "bytes", tag = "4")]
    body: Bytes,
}

impl Ledger {
    /// Encodes the complete state. Equal ledgers have equal encodings.
    ///
    /// ```
    /// use ledger::{Ledger, Limits};
    ///
    /// let ledger = Ledger::new(Limits::default());
    /// let copy = Ledger::from_slice(&ledger.to_bytes())?;
    /// assert_eq!(copy, ledger);
    /// # Ok::<(), ledger::Error>(())
    /// ```
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let limits = self.limits();
        let snapshot = Snapshot {
            now_ms: self.now_ms(),
            max_records: limits.max_records as u64,
            max_bytes: limits.max_bytes as u64,
            max_answer_bytes: limits.max_answer_bytes as u64,
            keep_ms: limits.keep_ms,
            running_ms: limits.running_ms,
            max_unproved: limits.max_unproved as u64,
            records: self.records().iter().map(record_row).collect(),
        };
        snapshot.encode_to_vec()
    }

    /// Decodes a state encoded by [`Ledger::to_bytes`].
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid snapshot; the error names the invalid
    /// record.
    ///
    /// ```
    /// assert!(ledger::Ledger::from_slice(b"not a snapshot").is_err());
    /// ```
    pub fn from_slice(bytes: &[u8]) -> Result<Self> {
        let snapshot = Snapshot::decode(bytes).map_err(Code::Decode)?;
        let limits = Limits {
            max_records: clamp_to_usize(snapshot.max_records),
            max_bytes: clamp_to_usize(snapshot.max_bytes),
            max_answer_bytes: clamp_to_usize(snapshot.max_answer_bytes),
            max_unproved: match snapshot.max_unproved {
                0 => Limits::default().max_unproved,
                limit => clamp_to_usize(limit),
            },
            keep_ms: snapshot.keep_ms,
            running_ms: snapshot.running_ms,
        };
        let mut ledger = Ledger::restore(limits, snapshot.now_ms);
        for (position, row) in snapshot.records.into_iter().enumerate() {
            let (key, record) = parse_record(row).ok_or(Code::Record(position))?;
            if ledger.records().contains_key(&key) {
                return Err(Code::Record(position).into());
            }
            ledger.insert(key, record);
        }
        Ok(ledger)
    }
}

fn clamp_to_usize(value: u64) -> usize {
    // Far below the largest value, so that sums of sizes cannot overflow.
    const MAX: usize = usize::MAX >> 16;
    usize::try_from(value).unwrap_or(MAX).min(MAX)
}

fn record_row((key, record): (&CallKey, &Record)) -> RecordRow {
    let (answer, unknown) = match &record.state {
        State::Running { .. } => (None, None),
        State::Ended { outcome, .. } => match outcome {
            CallOutcome::Answer(answer) => (Some(answer_row(answer)), None),
            CallOutcome::Unknown(reason) => (None, Some(reason.clone())),
        },
        State::Unproved { reason, .. } => (None, Some(reason.clone())),
    };
    let time_ms = match record.state {
        State::Running { until_ms } | State::Ended { until_ms, .. } => until_ms,
        State::Unproved { since_ms, .. } => since_ms,
    };
    RecordRow {
        account: key.account.clone(),
        key: key.key.clone(),
        digest: Bytes::copy_from_slice(&record.digest.0),
        attempt: Bytes::copy_from_slice(&record.holder.attempt.to_bytes()),
        target: record.holder.target.clone(),
        incarnation: record.holder.incarnation,
        time_ms,
        answer,
        unknown,
        ended: matches!(record.state, State::Ended { .. }),
    }
}

fn answer_row(answer: &Answer) -> AnswerRow {
    AnswerRow {
        status: u32::from(answer.status),
        names: answer.headers.iter().map(|(n, _)| n.clone()).collect(),
        values: answer.headers.iter().map(|(_, v)| v.clone()).collect(),
        body: answer.body.clone(),
    }
}

fn parse_record(row: RecordRow) -> Option<(CallKey, Record)> {
    let until_ms = row.time_ms;
    let state = match (row.answer, row.unknown) {
        (None, None) => State::Running { until_ms },
        (Some(answer), None) => State::Ended {
            outcome: CallOutcome::Answer(parse_answer(answer)?),
            until_ms,
        },
        (None, Some(reason)) if row.ended => State::Ended {
            outcome: CallOutcome::Unknown(reason),
            until_ms,
        },
        (None, Some(reason)) => State::Unproved {
            reason,
            since_ms: row.time_ms,
        },
        (Some(_), Some(_)) => return None,
    };
    let record = Record {
        digest: Digest::from_slice(&row.digest)?,
        holder: Holder {
            attempt: Attempt::from_slice(&row.attempt)?,
            target: row.target,
            incarnation: row.incarnation,
        },
        state,
    };
    Some((CallKey::new(row.account, row.key), record))
}

fn parse_answer(row: AnswerRow) -> Option<Answer> {
    if row.names.len() != row.values.len() {
        return None;
    }
    Some(Answer {
        status: u16::try_from(row.status).ok()?,
        headers: row.names.into_iter().zip(row.values).collect(),
        body: row.body,
    })
}
