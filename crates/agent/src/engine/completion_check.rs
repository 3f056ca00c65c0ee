//! Checks that a response body is complete.

use ::outlet::Completeness;

/// Trailing bytes of a body that are kept for the check.
const TAIL_BYTES: usize = 4096;

/// The final event of a chat completion stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Checks from the trailing bytes of a response body whether it is complete.
///
/// An engine that is stopped in mid-stream may end its connection cleanly, and a
/// truncated response would pass for a complete one. It then lacks the final
/// event of the stream.
#[derive(Debug)]
pub struct CompletionCheck {
    framing: Framing,
    tail: Vec<u8>,
}

/// How the end of a body is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By the final event of the stream.
    Events,
    /// By the length or chunked encoding of HTTP.
    Framed,
    /// Not at all: the body ends when the connection does.
    Unframed,
}

impl CompletionCheck {
    /// A check for a stream of server-sent events.
    ///
    /// ```
    /// use outlet::Completeness;
    ///
    /// let mut check = agent::engine::CompletionCheck::events();
    /// check.push(b"data: {}\n\n");
    /// assert_eq!(check.completeness(), Completeness::Truncated);
    /// check.push(b"data: [DONE]\n\n");
    /// assert_eq!(check.completeness(), Completeness::Complete);
    /// ```
    #[must_use]
    pub fn events() -> Self {
        CompletionCheck::new(Framing::Events)
    }

    /// A check for a body whose length is given by HTTP.
    #[must_use]
    pub fn framed() -> Self {
        CompletionCheck::new(Framing::Framed)
    }

    /// A check for a body that ends when its connection does, of which it is never
    /// known whether it is complete.
    #[must_use]
    pub fn unframed() -> Self {
        CompletionCheck::new(Framing::Unframed)
    }

    fn new(framing: Framing) -> Self {
        CompletionCheck {
            framing,
            tail: Vec::new(),
        }
    }

    /// Adds the next bytes of the body.
    pub fn push(&mut self, data: &[u8]) {
        let last = &data[data.len().saturating_sub(TAIL_BYTES)..];
        let surplus = (self.tail.len() + last.len()).saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus.min(self.tail.len()));
        self.tail.extend_from_slice(last);
    }

    /// Whether the bytes so far are a complete body, given that it has ended.
    #[must_use]
    pub fn completeness(&self) -> Completeness {
        match self.framing {
            Framing::Events if self.ends_with_done_event() => Completeness::Complete,
            Framing::Events => Completeness::Truncated,
            Framing::Framed => Completeness::Complete,
            Framing::Unframed => Completeness::Unknown,
        }
    }

    /// The trailing bytes of the body.
    #[must_use]
    pub fn tail(&self) -> &[u8] {
        &self.tail
    }

    fn ends_with_done_event(&self) -> bool {
        let text = self.tail.trim_ascii_end();
        let ended = self.tail.len() >= text.len() + 2;
        let Some(before) = text.strip_suffix(DONE_EVENT) else {
            return false;
        };
        ended && (before.is_empty() || before.ends_with(b"\n"))
    }
}
