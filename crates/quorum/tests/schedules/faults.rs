//! Faults injected by a schedule.

/// Rates of the faults injected by a schedule. Unless stated otherwise, a rate
/// is the number of events per 10,000 steps.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Messages lost, in percent.
    pub loss_percent: u32,
    /// Messages delivered twice, in percent.
    pub duplicate_percent: u32,
    /// Maximum additional delay of a message, in steps.
    pub max_delay_steps: u64,
    pub partitions: u32,
    pub kills: u32,
    pub lost_disks: u32,
    /// Losses of as many disks at once as the cluster must survive.
    pub lost_minorities: u32,
    /// Hosts beyond the voters, which replace lost ones.
    pub spare_hosts: usize,
    pub clock_steps: u32,
    /// Syncs that are slow, in percent.
    pub slow_sync_percent: u32,
    /// Whether the hosts start a new cluster, some of them late.
    pub first_start: bool,
    /// Whether some of them lose their disks meanwhile.
    pub lost_while_forming: bool,
}

impl Faults {
    pub fn network() -> Faults {
        Faults {
            loss_percent: 5,
            duplicate_percent: 5,
            max_delay_steps: 8,
            partitions: 60,
            ..Faults::default()
        }
    }

    pub fn restarts() -> Faults {
        Faults {
            max_delay_steps: 2,
            partitions: 60,
            kills: 200,
            slow_sync_percent: 5,
            ..Faults::default()
        }
    }

    pub fn lost_disks() -> Faults {
        Faults {
            max_delay_steps: 2,
            lost_disks: 2_000,
            kills: 30,
            slow_sync_percent: 3,
            ..Faults::default()
        }
    }

    pub fn lost_minorities() -> Faults {
        Faults {
            loss_percent: 1,
            max_delay_steps: 2,
            partitions: 40,
            kills: 60,
            lost_minorities: 2_000,
            spare_hosts: 2,
            slow_sync_percent: 3,
            ..Faults::default()
        }
    }

    /// A first start with lost disks and killed processes.
    pub fn first_start_lost_disks() -> Faults {
        Faults {
            loss_percent: 1,
            max_delay_steps: 3,
            kills: 10,
            first_start: true,
            lost_while_forming: true,
            ..Faults::default()
        }
    }

    /// A first start with partitions, killed processes and slow disks.
    pub fn first_start_partitions() -> Faults {
        Faults {
            loss_percent: 2,
            duplicate_percent: 2,
            max_delay_steps: 5,
            partitions: 60,
            kills: 60,
            slow_sync_percent: 3,
            first_start: true,
            ..Faults::default()
        }
    }

    pub fn clock_steps() -> Faults {
        Faults {
            partitions: 80,
            clock_steps: 100,
            ..Faults::default()
        }
    }

    pub fn all() -> Faults {
        Faults {
            loss_percent: 2,
            duplicate_percent: 3,
            max_delay_steps: 5,
            partitions: 30,
            kills: 80,
            lost_disks: 500,
            slow_sync_percent: 3,
            ..Faults::default()
        }
    }
}
