//! The requests of the load.

use bytes::Bytes;

/// A request of the load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// A streamed model request.
    Chat {
        /// JSON body.
        body: Bytes,
        /// Expected number of tokens in the response.
        tokens: u32,
    },
    /// A read from the plain service.
    Read {
        /// Path at the entry.
        path: String,
    },
    /// A non-repeatable call.
    Write {
        /// Path at the entry.
        path: String,
        /// Idempotency key.
        key: String,
        /// Request body.
        body: Bytes,
        /// Whether the caller sends it more than once.
        resend: Resend,
    },
}

/// Whether a caller sends a non-repeatable call more than once, with the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resend {
    /// Only if it gets no final response.
    Never,
    /// Again after the response, as if that had been lost.
    AfterAnswer,
    /// Twice at the same time, through two entries.
    Concurrent,
}
