//! `POST /v1/chat/completions`: the fields of the request body that routing uses.

use admin::Problem;
use bytes::Bytes;
use hyper::StatusCode;
use note::Catalogue;
use route::{Features, Fingerprint, Prefix};
use serde::Deserialize;
use serde_json::Value;
use sha2::{Digest, Sha256};

/// Assumed number of JSON bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// The fields of a chat completion request that routing uses.
#[derive(Debug, Deserialize)]
pub(super) struct Chat {
    pub(super) model: String,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    pub(super) adapter: String,
    #[serde(default)]
    pub(super) version: String,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    messages: Vec<Value>,
}

impl Chat {
    /// Parses the request. The error for malformed JSON contains the line and column.
    pub(super) fn from_slice(body: &Bytes) -> Result<Self, Problem> {
        serde_json::from_slice(body).map_err(|error| {
            let detail = format!("malformed chat completion request: {error}");
            Problem::new(StatusCode::BAD_REQUEST, detail)
        })
    }

    /// Checks that the release note in force offers the requested model, adapter and
    /// version.
    pub(super) fn check_offered(&self, catalogue: &Catalogue) -> Result<(), Problem> {
        let Some(model) = catalogue.model(&self.model) else {
            return Err(unknown_name("model", &self.model));
        };
        if !self.adapter.is_empty() && !model.adapters.contains(&self.adapter) {
            return Err(unknown_name("adapter", &self.adapter));
        }
        if !self.version.is_empty() && !model.versions.contains(&self.version) {
            return Err(unknown_name("version", &self.version));
        }
        Ok(())
    }

    /// Maximum number of answer tokens, or `default` if the request sets none.
    pub(super) fn answer_tokens(&self, default: u32) -> u32 {
        let max = self.max_completion_tokens.or(self.max_tokens);
        max.unwrap_or(default)
    }

    /// Identities of the parts of the prompt that other requests may have, too: all messages
    /// but the last.
    pub(super) fn parts(&self) -> Vec<Fingerprint> {
        let shared = self
            .messages
            .split_last()
            .map_or(&[][..], |(_, first)| first);
        let shared = shared.iter().take(Features::MAX_PARTS);
        let identity = |message: &Value| {
            let text = message.to_string();
            Fingerprint::of_parts(&[self.model.as_bytes(), text.as_bytes()])
        };
        shared.map(identity).collect()
    }

    /// Returns the prefix of the prompt that requests are likely to share: the first
    /// message.
    pub(super) fn prefix(&self) -> Option<Prefix> {
        let first = self.messages.first()?.to_string();
        let digest = Sha256::digest(first.as_bytes());
        let mut hash = [0; 8];
        hash.copy_from_slice(&digest[..8]);
        Some(Prefix {
            hash: u64::from_be_bytes(hash),
            tokens: estimate_tokens(first.len()),
        })
    }
}

/// Estimates the number of tokens in `bytes` bytes of text.
pub(super) fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
}

pub(super) fn unknown_name(kind: &str, name: &str) -> Problem {
    let detail = format!("unknown {kind} {name:?}");
    Problem::new(StatusCode::NOT_FOUND, detail)
}
