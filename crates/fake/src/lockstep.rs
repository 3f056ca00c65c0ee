//! Steps that the engines of one group make in common.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::watch;

/// Lets no engine of a group begin a step before all have ended the last one.
#[derive(Clone, Debug)]
pub struct Lockstep {
    /// The last step that each member has ended.
    ended: Arc<watch::Sender<BTreeMap<u64, u64>>>,
}

impl Default for Lockstep {
    fn default() -> Self {
        Lockstep::new()
    }
}

impl Lockstep {
    /// A group without members.
    ///
    /// ```
    /// let lockstep = fake::Lockstep::new();
    /// let cfg = fake::EngineSettings { lockstep: Some(lockstep), ..Default::default() };
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Lockstep {
            ended: Arc::new(watch::Sender::new(BTreeMap::new())),
        }
    }

    /// Takes a member in at the step where the others are.
    pub(crate) fn join(&self) -> Member {
        let mut joined = (0, 0);
        self.ended.send_modify(|ended| {
            let id = ended.keys().next_back().map_or(0, |last| last + 1);
            let step = ended.values().copied().min().unwrap_or_default();
            ended.insert(id, step);
            joined = (id, step);
        });
        Member {
            group: self.clone(),
            id: joined.0,
            step: joined.1,
        }
    }
}

/// One engine in its group; leaves the group when dropped.
#[derive(Debug)]
pub(crate) struct Member {
    group: Lockstep,
    id: u64,
    /// The last step that was ended.
    pub step: u64,
}

impl Member {
    /// Waits until all have ended the step before `step`.
    pub async fn await_turn(&self, step: u64) {
        let mut rx = self.group.ended.subscribe();
        let _ = rx
            .wait_for(|ended| ended.values().all(|last| last + 1 >= step))
            .await;
    }

    pub fn end(&mut self, step: u64) {
        self.step = step;
        self.group.ended.send_modify(|ended| {
            ended.insert(self.id, step);
        });
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.group.ended.send_modify(|ended| {
            ended.remove(&self.id);
        });
    }
}
