//! `POST /v1/chat/completions`: what a request's JSON says.

use admin::Problem;
use bytes::Bytes;
use hyper::StatusCode;
use note::Catalogue;
use route::Prefix;
use serde::Deserialize;
use serde_json::Value;
use sha2::{Digest, Sha256};

/// Bytes of JSON that are taken for one token.
const BYTES_PER_TOKEN: usize = 4;

/// What routing needs to know of a chat completion request.
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
    /// Reads the request; malformed JSON is told with its place.
    pub(super) fn from_slice(body: &Bytes) -> Result<Self, Problem> {
        serde_json::from_slice(body).map_err(|error| {
            let detail = format!("malformed chat completion request: {error}");
            Problem::new(StatusCode::BAD_REQUEST, detail)
        })
    }

    /// Checks that the note in force offers what is asked for.
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

    /// Tokens that the answer may have, estimated.
    pub(super) fn answer_tokens(&self, default: u32) -> u32 {
        let max = self.max_completion_tokens.or(self.max_tokens);
        max.unwrap_or(default)
    }

    /// The leading part of the prompt, which requests have in common: its
    /// first message.
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

/// Tokens of so many bytes of text, estimated.
pub(super) fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
}

pub(super) fn unknown_name(kind: &str, name: &str) -> Problem {
    let detail = format!("unknown {kind} {name:?}");
    Problem::new(StatusCode::NOT_FOUND, detail)
}
