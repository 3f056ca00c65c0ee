//! Counters of what the limits on callers have closed and refused.

use std::sync::LazyLock;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

type Label = [(&'static str, &'static str); 1];

/// Why a caller's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// Others needed its place or its memory.
    Room,
    /// The process ran out of descriptors.
    Descriptors,
    /// The head of its request was too large.
    HeadSize,
    /// The head of its request took too long.
    HeadTimeout,
}

/// What was refused for lack of room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    Connection,
    Body,
}

/// The counters of all servers of the process.
struct CallerMetrics {
    closed: Family<Label, Counter>,
    refused: Family<Label, Counter>,
    registry: Registry,
}

static METRICS: LazyLock<CallerMetrics> = LazyLock::new(|| {
    let (closed, refused) = (Family::default(), Family::default());
    let mut registry = Registry::with_prefix("lovageramp_callers");
    let help = "Connections of callers closed by a limit";
    registry.register("closed", help, closed.clone());
    let help = "Connections and bodies of callers refused for lack of room";
    registry.register("refused", help, refused.clone());
    CallerMetrics {
        closed,
        refused,
        registry,
    }
});

/// Counts closed connections.
pub(crate) fn count_closed(reason: CloseReason, connections: usize) {
    let reason = match reason {
        CloseReason::Room => "room",
        CloseReason::Descriptors => "descriptors",
        CloseReason::HeadSize => "head_size",
        CloseReason::HeadTimeout => "head_timeout",
    };
    let connections = u64::try_from(connections).unwrap_or(u64::MAX);
    let counter = METRICS.closed.get_or_create(&[("reason", reason)]);
    counter.inc_by(connections);
}

/// Counts a refusal.
pub(crate) fn count_refused(refused: Refused) {
    let kind = match refused {
        Refused::Connection => "connection",
        Refused::Body => "body",
    };
    METRICS.refused.get_or_create(&[("kind", kind)]).inc();
}

/// The counters, which the metrics page of each daemon shows.
pub(crate) fn registry() -> &'static Registry {
    &METRICS.registry
}
