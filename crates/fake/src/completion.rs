//! Chat completions whose text follows from the request alone.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// Words of the answers.
const WORDS: [&str; 16] = [
    "burl", "maple", "spalted", "figure", "check", "moisture", "kiln", "bark", "blank", "ash",
    "oak", "dry", "grain", "knot", "turn", "lot",
];

/// Tokens of an answer at most.
const MAX_TOKENS: u64 = 1 << 20;

/// An answer, the same for each attempt at the same request body.
#[derive(Clone, Debug)]
pub(crate) struct Completion {
    digest: [u8; 32],
    model: String,
    pub tokens: u64,
    pub form: Form,
}

/// How the answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    Events,
    Document,
}

#[derive(Deserialize)]
struct Asked {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

impl Completion {
    pub fn parse(body: &[u8], tokens: u64) -> Result<Self, serde_json::Error> {
        let asked: Asked = serde_json::from_slice(body)?;
        Ok(Completion {
            digest: Sha256::digest(body).into(),
            model: asked.model,
            tokens: asked.max_tokens.unwrap_or(tokens).min(MAX_TOKENS),
            form: if asked.stream {
                Form::Events
            } else {
                Form::Document
            },
        })
    }

    /// Number of server-sent events: one a token, the end, and `[DONE]`.
    pub fn events(&self) -> u64 {
        self.tokens + 2
    }

    /// The server-sent event at a place.
    pub fn event(&self, at: u64) -> Bytes {
        if at > self.tokens {
            return Bytes::from_static(b"data: [DONE]\n\n");
        }
        let value = if at < self.tokens {
            self.chunk(&json!({"content": self.token(at)}), &Value::Null)
        } else {
            self.chunk(&json!({}), &json!("stop"))
        };
        format!("data: {value}\n\n").into()
    }

    /// The whole answer as one JSON document.
    pub fn document(&self) -> Value {
        let text: String = (0..self.tokens).map(|at| self.token(at)).collect();
        json!({
            "id": self.id(),
            "object": "chat.completion",
            "created": 0,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }],
            "usage": self.usage(),
        })
    }

    /// Hash by which the engine's cache names the prompt.
    pub fn prefix(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.digest[..8]);
        u64::from_be_bytes(first)
    }

    fn id(&self) -> String {
        format!("chatcmpl-{:016x}", self.prefix())
    }

    fn token(&self, at: u64) -> String {
        let place = usize::try_from(at % 32).unwrap_or_default();
        let mixed = u64::from(self.digest[place]) + at / 32 * 7;
        let word = usize::try_from(mixed).unwrap_or_default() % WORDS.len();
        format!("{} ", WORDS[word])
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": 8,
            "completion_tokens": self.tokens,
            "total_tokens": self.tokens + 8,
        })
    }

    fn chunk(&self, delta: &Value, finish: &Value) -> Value {
        let mut chunk = json!({
            "id": self.id(),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        });
        if !finish.is_null() {
            chunk["usage"] = self.usage();
        }
        chunk
    }
}
