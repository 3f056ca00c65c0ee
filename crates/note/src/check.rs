//! Whether a note fits the catalogue in force.

use std::collections::{BTreeMap, BTreeSet};

use cfg::Finding;

use crate::{Catalogue, Digest, Item, Kind, Note};

/// Most findings in one report; the rest is counted.
const MOST_FINDINGS: usize = 500;

/// Most names that are searched for a suggestion. Each search costs a
/// comparison with every name, so a large faulty note would stall a replica.
const MOST_SEARCHED: usize = 100_000;

/// A finding's place within a list of the note, and the item there.
type Placed<'a> = (&'static str, usize, &'a Item);

/// Cuts a report that would be too long to send.
pub(crate) fn bounded(mut findings: Vec<Finding>) -> Vec<Finding> {
    if findings.len() > MOST_FINDINGS {
        let further = findings.len() - MOST_FINDINGS;
        findings.truncate(MOST_FINDINGS);
        findings.push(Finding::new("", format!("{further} further findings")));
    }
    findings
}

/// All findings about a note against the catalogue before it.
pub(crate) fn findings(catalogue: &Catalogue, note: &Note) -> Vec<Finding> {
    let mut check = Check::new(catalogue, note);
    check.number();
    check.presence();
    check.references();
    check.still_referred();
    check.keys();
    check.findings
}

/// The note's names in order, and what was found until now.
struct Check<'a> {
    catalogue: &'a Catalogue,
    note: &'a Note,
    added: BTreeSet<(Kind, &'a str)>,
    changed: BTreeSet<(Kind, &'a str)>,
    withdrawn: BTreeMap<(Kind, &'a str), usize>,
    searched: usize,
    findings: Vec<Finding>,
}

impl<'a> Check<'a> {
    fn new(catalogue: &'a Catalogue, note: &'a Note) -> Self {
        let names = |items: &'a [Item]| items.iter().map(|item| (item.kind(), item.name()));
        let withdrawn = note.withdrawn.iter().enumerate();
        let withdrawn =
            withdrawn.map(|(position, gone)| ((gone.kind, gone.name.as_str()), position));
        Check {
            catalogue,
            note,
            added: names(&note.added).collect(),
            changed: names(&note.changed).collect(),
            withdrawn: withdrawn.collect(),
            searched: 0,
            findings: Vec::new(),
        }
    }

    fn find(&mut self, place: String, message: String) {
        self.findings.push(Finding::new(place, message));
    }

    fn placed(&self) -> impl Iterator<Item = Placed<'a>> + use<'a> {
        let note = self.note;
        let added = note.added.iter().enumerate();
        let added = added.map(|(position, item)| ("added", position, item));
        let changed = note.changed.iter().enumerate();
        added.chain(changed.map(|(position, item)| ("changed", position, item)))
    }

    fn number(&mut self) {
        let next = self.catalogue.number().saturating_add(1);
        if self.note.number != next {
            let message = format!("must be {next}, the next number, is {}", self.note.number);
            self.find("number".to_owned(), message);
        }
    }

    /// What is added must be new; what is changed or withdrawn must be there.
    fn presence(&mut self) {
        for (list, position, item) in self.placed() {
            let (kind, name) = (item.kind(), item.name());
            let place = format!("{list}[{position}].name");
            let held = self.catalogue.holds(kind, name);
            if list == "added" && held {
                let message = format!("{kind} {name:?} is on offer already, list it under changed");
                self.find(place, message);
            } else if list == "changed" && !held {
                self.unknown(kind, name, place);
            }
        }
        for (position, gone) in self.note.withdrawn.iter().enumerate() {
            if !self.catalogue.holds(gone.kind, &gone.name) {
                self.unknown(gone.kind, &gone.name, format!("withdrawn[{position}].name"));
            }
        }
    }

    /// What the note's own items refer to must be there once it applies.
    fn references(&mut self) {
        for (list, position, item) in self.placed() {
            let Some((kind, name)) = item.reference() else {
                continue;
            };
            let place = format!("{list}[{position}].{kind}");
            if self.withdrawn.contains_key(&(kind, name)) {
                self.find(place, format!("{kind} {name:?} is withdrawn by this note"));
            } else if !self.added.contains(&(kind, name)) && !self.catalogue.holds(kind, name) {
                self.unknown(kind, name, place);
            }
        }
    }

    /// What the note withdraws must not be referred to by what stays as it is.
    fn still_referred(&mut self) {
        for item in self.catalogue.items() {
            let Some((kind, name)) = item.reference() else {
                continue;
            };
            let (by, by_name) = (item.kind(), item.name());
            let Some(position) = self.withdrawn.get(&(kind, name)).copied() else {
                continue;
            };
            if !self.replaces(by, by_name) {
                let message = format!("{kind} {name:?} is still referred to by {by} {by_name:?}");
                self.find(format!("withdrawn[{position}]"), message);
            }
        }
    }

    /// Two accounts with one key could not be told apart: one would be served
    /// at the other's expense.
    fn keys(&mut self) {
        let mut holders: BTreeMap<Digest, &str> = BTreeMap::new();
        for account in self.catalogue.accounts() {
            if !self.replaces(Kind::Account, &account.name) {
                holders.insert(account.key_sha256, &account.name);
            }
        }
        for (list, position, item) in self.placed() {
            let Item::Account(account) = item else {
                continue;
            };
            if let Some(holder) = holders.get(&account.key_sha256) {
                let message = format!("is the key of account {holder:?} already");
                self.find(format!("{list}[{position}].key_sha256"), message);
            } else {
                holders.insert(account.key_sha256, &account.name);
            }
        }
    }

    /// Whether the note changes or withdraws this item of the catalogue.
    fn replaces(&self, kind: Kind, name: &str) -> bool {
        self.changed.contains(&(kind, name)) || self.withdrawn.contains_key(&(kind, name))
    }

    fn unknown(&mut self, kind: Kind, name: &str, place: String) {
        let message = match self.nearest(kind, name) {
            Some(near) => format!("unknown {kind} {name:?}, did you mean {near:?}?"),
            None => format!("unknown {kind} {name:?}"),
        };
        self.find(place, message);
    }

    fn nearest(&mut self, kind: Kind, name: &str) -> Option<&'a str> {
        let added = self.added.range((kind, "")..);
        let added = added.take_while(|(of, _)| *of == kind);
        let mut known: Vec<&'a str> = added.map(|(_, name)| *name).collect();
        known.extend(self.catalogue.names(kind));
        self.searched += known.len();
        if self.searched > MOST_SEARCHED {
            return None;
        }
        cfg::nearest(name, known)
    }
}
