//! Whether an answer that ended is whole.

/// Last bytes of an answer that are looked at.
const TAIL: usize = 4096;

/// The last event of a stream of chat completions.
const DONE: &[u8] = b"data: [DONE]";

/// Follows an answer's bytes and tells whether it ended as it should.
///
/// An engine that is stopped in mid-stream may end its connection properly.
/// The caller would take half an answer for a whole one; what is missing then
/// is the stream's own last event.
#[derive(Debug)]
pub struct Whole {
    form: Form,
    tail: Vec<u8>,
}

/// What shows that an answer is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// The last event of a stream.
    Events,
    /// The length that HTTP gives.
    Framed,
    /// Nothing: it ends when the connection does.
    Unframed,
}

impl Whole {
    /// Follows a stream of server-sent events.
    ///
    /// ```
    /// let mut whole = agent::engine::Whole::events();
    /// whole.push(b"data: {}\n\n");
    /// assert!(!whole.is_whole());
    /// whole.push(b"data: [DONE]\n\n");
    /// assert!(whole.is_whole());
    /// ```
    #[must_use]
    pub fn events() -> Self {
        Whole::new(Form::Events)
    }

    /// Follows a body whose length HTTP tells.
    #[must_use]
    pub fn framed() -> Self {
        Whole::new(Form::Framed)
    }

    /// Follows a body that ends when its connection does: whether it is whole
    /// can't be known.
    #[must_use]
    pub fn unframed() -> Self {
        Whole::new(Form::Unframed)
    }

    fn new(form: Form) -> Self {
        Whole {
            form,
            tail: Vec::new(),
        }
    }

    /// Takes the next bytes.
    pub fn push(&mut self, data: &[u8]) {
        let last = &data[data.len().saturating_sub(TAIL)..];
        let surplus = (self.tail.len() + last.len()).saturating_sub(TAIL);
        self.tail.drain(..surplus.min(self.tail.len()));
        self.tail.extend_from_slice(last);
    }

    /// Whether the bytes so far are a whole answer.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        match self.form {
            Form::Events => self.ends_with_done(),
            Form::Framed => true,
            Form::Unframed => false,
        }
    }

    /// The last bytes of the answer.
    #[must_use]
    pub fn tail(&self) -> &[u8] {
        &self.tail
    }

    fn ends_with_done(&self) -> bool {
        let text = self.tail.trim_ascii_end();
        let ended = self.tail.len() >= text.len() + 2;
        let Some(before) = text.strip_suffix(DONE) else {
            return false;
        };
        ended && (before.is_empty() || before.ends_with(b"\n"))
    }
}
