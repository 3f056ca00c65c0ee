//! A target as announced by its agent.

use std::collections::BTreeSet;

use crate::{Capability, Serves};

/// A target as announced by its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the target.
    pub target: String,
    /// Model group or service that it serves.
    pub serves: Serves,
    /// Ranks of its model group that run on it.
    pub ranks: Vec<u32>,
    /// Models that are loaded.
    pub models: Vec<String>,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Versions that are loaded.
    pub versions: Vec<String>,
    /// Optional features that it supports.
    pub capabilities: BTreeSet<Capability>,
    /// Whether the agent can reach it.
    pub healthy: bool,
}
