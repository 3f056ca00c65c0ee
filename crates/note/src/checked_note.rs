//! A release note that was validated against a catalogue.

use bytes::Bytes;

use crate::{Digest, Note};

/// A note that is valid for the catalogue it was checked against, which has the
/// preceding number. Created by [`Catalogue::check`](crate::Catalogue::check)
/// and [`Catalogue::check_note`](crate::Catalogue::check_note) only.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedNote(pub(crate) Note);

impl CheckedNote {
    /// Returns the note's number.
    ///
    /// ```
    /// let checked = note::Catalogue::default().check(br#"{"number": 1}"#).unwrap();
    /// assert_eq!(checked.number(), 1);
    /// ```
    #[must_use]
    pub fn number(&self) -> u64 {
        self.0.number
    }

    /// Returns the digest of the note's canonical JSON.
    ///
    /// ```
    /// let checked = note::Catalogue::default().check(br#"{"number": 1}"#).unwrap();
    /// assert_eq!(checked.digest(), note::Digest::of(&checked.to_json()));
    /// ```
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.0.digest()
    }

    /// Serializes the note as canonical JSON.
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
