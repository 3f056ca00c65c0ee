//! What an order with a lost answer did.

use expert::Arming;

use crate::engine::{MapOrder, MapState, Obeyed};

/// What an engine's state says of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// It was obeyed, with this answer.
    Obeyed(Obeyed),
    /// It was not: it may be given again.
    NotObeyed,
    /// The state shows neither: the staged map that it names is gone.
    Neither,
}

/// Reads from an engine's state what an order did whose answer was lost.
///
/// ```
/// use agent::engine::{MapOrder, MapState};
/// use agent::order::{Reading, read_back};
///
/// let order = MapOrder::Commit { version: 7, step: 90 };
/// let staged = MapState { staged: Some(7), ..MapState::default() };
/// assert_eq!(read_back(&order, &staged), Reading::NotObeyed);
/// let used = MapState { version: 7, ..MapState::default() };
/// assert!(matches!(read_back(&order, &used), Reading::Obeyed(_)));
/// ```
#[must_use]
pub fn read_back(order: &MapOrder, state: &MapState) -> Reading {
    let obeyed = Reading::Obeyed(Obeyed {
        step: state.step,
        ready: matches!(order, MapOrder::Stage { .. }),
        held: matches!(order, MapOrder::Hold { .. }),
        known: matches!(order, MapOrder::Commit { .. } | MapOrder::Abort { .. }),
    });
    let staged = |version: &u64| state.staged == Some(*version);
    let loading = |version: &u64| state.loading == Some(*version);
    let used = |version: &u64| state.version == *version || state.next == Some(*version);
    if state.arming.is_some() {
        return if armed_as_ordered(order, state) {
            obeyed
        } else {
            Reading::NotObeyed
        };
    }
    match order {
        MapOrder::Join { .. } if state.waiting => Reading::NotObeyed,
        MapOrder::Join { .. } => obeyed,
        MapOrder::Stage { version, .. } if staged(version) || loading(version) => obeyed,
        MapOrder::Stage { .. } => Reading::NotObeyed,
        MapOrder::Hold { version, step } if staged(version) && state.held == Some(*step) => obeyed,
        MapOrder::Hold { version, .. } if staged(version) => Reading::NotObeyed,
        MapOrder::Commit { version, .. } if used(version) => obeyed,
        MapOrder::Commit { version, .. } | MapOrder::Abort { version, .. } if staged(version) => {
            Reading::NotObeyed
        }
        MapOrder::Abort { version, .. } if loading(version) => Reading::NotObeyed,
        MapOrder::Abort { version, .. } if !used(version) => obeyed,
        MapOrder::Hold { .. } | MapOrder::Commit { .. } | MapOrder::Abort { .. } => {
            Reading::Neither
        }
    }
}

/// The same for an engine that is armed by an order of its own.
fn armed_as_ordered(order: &MapOrder, state: &MapState) -> bool {
    let armed = state.arming == Some(Arming::Armed);
    match order {
        MapOrder::Join { .. } => true,
        MapOrder::Stage { version, .. } => {
            state.staged == Some(*version) || state.loading == Some(*version)
        }
        MapOrder::Hold { step, .. } => armed && state.held == Some(*step),
        MapOrder::Commit { version, .. } => {
            state.version == *version || state.next == Some(*version)
        }
        // Whether an earlier order may still come can't be read from it.
        MapOrder::Abort { .. } => false,
    }
}
