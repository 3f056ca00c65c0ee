//! Settings of expert maps.

use std::time::Duration;

use cfg::Reader;
use expert::{MoveCost, SwitchCriteria, SwitchTiming};

/// When expert maps are planned, and how they are switched.
#[derive(Clone, Debug)]
pub struct MapSettings {
    /// Length of a window: loads are counted and a map is planned once in each.
    pub window: Duration,
    /// Between two looks at which ranks step together.
    pub formation: Duration,
    /// Windows over which a move is expected to go on paying.
    pub horizon: u32,
    /// What loading experts costs.
    pub cost: MoveCost,
    /// Times of a switch.
    pub timing: SwitchTiming,
    /// Experts new to one rank in one layer that a switch may bring at most.
    pub most_new: usize,
    /// The map that engines start with.
    pub start: StartMap,
    /// When a switch is worth its price beside what moves cost; always, if
    /// none is given.
    pub need: Option<SwitchCriteria>,
}

/// The map that engines start with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMap {
    /// Experts in order, spare slots with further copies.
    Copies,
    /// Experts in turn, spare slots empty; each formation starts with it.
    Bare,
}

impl MapSettings {
    pub(crate) fn read(r: &mut Reader) -> Self {
        const MIB: u64 = 1 << 20;
        let day = Duration::from_hours(24);
        let times = Duration::from_millis(1)..=day;
        let defaults = SwitchTiming::default();
        let time = |r: &mut Reader, key, default| r.within(key, default, times.clone());
        let window = time(r, "window_ms", Duration::from_mins(5));
        let store = r.within("store_bytes_per_s", 1000 * MIB, 1..=1 << 50);
        MapSettings {
            window,
            formation: time(r, "formation_ms", Duration::from_secs(2)),
            horizon: r.within("horizon_windows", 12, 1..=10_000),
            cost: MoveCost {
                expert_bytes: r.within("expert_bytes", 42 * MIB, 1..=1 << 40),
                store_bytes_per_s: precise(store),
                slowdown: precise(r.within("slowdown_permille", 100, 0..=1000)) / 1000.0,
                store_price: 1.0,
                max_plan_bytes: store.saturating_mul(window.as_secs().max(1)),
            },
            timing: SwitchTiming {
                resend_interval: time(r, "resend_ms", defaults.resend_interval),
                phase_timeout: time(r, "attempt_ms", defaults.phase_timeout),
                command_timeout: time(r, "order_ms", defaults.command_timeout),
                late_command_window: time(r, "ghost_ms", defaults.late_command_window),
                lead_steps: r.within("lead_steps", defaults.lead_steps, 1..=1_000_000),
                lead_time: defaults.lead_time,
            },
            most_new: usize::MAX,
            start: StartMap::Copies,
            need: None,
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "the ranges end below 2^53")]
fn precise(value: u64) -> f64 {
    value as f64
}
