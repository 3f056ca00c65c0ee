//! One case of the comparison.

/// One case of the comparison.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub name: &'static str,
    /// Offered load, as a fraction of the capacity of the targets.
    pub load: f64,
    pub servers: usize,
    /// Age of load reports on arrival, in seconds.
    pub report_age: f64,
    /// Fraction of the reports that are lost.
    pub report_loss: f64,
    /// Whether the first target fails halfway through.
    pub target_fails: bool,
    /// Whether the first target is four times slower.
    pub slow_target: bool,
    /// Additional load from one account, as a fraction of the capacity of the
    /// targets.
    pub flood: f64,
    /// Number of different prompt prefixes; 0 for prompts without common prefixes.
    pub prefixes: u32,
}

impl Default for Case {
    fn default() -> Self {
        Case {
            name: "",
            load: 0.8,
            servers: 16,
            report_age: 0.05,
            report_loss: 0.0,
            target_fails: false,
            slow_target: false,
            flood: 0.0,
            prefixes: 0,
        }
    }
}
