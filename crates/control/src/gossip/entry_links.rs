//! The entries that report to a replica.

use crate::published_table::{PublishedTable, TableForm};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use wire::Link;
use wire::proto::{Entrance, Evacuations, Report};

/// Time after which an entry that still uses the same older table is sent the newest
/// one.
const MAX_TABLE_DELAY: Duration = Duration::from_millis(400);

/// The entries that report to a replica, and what each wants to be sent.
#[derive(Default)]
pub(super) struct EntryLinks {
    links: Mutex<Vec<EntryLink>>,
}

/// The link of an entry, and what the entry wants to be sent on it.
#[derive(Clone)]
pub(super) struct EntryLink {
    pub(super) link: Link,
    /// Whether this replica repeats the state of targets that has not changed.
    pub(super) wants_refresh: bool,
    /// Whether the entry understands the short form of unchanged targets.
    pub(super) knows_alive: bool,
    /// The form in which the entry is sent tables.
    pub(super) table_form: TableForm,
    /// Whether the entry understands evacuations.
    knows_evacuations: bool,
    /// Version of the quarantine in force at the entry, if it understands it.
    pub(super) quarantine_version: Option<u64>,
    /// Number of the table that the entry uses.
    table: u64,
    /// Since when the entry has used that table although there is a newer one.
    behind_since: Option<Instant>,
}

/// What an entry is to be sent after a report.
pub(super) struct EntryUpdate {
    /// The entry as it has reported.
    pub(super) entry: EntryLink,
    /// The entry lacks the newest table.
    pub(super) wants_table: bool,
    /// The entry has begun to want the state of targets from this replica.
    pub(super) wants_targets: bool,
    /// Number of the evacuations in force at the entry, if it understands them.
    evacuations: Option<u64>,
    /// The entry is on a new link.
    is_new: bool,
}

impl EntryUpdate {
    /// Whether the entry is to be sent these evacuations.
    pub(super) fn wants_evacuations(&self, newest: &Evacuations) -> bool {
        let is_behind = |held: u64| held < newest.number || (self.is_new && held == newest.number);
        self.evacuations.is_some_and(is_behind)
    }
}

impl EntryLinks {
    /// Records what an entry wants to be sent on its link.
    pub(super) fn update(
        &self,
        report: &Report,
        link: &Link,
        newest: &PublishedTable,
        now: Instant,
    ) -> EntryUpdate {
        let mut links = self.open_links();
        let known = links.iter_mut().find(|e| e.link.peer() == link.peer());
        let none = Entrance::default();
        let entrance = report.entrance.as_ref().unwrap_or(&none);
        let (table, contradicts) = (entrance.table, newest.contradicts(entrance));
        let known_behind = known.as_ref().filter(|entry| entry.table == table);
        let known_behind = known_behind.and_then(|entry| entry.behind_since);
        let is_outdated = newest.is_newer_than(entrance) || contradicts;
        let behind_since = is_outdated.then(|| known_behind.unwrap_or(now));
        let is_overdue = |since: Instant| now.saturating_duration_since(since) >= MAX_TABLE_DELAY;
        let is_behind = behind_since.is_some();
        let wants_table = behind_since.is_some_and(is_overdue);
        if wants_table && contradicts {
            log::warn!(
                entry = entrance.name.as_str(), table, digest = newest.digest().as_str();
                "an entry holds other content under the number of the newest route table"
            );
        }
        let behind_since = behind_since.map(|since| if wants_table { now } else { since });
        let had_refresh = known.as_ref().is_some_and(|entry| entry.wants_refresh);
        let entry = EntryLink {
            link: link.clone(),
            wants_refresh: !report.changes_only,
            knows_alive: report.knows_alive,
            table_form: if report.knows_compressed {
                TableForm::Compressed
            } else {
                TableForm::Plain
            },
            knows_evacuations: report.knows_evacuations,
            quarantine_version: report.knows_quarantine.then_some(report.quarantine_version),
            table,
            behind_since,
        };
        let wants_targets = entry.wants_refresh && !had_refresh;
        let held = entrance.evacuations;
        let is_new = known.is_none();
        match known {
            Some(known) => *known = entry.clone(),
            None => links.push(entry.clone()),
        }
        EntryUpdate {
            entry,
            wants_table: wants_table || (wants_targets && is_behind),
            wants_targets,
            evacuations: report.knows_evacuations.then_some(held),
            is_new,
        }
    }

    /// The links of the entries that understand evacuations.
    pub(super) fn with_evacuations(&self) -> Vec<Link> {
        let links = self.open_links();
        let able = links.iter().filter(|entry| entry.knows_evacuations);
        able.map(|entry| entry.link.clone()).collect()
    }

    /// The links of all entries.
    pub(super) fn all(&self) -> Vec<Link> {
        let links = self.open_links();
        links.iter().map(|entry| entry.link.clone()).collect()
    }

    /// The entries to which this replica repeats the state of targets.
    pub(super) fn refreshed(&self) -> Vec<EntryLink> {
        let mut links = self.open_links().clone();
        links.retain(|entry| entry.wants_refresh);
        links
    }

    fn open_links(&self) -> MutexGuard<'_, Vec<EntryLink>> {
        // Code that holds the lock cannot leave the list inconsistent.
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|entry| !entry.link.is_closed());
        links
    }
}
