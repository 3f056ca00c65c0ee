//! Commands and queries on release notes.

use super::StateMachine;
use bytes::Bytes;
use note::{AcceptedNote, Submission};
use wire::proto::note_outcome::Kind;
use wire::proto::{Finding, NoteOutcome, Notes, SubmitNote};

/// Maximum size of the notes in one answer, in bytes. Beyond it the whole catalogue
/// is shorter and is sent instead.
const MAX_NOTE_BYTES: usize = 4 << 20;

impl StateMachine {
    pub(super) fn submit_note(&mut self, note: &SubmitNote) -> NoteOutcome {
        let submission = self.history.submit(&note.json, &note.operator);
        let newest = self.history.catalogue().number();
        match submission {
            Submission::Accepted(accepted) => note_outcome(Kind::Accepted, newest, Some(&accepted)),
            Submission::Repeated(first) => {
                note_outcome(Kind::Repeated, number_of(&note.json), Some(&first))
            }
            Submission::Conflict(first) => {
                note_outcome(Kind::Conflict, number_of(&note.json), first.as_ref())
            }
            Submission::Gap(next) => note_outcome(Kind::Gap, next, None),
            Submission::Invalid(findings) => NoteOutcome {
                findings: findings.iter().map(finding).collect(),
                ..note_outcome(Kind::Invalid, newest, None)
            },
        }
    }

    /// Returns the notes after a number, or the whole catalogue if they are no
    /// longer kept or too large.
    pub(crate) fn notes_after(&self, after: u64) -> Notes {
        let number = self.history.catalogue().number();
        let notes = self.history.notes_after(after).unwrap_or_default();
        let size: usize = notes.iter().map(Bytes::len).sum();
        let complete = after.saturating_add(notes.len() as u64) == number;
        if after >= number || complete && size <= MAX_NOTE_BYTES {
            return Notes {
                notes,
                snapshot: Bytes::new(),
                number,
            };
        }
        Notes {
            notes: Vec::new(),
            snapshot: self.history.catalogue().to_json().into(),
            number,
        }
    }
}

fn note_outcome(kind: Kind, number: u64, accepted: Option<&AcceptedNote>) -> NoteOutcome {
    NoteOutcome {
        kind: kind.into(),
        number,
        operator: accepted.map(|a| a.operator.clone()).unwrap_or_default(),
        digest: accepted.map_or_else(Bytes::new, |a| Bytes::copy_from_slice(a.digest.as_bytes())),
        findings: Vec::new(),
    }
}

fn number_of(json: &[u8]) -> u64 {
    note::Note::from_slice(json).map_or(0, |note| note.number())
}

fn finding(finding: &note::Finding) -> Finding {
    Finding {
        place: finding.place.clone(),
        message: finding.message.clone(),
    }
}
