//! JSON settings, checked, with every finding reported at once.
//!
//! A [`Reader`] walks one JSON object. Each call asks for one key, gives its
//! value or the default, and writes down what is wrong instead of stopping
//! there. [`Reader::finish`] then reports all findings together, keys that
//! nobody asked for among them.
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
