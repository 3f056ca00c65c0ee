//! The highest fencing number.

/// The highest fencing number that an agent has seen or learnt.
///
/// Some engines obey an order whatever its number. A former coordinator that
/// still believes to be in charge could then switch a rank to its map while
/// the others follow the new one. So the agent itself refuses lower numbers,
/// and after its own restart, when it knows none, it takes no order before it
/// has learnt the current one from control.
///
/// ```
/// let mut fence = agent::order::Fence::default();
/// assert!(!fence.is_learnt());
/// fence.learn(4);
/// assert_eq!(fence.admit(5), Ok(()));
/// assert_eq!(fence.admit(4), Err(5));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    highest: Option<u64>,
}

impl Fence {
    /// Whether a number was learnt from control.
    #[must_use]
    pub fn is_learnt(&self) -> bool {
        self.highest.is_some()
    }

    /// Takes in a number from control or from the engine.
    pub fn learn(&mut self, fencing: u64) {
        self.highest = self.highest.max(Some(fencing));
    }

    /// Admits an order's number, which then is the lowest that will be.
    ///
    /// # Errors
    ///
    /// The highest number, if the order's is lower or none is known.
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
