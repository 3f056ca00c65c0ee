//! Client accounts.

use cfg::Reader;
use serde_json::{Value, json};

use crate::{Digest, name};

const MOST_SHARE: u32 = 1_000;
const MOST_TOKENS_PER_S: u32 = 100_000_000;
const MOST_REQUESTS_PER_S: u32 = 1_000_000;
const MOST_CONCURRENT: u32 = 1_000_000;
const MOST_PRIORITY: u32 = 9;

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
    /// Digest of the account's bearer key; the key itself is held nowhere.
    pub key_sha256: Digest,
    /// Weight of the account's fair share when targets are short.
    pub share: u32,
    /// Most tokens a second.
    pub tokens_per_s: u32,
    /// Most requests a second.
    pub requests_per_s: u32,
    /// Most requests at once.
    pub concurrent: u32,
    /// 0 to 9; under overload the lowest are refused first.
    pub priority: u32,
}

impl Account {
    pub(crate) fn read(r: &mut Reader) -> Option<Self> {
        let name = name::read(r, "name");
        let key_sha256 = read_digest(r);
        let share = r.within("share", DEFAULT_SHARE, 1..=MOST_SHARE);
        let tokens_per_s = r.within("tokens_per_s", DEFAULT_TOKENS_PER_S, 1..=MOST_TOKENS_PER_S);
        let requests_per_s = r.within(
            "requests_per_s",
            DEFAULT_REQUESTS_PER_S,
            1..=MOST_REQUESTS_PER_S,
        );
        let concurrent = r.within("concurrent", DEFAULT_CONCURRENT, 1..=MOST_CONCURRENT);
        let priority = r.within("priority", DEFAULT_PRIORITY, 0..=MOST_PRIORITY);
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
