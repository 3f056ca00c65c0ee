//! Client accounts.

use cfg::Reader;
use serde_json::{Value, json};

use crate::{Digest, name};

const MAX_SHARE: u32 = 1_000;
const MAX_TOKENS_PER_S: u32 = 100_000_000;
const MAX_REQUESTS_PER_S: u32 = 1_000_000;
const MAX_CONCURRENT: u32 = 1_000_000;
const MAX_PRIORITY: u32 = 9;

const DEFAULT_SHARE: u32 = 1;
const DEFAULT_TOKENS_PER_S: u32 = 2_000;
const DEFAULT_REQUESTS_PER_S: u32 = 20;
const DEFAULT_CONCURRENT: u32 = 64;
const DEFAULT_PRIORITY: u32 = 1;

/// A client account and its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// The account's name.
    pub name: String,
    /// Digest of the account's bearer key; the key itself is not stored.
    pub key_sha256: Digest,
    /// Weight of the account in fair sharing when capacity is scarce.
    pub share: u32,
    /// Maximum number of tokens per second.
    pub tokens_per_s: u32,
    /// Maximum number of requests per second.
    pub requests_per_s: u32,
    /// Maximum number of concurrent requests.
    pub concurrent: u32,
    /// Priority from 0 to 9; under overload, the lowest are rejected first.
    pub priority: u32,
}

impl Account {
    pub(crate) fn read(r: &mut Reader) -> Option<Self> {
        let name = name::read(r, "name");
        let key_sha256 = read_digest(r);
        let share = r.within("share", DEFAULT_SHARE, 1..=MAX_SHARE);
        let tokens_per_s = r.within("tokens_per_s", DEFAULT_TOKENS_PER_S, 1..=MAX_TOKENS_PER_S);
        let requests_per_s = r.within(
            "requests_per_s",
            DEFAULT_REQUESTS_PER_S,
            1..=MAX_REQUESTS_PER_S,
        );
        let concurrent = r.within("concurrent", DEFAULT_CONCURRENT, 1..=MAX_CONCURRENT);
        let priority = r.within("priority", DEFAULT_PRIORITY, 0..=MAX_PRIORITY);
        Some(Account {
            name: name?,
            key_sha256: key_sha256?,
            share,
            tokens_per_s,
            requests_per_s,
            concurrent,
            priority,
        })
    }

    pub(crate) fn to_value(&self) -> Value {
        json!({
            "kind": "account",
            "name": self.name,
            "key_sha256": self.key_sha256.to_string(),
            "share": self.share,
            "tokens_per_s": self.tokens_per_s,
            "requests_per_s": self.requests_per_s,
            "concurrent": self.concurrent,
            "priority": self.priority,
        })
    }
}

fn read_digest(r: &mut Reader) -> Option<Digest> {
    let text: String = r.required("key_sha256")?;
    let digest = Digest::from_hex(&text);
    if digest.is_none() {
        r.finding("key_sha256", "expected 64 hexadecimal digits");
    }
    digest
}
