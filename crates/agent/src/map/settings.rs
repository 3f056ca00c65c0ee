//! Settings of expert maps.

use std::time::Duration;

use cfg::Reader;
use expert::{MoveCost, SwitchCriteria, SwitchTiming};

/// Settings of the planning and switching of expert maps.
#[derive(Clone, Debug)]
pub struct MapSettings {
    /// Length of a window; loads are counted and a map is planned once per window.
    pub window: Duration,
    /// Interval at which the formation is polled.
    pub formation_interval: Duration,
    /// Number of windows over which a move is expected to pay off.
    pub horizon_windows: u32,
    /// Cost of loading experts.
    pub cost: MoveCost,
    /// Times of a switch.
    pub timing: SwitchTiming,
    /// Maximum number of experts per rank and layer that one switch may add.
    pub max_new_experts: usize,
    /// The map with which engines start.
    pub initial_map: InitialMap,
    /// Condition for a switch in addition to the cost of its moves; `None` for no
    /// condition.
    pub need: Option<SwitchCriteria>,
}

/// The map with which engines start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialMap {
    /// Experts in order; spare slots hold further copies.
    Replicated,
    /// Experts dealt round-robin, spare slots empty; each formation starts with it.
    Unreplicated,
}

impl MapSettings {
    pub(crate) fn read(r: &mut Reader) -> Self {
        const MIB: u64 = 1 << 20;
        let day = Duration::from_hours(24);
        let times = Duration::from_millis(1)..=day;
        let defaults = SwitchTiming::default();
        let time = |r: &mut Reader, key, default| r.within(key, default, times.clone());
        let window = time(r, "window_ms", Duration::from_mins(5));
        let resend_interval = time(r, "resend_ms", defaults.resend_interval);
        let store = r.within("store_bytes_per_s", 1000 * MIB, 1..=1 << 50);
        MapSettings {
            window,
            formation_interval: time(r, "formation_ms", Duration::from_secs(2)),
            horizon_windows: r.within("horizon_windows", 12, 1..=10_000),
            cost: MoveCost {
                expert_bytes: r.within("expert_bytes", 42 * MIB, 1..=1 << 40),
                store_bytes_per_s: precise(store),
                slowdown: precise(r.within("slowdown_permille", 100, 0..=1000)) / 1000.0,
                store_price: 1.0,
                max_plan_bytes: store.saturating_mul(window.as_secs().max(1)),
            },
            timing: SwitchTiming {
                resend_interval,
                group_read_delay: resend_interval,
                phase_timeout: time(r, "attempt_ms", defaults.phase_timeout),
                command_timeout: time(r, "order_ms", defaults.command_timeout),
                late_command_window: time(r, "ghost_ms", defaults.late_command_window),
                lead_steps: r.within("lead_steps", defaults.lead_steps, 1..=1_000_000),
                lead_time: defaults.lead_time,
            },
            max_new_experts: usize::MAX,
            initial_map: InitialMap::Replicated,
            need: None,
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "the ranges end below 2^53")]
fn precise(value: u64) -> f64 {
    value as f64
}
