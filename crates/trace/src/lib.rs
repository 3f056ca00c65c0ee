//! Logging, span export and W3C trace context of the daemons.
//!
//! The W3C `traceparent` is propagated from the caller through entry and agent to the
//! target: each hop opens a span, makes it a child of the received context with
//! [`set_parent`], and forwards the [`traceparent`] of its own span.
//!
//! ```
//! let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
//! let span = tracing::info_span!("attempt");
//! trace::set_parent(&span, parent);
//! // If no spans are exported, the caller's context is forwarded unchanged.
//! assert_eq!(trace::traceparent(&span, parent), parent);
//! ```

mod context;
mod line;
mod log_rate_limiter;
mod logs;
mod non_blocking_log_writer;
mod spans;

pub use crate::context::{is_valid_traceparent, set_parent, traceparent};
pub use crate::line::{json_line, text_line};
pub use crate::log_rate_limiter::{Callsite, LogRateLimiter};
pub use crate::logs::{LogFormat, LogStream, start_logging, start_logging_to};
pub use crate::non_blocking_log_writer::{NonBlockingLogWriter, lines_left_out};
pub use crate::spans::{SpanExport, start_span_export};
