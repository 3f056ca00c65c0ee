//! Small stand-ins for what lies outside lovageramp: model engines, plain
//! services and the weight store; and a relay for what lies between two
//! processes.
//!
//! Each is an HTTP server on loopback. It remembers what reached it, so that
//! a test can tell what ran, and its faults are switched on by call, from
//! Rust ([`Engine::fault`]) or over HTTP (`POST /fault/{name}` with the value
//! as body, `POST /fault/clear`).
//!
//! ```
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let engine = fake::Engine::start(fake::EngineSettings::default()).await?;
//! engine.fault(fake::Fault::EndEarly(3));
//! assert!(engine.seen().is_empty());
//! # std::io::Result::Ok(())
//! # }).unwrap();
//! ```

mod batch;
mod collective;
mod collective_member;
mod completion;
mod engine;
mod engine_settings;
mod expert_state;
mod fault;
mod faults;
mod http;
mod life;
mod loading;
mod orders;
mod ran_step;
mod relay;
mod relay_carry;
mod relay_state;
mod seen;
mod seen_log;
mod service;
mod service_settings;
mod weight_store;

pub use collective::Collective;
pub use engine::Engine;
pub use engine_settings::{EngineSettings, FencingCheck};
pub use fault::Fault;
pub use ran_step::RanStep;
pub use relay::Relay;
pub use seen::Seen;
pub use service::Service;
pub use service_settings::ServiceSettings;
pub use weight_store::{WeightSettings, WeightStore};
