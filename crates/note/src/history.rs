//! The accepted notes and the catalogue they make.

use std::collections::BTreeMap;

use bytes::Bytes;
use cfg::{Findings, Reader};
use serde_json::{Value, json};

use crate::{AcceptedNote, Catalogue, Digest, Note, Submission};

/// Numbers whose sender and digest are remembered: ten days at 390 a day.
const MOST_REMEMBERED: usize = 4_096;

/// Bytes of note content that are kept for nodes that catch up. A node that
/// is further behind takes the whole catalogue.
const MOST_KEPT_BYTES: usize = 8 << 20;

/// Longest name of an operator that is kept, in characters.
const MOST_OPERATOR_CHARS: usize = 128;

/// The accepted notes in order of number, and the catalogue they make.
///
/// Submitting is deterministic: replicas that take the same submissions in
/// the same order are equal.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    catalogue: Catalogue,
    accepted: BTreeMap<u64, AcceptedNote>,
    contents: BTreeMap<u64, Bytes>,
    kept_bytes: usize,
}

impl History {
    /// The catalogue in force.
    ///
    /// ```
    /// assert_eq!(note::History::default().catalogue().number(), 0);
    /// ```
    #[must_use]
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Takes a note, whole or not at all.
    ///
    /// The number decides between operators who race: the first in the log
    /// holds it. A note sent again, because its answer was lost, gets the
    /// first answer even when later notes were accepted since.
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
        let operator = operator.chars().take(MOST_OPERATOR_CHARS).collect();
        let accepted = AcceptedNote { digest, operator };
        self.keep(number, accepted.clone(), checked.to_json());
        Submission::Accepted(accepted)
    }

    /// What is remembered of the note of this number.
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

    /// The canonical JSON of the note of this number, while it is kept.
    ///
    /// ```
    /// assert!(note::History::default().content(1).is_none());
    /// ```
    #[must_use]
    pub fn content(&self, number: u64) -> Option<&Bytes> {
        self.contents.get(&number)
    }

    /// The notes after a number, in order; `None` when they are no longer all
    /// kept, and the whole catalogue must be sent instead.
    ///
    /// ```
    /// let mut history = note::History::default();
    /// history.submit(br#"{"number": 1}"#, "anna");
    /// assert_eq!(history.notes_after(0).unwrap().len(), 1);
    /// assert_eq!(history.notes_after(1).unwrap().len(), 0);
    /// ```
    #[must_use]
    pub fn notes_after(&self, number: u64) -> Option<Vec<Bytes>> {
        let wanted = self.catalogue.number().saturating_sub(number);
        let notes = self.contents.range(number.saturating_add(1)..);
        let notes: Vec<Bytes> = notes.map(|(_, json)| json.clone()).collect();
        (u64::try_from(notes.len()) == Ok(wanted)).then_some(notes)
    }

    /// The whole history in canonical JSON, for a replica's snapshot.
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
            let content = self.contents.get(number).map(|json| text(json));
            let operator = Some(&accepted.operator).filter(|name| !name.is_empty());
            json!({
                "number": number,
                "digest": accepted.digest.to_string(),
                "operator": operator,
                "content": content,
            })
        });
        let notes: Vec<Value> = notes.collect();
        let catalogue = text(&self.catalogue.to_json());
        json!({"catalogue": catalogue, "notes": notes})
            .to_string()
            .into_bytes()
    }

    /// Reads a history that [`History::to_json`] wrote.
    ///
    /// # Errors
    ///
    /// All findings of the history's shape, or those of its catalogue.
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
                history.keep_content(number, content);
            }
        }
        r.finish()?;
        let catalogue = catalogue.unwrap_or_default();
        history.catalogue = Catalogue::from_json(catalogue.as_bytes())?;
        Ok(history)
    }

    fn keep_content(&mut self, number: u64, content: Option<String>) {
        if let Some(content) = content {
            self.kept_bytes += content.len();
            self.contents.insert(number, Bytes::from(content));
        }
    }

    fn keep(&mut self, number: u64, accepted: AcceptedNote, json: Bytes) {
        self.accepted.insert(number, accepted);
        self.kept_bytes += json.len();
        self.contents.insert(number, json);
        while self.accepted.len() > MOST_REMEMBERED {
            self.accepted.pop_first();
        }
        // Contents outlive neither their record nor the bound on bytes.
        let first = self.accepted.keys().next().copied().unwrap_or(number);
        while let Some(entry) = self.contents.first_entry() {
            if *entry.key() >= first && self.kept_bytes <= MOST_KEPT_BYTES {
                break;
            }
            self.kept_bytes -= entry.remove().len();
        }
    }
}

/// Canonical JSON is UTF-8 by construction.
fn text(json: &[u8]) -> String {
    String::from_utf8_lossy(json).into_owned()
}
