//! Links to agents: who they are, and the one connection to each that is wanted.

mod agent;
mod announced;
mod follow;
mod news;
mod roster;
mod subsets;

pub(crate) use agent::{Agent, Listener};
pub(crate) use announced::Announced;
pub(crate) use news::News;
pub(crate) use roster::{Roster, RosterCx};
