//! Times of an agent.

use std::time::Duration;

use cfg::Reader;

use crate::engine::ClientSettings;

/// How long an agent waits for what.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Between two beats of a link.
    pub beat: Duration,
    /// Between two renewals of the lease.
    pub renew: Duration,
    /// Between two looks at the target's load.
    pub poll: Duration,
    /// Longest run of an attempt that names no time, or must not be stopped.
    pub longest: Duration,
    /// An attempt without a link for longer is cancelled.
    pub grace: Duration,
    /// An answer that ended is held for this long.
    pub ended: Duration,
    /// An answer of a non-repeatable call is held for this long.
    pub keep: Duration,
    /// An attempt is remembered as barred or forgotten for this long.
    pub remember: Duration,
    /// A shutdown waits for this long for what runs.
    pub shutdown: Duration,
    /// A connection to the target is kept unused for this long.
    pub kept: Duration,
    /// Towards the target.
    pub client: ClientSettings,
}

impl Timing {
    pub(crate) fn read(r: &mut Reader) -> Self {
        let second = Duration::from_secs(1);
        Timing {
            beat: time(r, "beat_ms", second / 2),
            renew: time(r, "renew_ms", second / 2),
            poll: time(r, "poll_ms", second / 10),
            longest: time(r, "longest_ms", 300 * second),
            grace: time(r, "grace_ms", 5 * second),
            ended: time(r, "ended_ms", 15 * second),
            keep: time(r, "keep_ms", 900 * second),
            remember: time(r, "remember_ms", 1200 * second),
            shutdown: time(r, "shutdown_ms", 60 * second),
            kept: time(r, "kept_ms", second / 10),
            client: ClientSettings {
                connect: time(r, "connect_ms", second),
                head: time(r, "head_ms", 60 * second),
                progress: time(r, "progress_ms", 10 * second),
                question: time(r, "question_ms", 2 * second),
            },
        }
    }
}

fn time(r: &mut Reader, key: &str, default: Duration) -> Duration {
    const LONGEST: Duration = Duration::from_hours(24);
    r.within(key, default, Duration::from_millis(1)..=LONGEST)
}
