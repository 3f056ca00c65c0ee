//! The process beside each target: gate, buffers, orders.
//!
//! An agent is the only way to its target. It announces the target, decides
//! on each attempt ([`Gate`]), runs it through [`engine::Outlet`], holds the
//! answer until it has arrived ([`Buffer`]), remembers what must never start
//! ([`Tombstones`]), and reports load and health. A binary binds the sockets
//! and starts it:
//!
//! ```no_run
//! # async fn run(json: &[u8]) -> eyre::Result<()> {
//! let settings = agent::Settings::from_slice(json)?;
//! let links = tokio::net::TcpListener::bind(settings.listen).await?;
//! let http = tokio::net::TcpListener::bind(settings.http).await?;
//! let agent = agent::Agent::start(settings, agent::Listeners { links, http }).await?;
//! agent.shutdown().await;
//! # Ok(())
//! # }
//! ```

mod agent;
mod answer;
mod attempts;
mod buffer;
pub mod command;
mod context;
mod crash;
mod desk;
mod ending;
pub mod engine;
mod gate;
mod limits;
mod links;
mod listeners;
mod map;
mod map_agent;
mod metrics;
mod monitor;
mod rank_agent;
mod refusal;
mod reporter;
mod run;
mod sender;
mod settings;
mod status;
mod take;
mod timing;
mod tombstones;

pub use crate::agent::Agent;
pub use crate::buffer::{Buffer, Keep};
pub use crate::ending::Ending;
pub use crate::gate::{Arrival, Gate, Health, Lease, Offered, Phase, Suspicion};
pub use crate::limits::Limits;
pub use crate::listeners::Listeners;
pub use crate::map::{MapSettings, StartMap};
pub use crate::map_agent::{MapAgent, MapAgentSettings};
pub use crate::rank_agent::{RankAgentSettings, run_rank_agent};
pub use crate::refusal::Refusal;
pub use crate::settings::Settings;
pub use crate::timing::Timing;
pub use crate::tombstones::{Tombstone, Tombstones};
