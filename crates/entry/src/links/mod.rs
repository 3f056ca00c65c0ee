//! Links to agents: discovery and one connection to each selected agent.

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
