//! Release notes.

use super::Machine;
use bytes::Bytes;
use note::{AcceptedNote, Submission};
use wire::proto::note_outcome::Kind;
use wire::proto::{Finding, NoteOutcome, Notes, SubmitNote};

/// Bytes of notes in one answer at most; beyond it the catalogue is shorter.
const MOST_NOTE_BYTES: usize = 4 << 20;

impl Machine {
    pub(super) fn submit_note(&mut self, note: &SubmitNote) -> NoteOutcome {
        let submission = self.history.submit(&note.json, &note.operator);
        let newest = self.history.catalogue().number();
        match submission {
            Submission::Accepted(by) => held(Kind::Accepted, newest, Some(&by)),
            Submission::Repeated(by) => held(Kind::Repeated, number_of(&note.json), Some(&by)),
            Submission::Conflict(by) => held(Kind::Conflict, number_of(&note.json), by.as_ref()),
            Submission::Gap(next) => held(Kind::Gap, next, None),
            Submission::Invalid(findings) => NoteOutcome {
                findings: findings.iter().map(finding).collect(),
                ..held(Kind::Invalid, newest, None)
            },
        }
    }

    /// The notes after a number, or the whole catalogue to one far behind.
    pub(crate) fn notes_after(&self, after: u64) -> Notes {
        let number = self.history.catalogue().number();
        let notes = self.history.notes_after(after).unwrap_or_default();
        let size: usize = notes.iter().map(Bytes::len).sum();
        let whole = after.saturating_add(notes.len() as u64) == number;
        if after >= number || whole && size <= MOST_NOTE_BYTES {
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

fn held(kind: Kind, number: u64, by: Option<&AcceptedNote>) -> NoteOutcome {
    NoteOutcome {
        kind: kind.into(),
        number,
        operator: by.map(|by| by.operator.clone()).unwrap_or_default(),
        digest: by.map_or_else(Bytes::new, |by| {
            Bytes::copy_from_slice(by.digest.as_bytes())
        }),
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
