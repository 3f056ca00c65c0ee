//! One case of the comparison.

/// One case of the comparison.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub name: &'static str,
    /// Offered load, as part of what the targets can do.
    pub load: f64,
    pub servers: usize,
    /// Age of load reports when they arrive, in seconds.
    pub lag: f64,
    /// Part of the reports that never arrive.
    pub gaps: f64,
    /// The first target dies at half-time.
    pub dies: bool,
    /// The first target is four times slower.
    pub slow: bool,
    /// What one account offers beside the others, as part of what the targets
    /// can do.
    pub flood: f64,
    /// Different prompt prefixes; 0 for prompts with nothing in common.
    pub prefixes: u32,
}

impl Default for Case {
    fn default() -> Self {
        Case {
            name: "",
            load: 0.8,
            servers: 16,
            lag: 0.05,
            gaps: 0.0,
            dies: false,
            slow: false,
            flood: 0.0,
            prefixes: 0,
        }
    }
}
