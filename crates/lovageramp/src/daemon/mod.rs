//! The three daemons and what they share: options, settings, logs, spans, signals.

mod agent;
mod control;
mod entry;
mod options;
mod ready_line;
mod runner;
mod signals;

pub use self::agent::run_agent;
pub use self::control::{run_control, serve_control};
pub use self::entry::run_entry;
pub(crate) use self::ready_line::ReadyLine;
pub(crate) use self::signals::shutdown_signal;
