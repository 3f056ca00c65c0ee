//! The accepted notes and the resulting catalogue.

use std::collections::BTreeMap;

use bytes::Bytes;
use cfg::{Findings, Reader};
use serde_json::{Value, json};

use crate::{AcceptedNote, Catalogue, Digest, Note, Submission};

/// Maximum number of notes whose operator and digest are kept: ten days at 390
/// notes per day.
const MAX_RECORDS: usize = 4_096;

/// Maximum total size of the note contents kept for nodes that catch up, in
/// bytes. Nodes that are further behind fetch the whole catalogue.
const MAX_CONTENT_BYTES: usize = 8 << 20;

/// Maximum length of a stored operator name, in characters; longer names are truncated.
const MAX_OPERATOR_CHARS: usize = 128;

/// The accepted notes, ordered by number, and the resulting catalogue.
///
/// Submission is deterministic: replicas that process the same submissions in
/// the same order have equal histories.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    catalogue: Catalogue,
    accepted: BTreeMap<u64, AcceptedNote>,
    contents: BTreeMap<u64, Bytes>,
    content_bytes: usize,
}

impl History {
    /// Returns the current catalogue.
    ///
    /// ```
    /// assert_eq!(note::History::default().catalogue().number(), 0);
    /// ```
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Validates and applies a note atomically.
    ///
    /// When operators submit different notes with the same number, the first one
    /// in the log wins. A note that is resubmitted because its answer was lost
    /// gets the original answer, even if later notes have been accepted since.
    ///
    /// ```
    /// use note::{History, Submission};
    ///
    /// let mut history = History::default();
    /// let first = history.submit(br#"{"number": 1}"#, "anna");
    /// assert!(matches!(first, Submission::Accepted(_)));
    /// let again = history.submit(br#"{"number": 1, "added": []}"#, "anna");
    /// assert!(matches!(again, Submission::Repeated(_)));
    /// let early = history.submit(br#"{"number": 3}"#, "anna");
    /// assert_eq!(early, Submission::Gap(2));
    /// ```
    pub fn submit(&mut self, json: &[u8], operator: &str) -> Submission {
        let note = match Note::from_slice(json) {
            Ok(note) => note,
            Err(findings) => return Submission::Invalid(findings),
        };
        let (number, digest) = (note.number(), note.digest());
        let next = self.catalogue.number().saturating_add(1);
        if number > next || number == 0 {
            return Submission::Gap(next);
        }
        if number < next {
            let holder = self.accepted.get(&number).cloned();
            return match holder {
                Some(holder) if holder.digest == digest => Submission::Repeated(holder),
                holder => Submission::Conflict(holder),
            };
        }
        let checked = match self.catalogue.check_note(note) {
            Ok(checked) => checked,
            Err(findings) => return Submission::Invalid(findings),
        };
        self.catalogue.apply(&checked);
        let operator = operator.chars().take(MAX_OPERATOR_CHARS).collect();
        let accepted = AcceptedNote { digest, operator };
        self.record(number, accepted.clone(), checked.to_json());
        Submission::Accepted(accepted)
    }

    /// Returns the record of the note with this number, if it is still kept.
    ///
    /// ```
    /// let mut history = note::History::default();
    /// history.submit(br#"{"number": 1}"#, "anna");
    /// assert_eq!(history.accepted(1).unwrap().operator, "anna");
    /// ```
    #[must_use]
    pub fn accepted(&self, number: u64) -> Option<&AcceptedNote> {
        self.accepted.get(&number)
    }

    /// Returns the canonical JSON of the note with this number, if it is still kept.
    ///
    /// ```
    /// assert!(note::History::default().content(1).is_none());
    /// ```
    #[must_use]
    pub fn content(&self, number: u64) -> Option<&Bytes> {
        self.contents.get(&number)
    }

