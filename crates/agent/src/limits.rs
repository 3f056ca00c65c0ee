//! Bounds of an agent.

use cfg::Reader;

use crate::Keep;

/// How much an agent takes on and holds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts that run at once.
    pub concurrent: usize,
    /// Bytes of an answer in flight beyond what has arrived.
    pub window: usize,
    /// Bytes held of one answer.
    pub answer: usize,
    /// Bytes held of all answers; no attempt is taken beyond.
    pub buffers: usize,
    /// Attempts remembered as barred or forgotten.
    pub remembered: usize,
    /// Links at once.
    pub links: usize,
    /// Connections to the target that are kept between two calls.
    pub kept: usize,
}

impl Limits {
    /// Bytes held of one answer. Of one that is read while it comes, no more
    /// than its part of all: callers that stop reading would else fill the
    /// room of all answers, and the agent take nothing from anybody.
    pub(crate) fn held_of(&self, keep: Keep) -> usize {
        match keep {
            Keep::Whole => self.answer,
            Keep::UntilPassed => self
                .answer
                .min(self.window.max(self.buffers / self.concurrent)),
        }
    }

    pub(crate) fn read(r: &mut Reader) -> Self {
        const MIB: usize = 1 << 20;
        Limits {
            concurrent: r.within("concurrent", 256, 1..=100_000),
            window: r.within("window_bytes", 256 << 10, 1024..=64 * MIB),
            answer: r.within("answer_bytes", 4 * MIB, 4096..=256 * MIB),
            buffers: r.within("buffers_bytes", 64 * MIB, MIB..=16_384 * MIB),
            remembered: r.within("remembered", 200_000, 100..=10_000_000),
            links: r.within("links", 1024, 4..=100_000),
            kept: r.within("kept_connections", 64, 0..=100_000),
        }
    }
}
