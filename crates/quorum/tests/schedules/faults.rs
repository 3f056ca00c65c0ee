//! Which faults a schedule has, in events for 10,000 steps.

/// Which faults a schedule has.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Messages lost and doubled, in 100.
    pub lost: u32,
    pub doubled: u32,
    /// Steps that a message is late at most.
    pub late: u64,
    pub cuts: u32,
    pub kills: u32,
    pub lost_disks: u32,
    pub clock_steps: u32,
    /// Syncs that take long, in 100.
    pub slow_syncs: u32,
}

impl Faults {
    pub fn network() -> Faults {
        Faults {
            lost: 5,
            doubled: 5,
            late: 8,
            cuts: 60,
            ..Faults::default()
        }
    }

    pub fn restarts() -> Faults {
        Faults {
            late: 2,
            cuts: 60,
            kills: 200,
            slow_syncs: 5,
            ..Faults::default()
        }
    }

    pub fn lost_disks() -> Faults {
        Faults {
            late: 2,
            lost_disks: 2_000,
            kills: 30,
            slow_syncs: 3,
            ..Faults::default()
        }
    }

    pub fn clock_steps() -> Faults {
        Faults {
            cuts: 80,
            clock_steps: 100,
            ..Faults::default()
        }
    }

    pub fn all() -> Faults {
        Faults {
            lost: 2,
            doubled: 3,
            late: 5,
            cuts: 30,
            kills: 80,
            lost_disks: 500,
            clock_steps: 0,
            slow_syncs: 3,
        }
    }
}
