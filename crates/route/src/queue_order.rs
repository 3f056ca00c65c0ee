//! Order in which waiting requests start.

use std::collections::BTreeMap;
use std::time::Instant;

use slotmap::SlotMap;

use crate::background_share::BackgroundShare;
use crate::class_order::ClassOrder;
use crate::queue_class::QueueClass;
use crate::queued_request::WaitingRequest;
use crate::{Priority, QueueKey};

/// Iterator over the waiting requests in the order in which they start if none
/// arrives. Each step does only the work that it needs.
pub(crate) struct QueueOrder<'a> {
    classes: Vec<ClassOrder<'a>>,
    background: BackgroundShare,
    recent_starts: f64,
    now: Instant,
}

impl<'a> QueueOrder<'a> {
    pub(crate) fn new(
        classes: &'a BTreeMap<Priority, QueueClass>,
        requests: &'a SlotMap<QueueKey, WaitingRequest>,
        background: BackgroundShare,
        recent_starts: f64,
        now: Instant,
    ) -> Self {
        let classes = classes
            .iter()
            .map(|(priority, class)| ClassOrder::new(*priority, class, requests, now));
        QueueOrder {
            classes: classes.collect(),
            background,
            recent_starts,
            now,
        }
    }

    /// Takes the request that has waited longest of the classes from `from`.
    fn take_oldest(&mut self, from: usize) -> Option<(Priority, QueueKey)> {
        let classes = self.classes.iter_mut().skip(from);
        let oldest = classes.filter_map(|class| class.oldest().map(|oldest| (oldest, class)));
        let ((_, key), class) = oldest.min_by_key(|((arrival, _), _)| *arrival)?;
        class.take(key);
        Some((class.priority, key))
    }
}

impl Iterator for QueueOrder<'_> {
    type Item = QueueKey;

    fn next(&mut self) -> Option<QueueKey> {
        let (priority, key) = loop {
            let top = self.classes.iter().position(|class| class.left > 0)?;
            let priority = self.classes[top].priority;
            let is_due = self.background.is_due(priority, self.now);
            let oldest = is_due.then(|| self.take_oldest(top + 1)).flatten();
            let class = &mut self.classes[top];
            if let Some(next) = oldest.or_else(|| Some((priority, class.take_next()?))) {
                break next;
            }
            class.left = 0;
        };
        let least_urgent = self.classes.iter().rfind(|class| class.left > 0);
        let least_urgent = least_urgent.map(|class| class.priority);
        self.background
            .record_start(priority, least_urgent, self.recent_starts, self.now);
        Some(key)
    }
}
