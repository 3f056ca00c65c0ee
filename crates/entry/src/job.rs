//! A validated request of a caller.

use std::time::Instant;

use bytes::Bytes;
use route::{Fingerprint, Prefix, Suspicion};
use wire::proto::Header;

use crate::pool_name::PoolName;

/// A validated request of a caller, ready for admission.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Request ID.
    pub(crate) id: String,
    pub(crate) account: String,
    pub(crate) share: f64,
    pub(crate) priority: u32,
    pub(crate) pool: PoolName,
    pub(crate) adapter: String,
    pub(crate) version: String,
    /// Estimated number of prompt tokens.
    pub(crate) prompt_tokens: u32,
    /// Estimated number of prompt and answer tokens.
    pub(crate) tokens: u32,
    pub(crate) prefix: Option<Prefix>,
    pub(crate) fingerprint: Fingerprint,
    /// Parts of the prompt that prompts of other requests may have, too.
    pub(crate) parts: Vec<Fingerprint>,
    pub(crate) suspicion: Suspicion,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) traceparent: String,
    pub(crate) deadline: Instant,
}
