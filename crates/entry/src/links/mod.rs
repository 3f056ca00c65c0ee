//! Links to agents: who they are, and the one connection to each that is wanted.

mod agent;
mod announced_target;
mod connection;
mod event;
mod manager;
mod subsets;

pub(crate) use agent::{Agent, SubscriptionId};
pub(crate) use announced_target::AnnouncedTarget;
pub(crate) use event::LinkEvent;
pub(crate) use manager::{LinkManager, LinkManagerArguments};
