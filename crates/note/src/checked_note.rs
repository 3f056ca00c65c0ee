//! A release note that was checked against the catalogue in force.

use bytes::Bytes;

use crate::{Digest, Note};

/// A note that fits the catalogue it was checked against, which is the one of
/// the number before; only [`Catalogue::check`](crate::Catalogue::check)
/// makes one.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedNote(pub(crate) Note);

impl CheckedNote {
    /// The note's number.
    ///
    /// ```
    /// let checked = note::Catalogue::default().check(br#"{"number": 1}"#).unwrap();
    /// assert_eq!(checked.number(), 1);
    /// ```
    #[must_use]
    pub fn number(&self) -> u64 {
        self.0.number
    }

    /// Digest of the note's content.
    ///
    /// ```
    /// let checked = note::Catalogue::default().check(br#"{"number": 1}"#).unwrap();
    /// assert_eq!(checked.digest(), note::Digest::of(&checked.to_json()));
    /// ```
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.0.digest()
    }

    /// The note in canonical JSON.
    ///
    /// ```
    /// let checked = note::Catalogue::default().check(br#"{"number": 1}"#).unwrap();
    /// assert_eq!(&checked.to_json()[..], br#"{"added":[],"changed":[],"number":1,"withdrawn":[]}"#);
    /// ```
    #[must_use]
    pub fn to_json(&self) -> Bytes {
        self.0.to_json()
    }
}
