//! Logs and spans of the daemons, and the trace context between them.
//!
//! The W3C `traceparent` goes from the caller through entry and agent to the target:
//! each hop opens a span, [`adopt`]s the context that came in, and passes [`context`]
//! of its own span on.
//!
//! ```
//! let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
//! let span = tracing::info_span!("attempt");
//! trace::adopt(&span, parent);
//! // Without spans being exported, the caller's own context is passed on.
//! assert_eq!(trace::context(&span, parent), parent);
//! ```

mod bounded_lines;
mod context;
mod line;
mod line_budget;
mod logs;
mod spans;

pub use crate::bounded_lines::{BoundedLines, lines_left_out};
pub use crate::context::{adopt, context, is_valid};
pub use crate::line::{json_line, text_line};
pub use crate::line_budget::{EventKey, LineBudget};
pub use crate::logs::{LogFormat, LogStream, start_logs, start_logs_on};
pub use crate::spans::{Spans, start_spans};
