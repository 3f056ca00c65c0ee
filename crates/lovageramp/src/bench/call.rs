//! What one request asks for.

use bytes::Bytes;

/// What one request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// A streamed model request.
    Chat {
        /// The request's JSON.
        body: Bytes,
        /// Tokens that the answer should have.
        tokens: u32,
    },
    /// A read at the plain service.
    Read {
        /// Path at the entry.
        path: String,
    },
    /// A call that may not be repeated.
    Write {
        /// Path at the entry.
        path: String,
        /// The idempotency key.
        key: String,
        /// Its body.
        body: Bytes,
        /// Whether its caller sends it more than once.
        resend: Resend,
    },
}

/// Whether a caller sends a non-repeatable call more than once, with one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resend {
    /// Only when it gets no final answer.
    Never,
    /// After the answer, as if that had been lost.
    AfterAnswer,
    /// Twice at the same time, through two entries.
    Concurrent,
}
