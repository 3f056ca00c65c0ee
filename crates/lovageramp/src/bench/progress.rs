//! Progress line printed while the load runs.

use std::io::{IsTerminal, Write};
use std::time::Duration;

use super::outcome::{OutcomeStatus, RequestKind};
use super::tally::Tally;

/// Prints the progress to standard error.
pub(super) fn print(mix: &str, elapsed: Duration, tally: &Tally) {
    let chat = tally.kinds.get(&RequestKind::Chat);
    let (p50, p95) = chat.map_or((0.0, 0.0), |chat| {
        (
            chat.latency.quantile_ms(0.5),
            chat.latency.quantile_ms(0.95),
        )
    });
    let line = format!(
        "{mix} {} s: {} ended, {} refused, {} broken, {} failed; \
         first token p50 {p50:.1} ms, p95 {p95:.1} ms",
        elapsed.as_secs(),
        tally.ended(),
        tally.count(OutcomeStatus::Refused),
        tally.count(OutcomeStatus::Broken),
        tally.count(OutcomeStatus::Failed),
    );
    let mut err = std::io::stderr().lock();
    // On a terminal the line is overwritten in place.
    let (begin, end) = if err.is_terminal() {
        ("\r\x1b[K", "")
    } else {
        ("", "\n")
    };
    let _ = write!(err, "{begin}{line}{end}");
    let _ = err.flush();
}

/// Ends the progress line on a terminal.
pub(super) fn finish() {
    if std::io::stderr().is_terminal() {
        eprintln!();
    }
}
