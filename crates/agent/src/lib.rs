//! The agent process that runs next to each target.
//!
//! All requests to a target go through its agent. The agent announces the
//! target, admits or refuses each attempt ([`AdmissionState`]), runs it through
//! [`engine::TargetClient`], buffers the answer until it has arrived ([`Buffer`]),
//! remembers attempts that must never start ([`Tombstones`]), and reports load and
//! health. A binary binds the sockets and starts it:
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

mod admission;
mod agent;
mod answer;
mod attempt_manager;
mod attempts;
mod buffer;
pub mod command;
mod context;
mod crash;
mod early_relay;
mod ending;
pub mod engine;
mod limits;
mod links;
mod listeners;
mod map;
mod map_agent;
mod metrics;
mod monitor;
mod prompt_parts;
mod rank_agent;
mod refusal;
mod reporter;
mod run;
mod sender;
mod settings;
mod start_handler;
mod status;
mod timing;
mod tombstones;

pub use crate::admission::{
    AdmissionState, Health, IncomingAttempt, Lease, Offered, Phase, Suspicion,
};
pub use crate::agent::Agent;
pub use crate::buffer::{Buffer, Retention};
pub use crate::ending::Ending;
pub use crate::limits::Limits;
pub use crate::listeners::Listeners;
pub use crate::map::{InitialMap, MapSettings};
pub use crate::map_agent::{MapAgent, MapAgentSettings};
pub use crate::rank_agent::{RankAgentSettings, run_rank_agent};
pub use crate::refusal::Refusal;
pub use crate::settings::Settings;
pub use crate::timing::Timing;
pub use crate::tombstones::{Tombstone, Tombstones};
