//! Test doubles for the systems around lovageramp: model engines, plain
//! services and the weight store, and a TCP relay that simulates network
//! faults between two processes.
//!
//! The fakes are HTTP servers on loopback. They record the requests that they
//! receive, so that a test can check what ran. Faults are injected from Rust
//! ([`Engine::inject_fault`]) or over HTTP (`POST /fault/{name}` with the value
//! as body, `POST /fault/clear`).
//!
//! ```
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let engine = fake::Engine::start(fake::EngineSettings::default()).await?;
//! engine.inject_fault(fake::Fault::EndEarly(3));
//! assert!(engine.requests().is_empty());
//! # std::io::Result::Ok(())
//! # }).unwrap();
//! ```

mod batch;
mod collective;
mod collective_member;
mod completed_step;
mod completion;
mod control_routes;
mod engine;
mod engine_settings;
mod expert_state;
mod fault;
mod faults;
mod http;
mod listen;
mod loading;
mod recorded_request;
mod relay;
mod relay_carry;
mod relay_state;
mod request_log;
mod server;
mod service;
mod service_settings;
mod weight_store;

pub use collective::Collective;
pub use completed_step::CompletedStep;
pub use engine::Engine;
pub use engine_settings::{EngineSettings, FencingCheck};
pub use fault::Fault;
pub use recorded_request::RecordedRequest;
pub use relay::Relay;
pub use service::Service;
pub use service_settings::ServiceSettings;
pub use weight_store::{WeightSettings, WeightStore};
