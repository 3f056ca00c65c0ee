//! A target as its agent announces it.

use std::collections::BTreeSet;

use crate::{Capability, Serves};

/// A target as its agent announces it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The target's name.
    pub target: String,
    /// What it serves.
    pub serves: Serves,
    /// Ranks of its group that run there.
    pub ranks: Vec<u32>,
    /// Models that are loaded.
    pub models: Vec<String>,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Versions that are loaded.
    pub versions: Vec<String>,
    /// What it can do.
    pub capabilities: BTreeSet<Capability>,
    /// Whether the agent can reach it.
    pub healthy: bool,
}
