//! Dimensions of a group's expert maps.

/// Dimensions of a group's expert maps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shape {
    layers: u16,
    experts: u16,
    slots_per_rank: u16,
    hosts: Vec<u16>,
}

impl Shape {
    /// A group of `hosts.len()` ranks, each with `slots_per_rank` slots per
    /// layer; `hosts` holds the host of each rank.
    ///
    /// ```
    /// let shape = expert::Shape::new(4, 8, 3, vec![0, 0, 1, 1]);
    /// assert_eq!(shape.ranks(), 4);
    /// ```
    #[must_use]
    pub fn new(layers: u16, experts: u16, slots_per_rank: u16, hosts: Vec<u16>) -> Shape {
        Shape {
            layers,
            experts,
            slots_per_rank,
            hosts,
        }
    }

    /// A group with as many slots as its experts need plus `spare` more on
    /// each rank, with `ranks_per_host` ranks on each host.
    ///
    /// ```
    /// let shape = expert::Shape::with_spare(4, 128, 16, 1, 8);
    /// assert_eq!(shape.slots_per_rank(), 9);
    /// ```
    #[must_use]
    pub fn with_spare(
        layers: u16,
        experts: u16,
        ranks: u16,
        spare: u16,
        ranks_per_host: u16,
    ) -> Shape {
        let slots_per_rank = experts.div_ceil(ranks.max(1)) + spare;
        let hosts = (0..ranks).map(|rank| rank / ranks_per_host.max(1));
        Shape::new(layers, experts, slots_per_rank, hosts.collect())
    }

    /// The same dimensions on other hosts.
    pub(crate) fn with_hosts(&self, hosts: Vec<u16>) -> Shape {
        Shape::new(self.layers, self.experts, self.slots_per_rank, hosts)
    }

    /// Number of layers with experts.
    #[must_use]
    pub fn layers(&self) -> usize {
        usize::from(self.layers)
    }

    /// Number of experts per layer.
    #[must_use]
    pub fn experts(&self) -> usize {
        usize::from(self.experts)
    }

    /// Number of slots per layer on each rank.
    #[must_use]
    pub fn slots_per_rank(&self) -> usize {
        usize::from(self.slots_per_rank)
    }

    /// Number of ranks.
    #[must_use]
    pub fn ranks(&self) -> usize {
        self.hosts.len()
    }

    /// Host of each rank.
    #[must_use]
    pub fn hosts(&self) -> &[u16] {
        &self.hosts
    }

    /// Slots of all ranks in one layer.
    pub(crate) fn slots_per_layer(&self) -> usize {
        self.ranks() * self.slots_per_rank()
    }
}
