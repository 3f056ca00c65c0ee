//! Token counts by layer and expert.

/// Tokens by layer and expert, counted or forecast for one window.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    experts: usize,
    values: Vec<f64>,
}

impl Load {
    /// A load of zero tokens.
    ///
    /// ```
    /// assert_eq!(expert::Load::new(2, 3).layer(1), &[0.0, 0.0, 0.0]);
    /// ```
    #[must_use]
    pub fn new(layers: usize, experts: usize) -> Load {
        Load {
            experts,
            values: vec![0.0; layers * experts],
        }
    }

    /// Number of layers.
    #[must_use]
    pub fn layers(&self) -> usize {
        self.values.len().checked_div(self.experts).unwrap_or(0)
    }

    /// Number of experts per layer.
    #[must_use]
    pub fn experts(&self) -> usize {
        self.experts
    }

    /// Tokens of one layer by expert.
    ///
    /// # Panics
    ///
    /// Panics if there is no such layer.
    #[must_use]
    pub fn layer(&self, layer: usize) -> &[f64] {
        &self.values[layer * self.experts..(layer + 1) * self.experts]
    }

    /// Mutable tokens of one layer by expert.
    ///
    /// # Panics
    ///
    /// Panics if there is no such layer.
    ///
    /// ```
    /// let mut load = expert::Load::new(1, 2);
    /// load.layer_mut(0)[1] = 5.0;
    /// assert_eq!(load.layer(0), &[0.0, 5.0]);
    /// ```
    pub fn layer_mut(&mut self, layer: usize) -> &mut [f64] {
        &mut self.values[layer * self.experts..(layer + 1) * self.experts]
    }

    /// Adds the counts of one rank, ordered by layer and then expert. Excess
    /// counts are ignored, since a report may be malformed.
    ///
    /// ```
    /// let mut load = expert::Load::new(1, 2);
    /// load.add(&[3, 4]);
    /// assert_eq!(load.layer(0), &[3.0, 4.0]);
    /// ```
    pub fn add(&mut self, tokens: &[u32]) {
        for (value, &count) in self.values.iter_mut().zip(tokens) {
            *value += f64::from(count);
        }
    }
}
