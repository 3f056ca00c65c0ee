//! Incremental parser for server-sent events.

use bytes::BytesMut;

/// Prefix of a data line.
const DATA_PREFIX: &[u8] = b"data:";

/// Extracts server-sent events from bytes as they arrive.
///
/// ```
/// let mut parser = lovageramp::bench::SseParser::default();
/// parser.push(b"data: a\n\nda");
/// parser.push(b"ta: b\n\n");
/// assert_eq!(parser.next().as_deref(), Some("a"));
/// assert_eq!(parser.next().as_deref(), Some("b"));
/// assert_eq!(parser.next(), None);
/// ```
#[derive(Debug, Default)]
pub struct SseParser {
    buf: BytesMut,
}

impl SseParser {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }
}

impl Iterator for SseParser {
    type Item = String;

    /// Returns the data of the next complete event.
    fn next(&mut self) -> Option<String> {
        let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
        let event = self.buf.split_to(end + 2).freeze();
        let lines = event.as_ref().split(|byte| *byte == b'\n');
        let data = lines.filter_map(|line| line.strip_prefix(DATA_PREFIX));
        let data: Vec<String> = data
            .map(|line| String::from_utf8_lossy(line.trim_ascii()).into_owned())
            .collect();
        Some(data.join("\n"))
    }
}
