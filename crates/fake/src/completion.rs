//! Chat completions whose text is derived from the request body alone.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// Words used in responses.
const WORDS: [&str; 16] = [
    "burl", "maple", "spalted", "figure", "check", "moisture", "kiln", "bark", "blank", "ash",
    "oak", "dry", "grain", "knot", "turn", "lot",
];

/// Most tokens in a response.
const MAX_TOKENS: u64 = 1 << 20;

/// A chat completion; identical request bodies get identical completions.
#[derive(Clone, Debug)]
pub(crate) struct Completion {
    digest: [u8; 32],
    model: String,
    pub tokens: u64,
    pub format: ResponseFormat,
}

/// How the response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseFormat {
    EventStream,
    Json,
}

#[derive(Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

impl Completion {
    pub fn parse(body: &[u8], default_tokens: u64) -> Result<Self, serde_json::Error> {
        let request: ChatRequest = serde_json::from_slice(body)?;
        Ok(Completion {
            digest: Sha256::digest(body).into(),
            model: request.model,
            tokens: request.max_tokens.unwrap_or(default_tokens).min(MAX_TOKENS),
            format: if request.stream {
                ResponseFormat::EventStream
            } else {
                ResponseFormat::Json
            },
        })
    }

    /// Number of server-sent events: one per token, the finish event, and `[DONE]`.
    pub fn event_count(&self) -> u64 {
        self.tokens + 2
    }

    /// Returns the server-sent event at this index.
    pub fn event(&self, index: u64) -> Bytes {
        if index > self.tokens {
            return Bytes::from_static(b"data: [DONE]\n\n");
        }
        let value = if index < self.tokens {
            self.chunk(&json!({"content": self.token(index)}), &Value::Null)
        } else {
            self.chunk(&json!({}), &json!("stop"))
        };
        format!("data: {value}\n\n").into()
    }

    /// Returns the whole completion as one JSON document.
    pub fn document(&self) -> Value {
        let text: String = (0..self.tokens).map(|index| self.token(index)).collect();
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

    /// Hash that identifies the prompt in the engine's cache.
    pub fn prefix_hash(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.digest[..8]);
        u64::from_be_bytes(first)
    }

    fn id(&self) -> String {
        format!("chatcmpl-{:016x}", self.prefix_hash())
    }

    fn token(&self, index: u64) -> String {
        let position = usize::try_from(index % 32).unwrap_or_default();
        let mixed = u64::from(self.digest[position]) + index / 32 * 7;
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
