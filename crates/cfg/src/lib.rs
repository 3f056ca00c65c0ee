//! Validated JSON settings, with all findings reported at once.
//!
//! A [`Reader`] reads one JSON object. Each call reads one key, returns its value
//! or the default, and records errors instead of stopping at the first one.
//! [`Reader::finish`] then reports all findings together, including keys that
//! were not read.
//!
//! ```
//! use std::time::Duration;
//!
//! let json = br#"{"name": "desk-01", "beat_ms": 250, "engine": {"adress": "x"}}"#;
//! let mut r = cfg::Reader::from_slice(json).unwrap();
//! let name: Option<String> = r.required("name");
//! let beat = r.or("beat_ms", Duration::from_millis(200));
//! let mut engine = r.section("engine");
//! let address: Option<String> = engine.optional("address");
//!
//! assert_eq!(name.as_deref(), Some("desk-01"));
//! assert_eq!(beat, Duration::from_millis(250));
//! assert_eq!(address, None);
//! let findings = r.finish().unwrap_err();
//! assert_eq!(
//!     findings.to_string(),
//!     "unknown key, did you mean \"address\"? at engine.adress"
//! );
//! ```

mod field;
mod finding;
mod findings;
mod nearest;
mod reader;
mod strict;
mod tree;

pub use field::Field;
pub use finding::Finding;
pub use findings::Findings;
pub use nearest::nearest;
pub use reader::Reader;
