//! What the three daemons have in common: options, settings, logs, spans, signals.

mod agent;
mod control;
mod entry;
mod options;
mod ready;
mod shell;
mod signals;

pub use self::agent::run_agent;
pub use self::control::{run_control, serve_control};
pub use self::entry::run_entry;
pub(crate) use self::ready::Ready;
pub(crate) use self::signals::asked_to_end;