    /// Returns the notes after a number, in order. Returns `None` if some of them
    /// are no longer kept; the whole catalogue must be sent instead.
    ///
    /// ```
    /// let mut history = note::History::default();
    /// history.submit(br#"{"number": 1}"#, "anna");
    /// assert_eq!(history.notes_after(0).unwrap().len(), 1);
    /// assert_eq!(history.notes_after(1).unwrap().len(), 0);
    /// ```
    #[must_use]
    pub fn notes_after(&self, number: u64) -> Option<Vec<Bytes>> {
        let expected = self.catalogue.number().saturating_sub(number);
        let notes = self.contents.range(number.saturating_add(1)..);
        let notes: Vec<Bytes> = notes.map(|(_, json)| json.clone()).collect();
        (u64::try_from(notes.len()) == Ok(expected)).then_some(notes)
    }

    /// Serializes the history as canonical JSON, for a replica's snapshot.
    ///
    /// ```
    /// let mut history = note::History::default();
    /// history.submit(br#"{"number": 1}"#, "anna");
    /// let read = note::History::from_json(&history.to_json()).unwrap();
    /// assert_eq!(read, history);
    /// ```
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let notes = self.accepted.iter().map(|(number, accepted)| {
            let content = self.contents.get(number).map(|json| utf8(json));
            let operator = Some(&accepted.operator).filter(|name| !name.is_empty());
            json!({
                "number": number,
                "digest": accepted.digest.to_string(),
                "operator": operator,
                "content": content,
            })
        });
        let notes: Vec<Value> = notes.collect();
        let catalogue = utf8(&self.catalogue.to_json());
        json!({"catalogue": catalogue, "notes": notes})
            .to_string()
            .into_bytes()
    }

    /// Parses a history written by [`History::to_json`].
    ///
    /// # Errors
    ///
    /// Returns all findings about the structure of the history, or those about its
    /// catalogue.
    ///
    /// ```
    /// assert!(note::History::from_json(b"{}").is_err());
    /// ```
    pub fn from_json(json: &[u8]) -> Result<Self, Findings> {
        let mut r = Reader::from_slice(json)?;
        let catalogue: Option<String> = r.required("catalogue");
        let mut history = History::default();
        for mut note in r.sections("notes") {
            let number = note.required("number");
            let digest: Option<String> = note.required("digest");
            let digest = digest.as_deref().and_then(Digest::from_hex);
            if digest.is_none() {
                note.finding("digest", "expected 64 hexadecimal digits");
            }
            let operator = note.optional("operator").unwrap_or_default();
            let content: Option<String> = note.optional("content");
            if let (Some(number), Some(digest)) = (number, digest) {
                let accepted = AcceptedNote { digest, operator };
                history.accepted.insert(number, accepted);
                history.insert_content(number, content);
            }
        }
        r.finish()?;
        let catalogue = catalogue.unwrap_or_default();
        history.catalogue = Catalogue::from_json(catalogue.as_bytes())?;
        Ok(history)
    }

    fn insert_content(&mut self, number: u64, content: Option<String>) {
        if let Some(content) = content {
            self.content_bytes += content.len();
            self.contents.insert(number, Bytes::from(content));
        }
    }

    fn record(&mut self, number: u64, accepted: AcceptedNote, json: Bytes) {
        self.accepted.insert(number, accepted);
        self.content_bytes += json.len();
        self.contents.insert(number, json);
        while self.accepted.len() > MAX_RECORDS {
            self.accepted.pop_first();
        }
        // Drop contents whose record is gone, and the oldest ones beyond the size limit.
        let oldest = self.accepted.keys().next().copied().unwrap_or(number);
        while let Some(entry) = self.contents.first_entry() {
            if *entry.key() >= oldest && self.content_bytes <= MAX_CONTENT_BYTES {
                break;
            }
            self.content_bytes -= entry.remove().len();
        }
    }
}

/// Converts canonical JSON, which is always valid UTF-8, to a string.
fn utf8(json: &[u8]) -> String {
    String::from_utf8_lossy(json).into_owned()
}
