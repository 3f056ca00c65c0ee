//! The faults that are active in a fake.

use std::time::Duration;

use tokio::sync::watch;

use crate::Fault;

#[derive(Debug)]
pub(crate) struct Faults {
    active: watch::Sender<Vec<Fault>>,
}

impl Faults {
    pub fn new() -> Self {
        Faults {
            active: watch::Sender::new(Vec::new()),
        }
    }

    pub fn add(&self, fault: Fault) {
        self.active.send_modify(|active| active.push(fault));
    }

    pub fn clear(&self) {
        self.active.send_replace(Vec::new());
    }

    pub fn has(&self, fault: &Fault) -> bool {
        self.active.borrow().contains(fault)
    }

    /// Returns the value that `pick` selects from the most recently injected
    /// matching fault.
    pub fn find<T>(&self, pick: impl FnMut(&Fault) -> Option<T>) -> Option<T> {
        self.active.borrow().iter().rev().find_map(pick)
    }

    /// Multiplies a duration by the factor of [`Fault::Slow`], if active.
    pub fn scale_time(&self, time: Duration) -> Duration {
        let factor = self.find(|fault| match fault {
            Fault::Slow(factor) => Some(*factor),
            _ => None,
        });
        time * factor.unwrap_or(1)
    }

    /// Whether a request with this body triggers [`Fault::CrashOn`].
    pub fn crashes_on(&self, body: &[u8]) -> bool {
        self.find(|fault| match fault {
            Fault::CrashOn(text) => contains_text(body, text.as_bytes()).then_some(()),
            _ => None,
        })
        .is_some()
    }

    /// Waits until a fault is cleared.
    pub async fn wait_until_cleared(&self, fault: &Fault) {
        let mut rx = self.active.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = rx.wait_for(|active| !active.contains(fault)).await;
    }
}

fn contains_text(body: &[u8], text: &[u8]) -> bool {
    !text.is_empty() && body.windows(text.len()).any(|window| window == text)
}
