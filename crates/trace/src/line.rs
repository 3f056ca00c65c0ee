//! Formats of log lines.

use std::io::{self, Write};

use flexi_logger::DeferredNow;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

const TIMESTAMP_FORMAT: &str = "%Y-%m-%d %H:%M:%S%.6f %:z";

/// Writes a record as a JSON object. The record's key-value pairs, such as the
/// request id, become members next to `level`, `timestamp`, `module_path`, `line`
/// and `text`.
///
/// ```
/// let mut line = Vec::new();
/// let values = [("request", "4ca817f0")];
/// let record = log::Record::builder()
///     .level(log::Level::Info)
///     .args(format_args!("answered"))
///     .key_values(&values)
///     .build();
/// trace::json_line(&mut line, &mut flexi_logger::DeferredNow::new(), &record)?;
/// let line: serde_json::Value = serde_json::from_slice(&line).unwrap();
/// assert_eq!(line["request"], "4ca817f0");
/// assert_eq!(line["text"], "answered");
/// # std::io::Result::Ok(())
/// ```
///
/// # Errors
///
/// Returns an error if the line can't be written.
pub fn json_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    json_line_with_left_out(w, now, record, 0)
}

/// Like [`json_line`], with a member `left_out` if lines of the same call site were
/// left out before it.
pub(crate) fn json_line_with_left_out(
    w: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record,
    left_out: u64,
) -> io::Result<()> {
    let mut fields = Fields::of(record);
    if left_out > 0 {
        fields.0.insert("left_out".to_owned(), json!(left_out));
    }
    let mut add = |name: &str, value| fields.0.insert(name.to_owned(), value);
    add("level", json!(record.level().as_str()));
    add("timestamp", json!(now.format(TIMESTAMP_FORMAT).to_string()));
    add("module_path", json!(record.module_path()));
    add("line", json!(record.line()));
    add("text", json!(record.args().to_string()));
    serde_json::to_writer(w, &fields.0).map_err(io::Error::from)
}

/// Maximum length of the text of a truncated line, in bytes.
const MAX_TRUNCATED_TEXT_BYTES: usize = 1_000;

/// Writes a record that is too long: truncates its text and omits its key-value pairs.
pub(crate) fn truncated_json_line(
    w: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record,
) -> io::Result<()> {
    let text = record.args().to_string();
    let len = text.floor_char_boundary(MAX_TRUNCATED_TEXT_BYTES);
    let line = json!({
        "level": record.level().as_str(),
        "timestamp": now.format(TIMESTAMP_FORMAT).to_string(),
        "module_path": record.module_path(),
        "line": record.line(),
        "text": &text[..len],
        "cut": true,
    });
    serde_json::to_writer(w, &line).map_err(io::Error::from)
}

/// Writes a record as a line of text, followed by its key-value pairs.
///
/// ```
/// let mut line = Vec::new();
/// let values = [("request", "4ca817f0")];
/// let record = log::Record::builder()
///     .args(format_args!("answered"))
///     .key_values(&values)
///     .build();
/// trace::text_line(&mut line, &mut flexi_logger::DeferredNow::new(), &record)?;
/// assert!(line.ends_with(b"answered request=4ca817f0"));
/// # std::io::Result::Ok(())
/// ```
///
/// # Errors
///
/// Returns an error if the line can't be written.
pub fn text_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    flexi_logger::detailed_format(w, now, record)?;
    for (name, value) in Fields::of(record).0 {
        match value {
            serde_json::Value::String(text) => write!(w, " {name}={text}")?,
            value => write!(w, " {name}={value}")?,
        }
    }
    Ok(())
}

/// The key-value pairs of a record.
struct Fields(Map<String, serde_json::Value>);

impl Fields {
    fn of(record: &Record) -> Self {
        let mut fields = Fields(Map::new());
        // `visit_pair` never fails.
        let _ = record.key_values().visit(&mut fields);
        fields
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_i64()) {
            (Some(number), _) => json!(number),
            (None, Some(number)) => json!(number),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
