//! Limits that targets name, as a watcher has met them.

use super::{WatcherState, lock};
use member::{LimitEffect, TargetLimit};
use std::time::Instant;
use wire::{proto, target_limit_to_proto};

impl WatcherState {
    /// Records the limit, or that there is none, in an answer of a target. Control and the
    /// other entries are told.
    pub fn record_limit(&self, limit: TargetLimit, now: Instant) {
        let (id, per_second) = (limit.id.clone(), limit.per_second);
        let effect = lock(&self.limits).record(limit, now);
        if effect == LimitEffect::Unlimited || effect == LimitEffect::Stale {
            return;
        }
        lock(&self.unreported_limits).insert(id.clone());
        if effect == LimitEffect::Changed {
            log::info!(
                target_id = id.as_str(), per_second = per_second.unwrap_or(f64::INFINITY);
                "limit of a target changed"
            );
            self.notify_changed();
            self.update_own_report(|_| ());
        }
    }

    /// The limits of which control has still to be told, which then count as told.
    pub(crate) fn take_unreported_limits(&self, now: Instant) -> Vec<proto::TargetLimit> {
        let unreported = std::mem::take(&mut *lock(&self.unreported_limits));
        let limits = lock(&self.limits);
        let known = unreported.iter().filter_map(|id| limits.get(id));
        known
            .map(|(limit, at)| target_limit_to_proto(limit, at, now))
            .collect()
    }

    /// Records that control has not been told of these limits after all.
    pub(crate) fn return_unreported_limits(&self, limits: Vec<proto::TargetLimit>) {
        let ids = limits.into_iter().map(|limit| limit.id);
        lock(&self.unreported_limits).extend(ids);
    }
}
