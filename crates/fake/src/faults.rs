//! The faults that are switched on.

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

    /// The latest value that `pick` finds among the faults.
    pub fn find<T>(&self, pick: impl FnMut(&Fault) -> Option<T>) -> Option<T> {
        self.active.borrow().iter().rev().find_map(pick)
    }

    /// A time, lengthened if the stand-in is slow.
    pub fn slowed(&self, time: Duration) -> Duration {
        let factor = self.find(|fault| match fault {
            Fault::Slow(factor) => Some(*factor),
            _ => None,
        });
        time * factor.unwrap_or(1)
    }

    /// Whether a body holds the text that crashes this stand-in.
    pub fn crashes(&self, body: &[u8]) -> bool {
        self.find(|fault| match fault {
            Fault::CrashOn(text) => contains(body, text.as_bytes()).then_some(()),
            _ => None,
        })
        .is_some()
    }

    /// Waits while a fault is on.
    pub async fn wait_out(&self, fault: &Fault) {
        let mut rx = self.active.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = rx.wait_for(|active| !active.contains(fault)).await;
    }
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    !text.is_empty() && body.windows(text.len()).any(|window| window == text)
}
