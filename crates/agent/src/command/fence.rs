//! Refuses commands under an outdated fencing number.

/// The highest fencing number that an agent has seen.
///
/// Some engines don't check fencing numbers. A deposed coordinator could then
/// switch one rank to its map while the other ranks follow the new
/// coordinator, so the agent itself refuses lower numbers. After a restart the
/// agent knows no number and refuses every command until it has read the
/// current one from control.
///
/// ```
/// let mut fence = agent::command::Fence::default();
/// assert!(!fence.is_known());
/// fence.observe(4);
/// assert_eq!(fence.admit(5), Ok(()));
/// assert_eq!(fence.admit(4), Err(5));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    highest: Option<u64>,
}

impl Fence {
    /// Whether any number is known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.highest.is_some()
    }

    /// Records a number reported by control or by the engine.
    pub fn observe(&mut self, fencing: u64) {
        self.highest = self.highest.max(Some(fencing));
    }

    /// Admits a command's number, which becomes the lowest that is admitted.
    ///
    /// # Errors
    ///
    /// The highest known number if the command's is lower, or `u64::MAX` if none
    /// is known.
    pub fn admit(&mut self, fencing: u64) -> Result<(), u64> {
        match self.highest {
            Some(highest) if fencing >= highest => {
                self.highest = Some(fencing);
                Ok(())
            }
            Some(highest) => Err(highest),
            None => Err(u64::MAX),
        }
    }
}
