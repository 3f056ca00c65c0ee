//! One request of a caller, checked and ready to run.

use std::time::Instant;

use bytes::Bytes;
use route::{Fingerprint, Prefix, Suspicion};
use wire::proto::Header;

use crate::pool_name::PoolName;

/// One request of a caller, checked and ready to run.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Request id.
    pub(crate) id: String,
    pub(crate) account: String,
    pub(crate) share: f64,
    pub(crate) priority: u32,
    pub(crate) pool: PoolName,
    pub(crate) adapter: String,
    pub(crate) version: String,
    /// Prompt tokens, estimated.
    pub(crate) prompt_tokens: u32,
    /// Tokens of prompt and answer, estimated.
    pub(crate) tokens: u32,
    pub(crate) prefix: Option<Prefix>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) suspicion: Suspicion,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) traceparent: String,
    pub(crate) deadline: Instant,
}
