//! Validation of a note against the current catalogue.

use std::collections::{BTreeMap, BTreeSet};

use cfg::Finding;

use crate::{Catalogue, Digest, Item, Kind, Note};

/// Maximum number of findings in one report; further ones are only counted.
const MAX_FINDINGS: usize = 500;

/// Maximum number of names compared to suggest corrections. Each suggestion
/// compares every known name, so a large invalid note would stall a replica.
const MAX_COMPARED_NAMES: usize = 100_000;

/// An item of the note with its list and its index in that list.
type ListedItem<'a> = (&'static str, usize, &'a Item);

/// Truncates a report that would be too long to send.
pub(crate) fn truncate(mut findings: Vec<Finding>) -> Vec<Finding> {
    if findings.len() > MAX_FINDINGS {
        let omitted = findings.len() - MAX_FINDINGS;
        findings.truncate(MAX_FINDINGS);
        findings.push(Finding::new("", format!("{omitted} further findings")));
    }
    findings
}

/// Returns all findings about a note, checked against the catalogue it applies to.
pub(crate) fn findings(catalogue: &Catalogue, note: &Note) -> Vec<Finding> {
    let mut validator = Validator::new(catalogue, note);
    validator.check_number();
    validator.check_existence();
    validator.check_references();
    validator.check_withdrawn_references();
    validator.check_unique_keys();
    validator.findings
}

/// The state of one validation: the indexed names of the note and the findings so far.
struct Validator<'a> {
    catalogue: &'a Catalogue,
    note: &'a Note,
    added: BTreeSet<(Kind, &'a str)>,
    changed: BTreeSet<(Kind, &'a str)>,
    withdrawn: BTreeMap<(Kind, &'a str), usize>,
    compared_names: usize,
    findings: Vec<Finding>,
}

impl<'a> Validator<'a> {
    fn new(catalogue: &'a Catalogue, note: &'a Note) -> Self {
        let names = |items: &'a [Item]| items.iter().map(|item| (item.kind(), item.name()));
        let withdrawn = note.withdrawn.iter().enumerate();
        let withdrawn = withdrawn
            .map(|(position, withdrawal)| ((withdrawal.kind, withdrawal.name.as_str()), position));
        Validator {
            catalogue,
            note,
            added: names(&note.added).collect(),
            changed: names(&note.changed).collect(),
            withdrawn: withdrawn.collect(),
            compared_names: 0,
            findings: Vec::new(),
        }
    }

    fn add_finding(&mut self, place: String, message: String) {
        self.findings.push(Finding::new(place, message));
    }

    fn listed_items(&self) -> impl Iterator<Item = ListedItem<'a>> + use<'a> {
        let note = self.note;
        let added = note.added.iter().enumerate();
        let added = added.map(|(position, item)| ("added", position, item));
        let changed = note.changed.iter().enumerate();
        added.chain(changed.map(|(position, item)| ("changed", position, item)))
    }

    fn check_number(&mut self) {
        let next = self.catalogue.number().saturating_add(1);
        if self.note.number != next {
            let message = format!("must be {next}, the next number, is {}", self.note.number);
            self.add_finding("number".to_owned(), message);
        }
    }

    /// Added items must be new; changed and withdrawn items must exist.
    fn check_existence(&mut self) {
        for (list, position, item) in self.listed_items() {
            let (kind, name) = (item.kind(), item.name());
            let place = format!("{list}[{position}].name");
            let exists = self.catalogue.contains(kind, name);
            if list == "added" && exists {
                let message = format!("{kind} {name:?} is on offer already, list it under changed");
                self.add_finding(place, message);
            } else if list == "changed" && !exists {
                self.add_unknown(kind, name, place);
            }
        }
        for (position, withdrawal) in self.note.withdrawn.iter().enumerate() {
            if !self.catalogue.contains(withdrawal.kind, &withdrawal.name) {
                self.add_unknown(
                    withdrawal.kind,
                    &withdrawal.name,
                    format!("withdrawn[{position}].name"),
                );
            }
        }
    }

    /// The items that added and changed items refer to must exist once the note is applied.
    fn check_references(&mut self) {
        for (list, position, item) in self.listed_items() {
            let Some((kind, name)) = item.reference() else {
                continue;
            };
            let place = format!("{list}[{position}].{kind}");
            if self.withdrawn.contains_key(&(kind, name)) {
                self.add_finding(place, format!("{kind} {name:?} is withdrawn by this note"));
            } else if !self.added.contains(&(kind, name)) && !self.catalogue.contains(kind, name) {
                self.add_unknown(kind, name, place);
            }
        }
    }

    /// Withdrawn items must not be referred to by items that the note leaves unchanged.
    fn check_withdrawn_references(&mut self) {
        for item in self.catalogue.items() {
            let Some((kind, name)) = item.reference() else {
                continue;
            };
            let (referrer, referrer_name) = (item.kind(), item.name());
            let Some(position) = self.withdrawn.get(&(kind, name)).copied() else {
                continue;
            };
            if !self.replaces(referrer, referrer_name) {
                let message =
                    format!("{kind} {name:?} is still referred to by {referrer} {referrer_name:?}");
                self.add_finding(format!("withdrawn[{position}]"), message);
            }
        }
    }

    /// Each key must belong to one account only: accounts with the same key can't
    /// be told apart, and one would use up the other's limits.
    fn check_unique_keys(&mut self) {
        let mut holders: BTreeMap<Digest, &str> = BTreeMap::new();
        for account in self.catalogue.accounts() {
            if !self.replaces(Kind::Account, &account.name) {
                holders.insert(account.key_sha256, &account.name);
            }
        }
        for (list, position, item) in self.listed_items() {
            let Item::Account(account) = item else {
                continue;
            };
            if let Some(holder) = holders.get(&account.key_sha256) {
                let message = format!("is the key of account {holder:?} already");
                self.add_finding(format!("{list}[{position}].key_sha256"), message);
            } else {
                holders.insert(account.key_sha256, &account.name);
            }
        }
    }

    /// Returns whether the note changes or withdraws this item of the catalogue.
    fn replaces(&self, kind: Kind, name: &str) -> bool {
        self.changed.contains(&(kind, name)) || self.withdrawn.contains_key(&(kind, name))
    }

    fn add_unknown(&mut self, kind: Kind, name: &str, place: String) {
        let message = match self.nearest(kind, name) {
            Some(near) => format!("unknown {kind} {name:?}, did you mean {near:?}?"),
            None => format!("unknown {kind} {name:?}"),
        };
        self.add_finding(place, message);
    }

    fn nearest(&mut self, kind: Kind, name: &str) -> Option<&'a str> {
        let added = self.added.range((kind, "")..);
        let added = added.take_while(|(of, _)| *of == kind);
        let mut known: Vec<&'a str> = added.map(|(_, name)| *name).collect();
        known.extend(self.catalogue.names(kind));
        self.compared_names += known.len();
        if self.compared_names > MAX_COMPARED_NAMES {
            return None;
        }
        cfg::nearest(name, known)
    }
}
