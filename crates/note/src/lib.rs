//! Release notes and the catalogue that results from them.
//!
//! A release note lists the items that it adds, changes and withdraws. A note is
//! first validated against the current [`Catalogue`], reporting all findings at
//! once, and then applied atomically. [`History`] accepts notes in order of their
//! number and resolves resubmitted and conflicting ones; replicas that process the
//! same submissions in the same order hold equal histories.
//!
//! ```
//! let json = br#"{"number": 1, "added": [
//!     {"kind": "model", "name": "burl-notes", "versions": ["2026-11"]},
//!     {"kind": "group", "name": "blank-advisor", "model": "burl-notes",
//!      "ranks": 16, "layers": 4, "experts": 128, "spare_slots": 1}
//! ]}"#;
//! let mut catalogue = note::Catalogue::default();
//! let checked = catalogue.check(json).unwrap();
//! catalogue.apply(&checked);
//! assert_eq!(catalogue.number(), 1);
//! assert_eq!(catalogue.groups_for("burl-notes").count(), 1);
//!
//! let faulty = br#"{"number": 2, "withdrawn": [{"kind": "model", "name": "burl-notes"}]}"#;
//! let findings = catalogue.check(faulty).unwrap_err();
//! assert_eq!(
//!     findings[0].to_string(),
//!     "model \"burl-notes\" is still referred to by group \"blank-advisor\" at withdrawn[0]"
//! );
//! ```

mod accepted_note;
mod account;
mod assignment;
mod catalogue;
mod check;
mod checked_note;
mod digest;
mod group;
mod history;
mod item;
mod kind;
mod model;
mod name;
mod note;
mod service;
mod submission;
mod target;
mod weights;
mod withdrawal;

pub use accepted_note::AcceptedNote;
pub use account::Account;
pub use assignment::Assignment;
pub use catalogue::Catalogue;
pub use cfg::{Finding, Findings};
pub use checked_note::CheckedNote;
pub use digest::Digest;
pub use group::Group;
pub use history::History;
pub use item::Item;
pub use kind::Kind;
pub use model::Model;
pub use note::Note;
pub use service::Service;
pub use submission::Submission;
pub use target::Target;
pub use weights::Weights;
pub use withdrawal::Withdrawal;
