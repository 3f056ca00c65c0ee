//! A line each second while the load runs.

use std::io::{IsTerminal, Write};
use std::time::Duration;

use super::outcome::{Ending, Kind};
use super::tally::Tally;

/// Prints to standard error how far the load has come.
pub(super) fn show(mix: &str, elapsed: Duration, tally: &Tally) {
    let first = tally.kinds.get(&Kind::Chat);
    let (p50, p95) = first.map_or((0.0, 0.0), |chat| (chat.first.at(0.5), chat.first.at(0.95)));
    let line = format!(
        "{mix} {} s: {} ended, {} refused, {} broken, {} failed; \
         first token p50 {p50:.1} ms, p95 {p95:.1} ms",
        elapsed.as_secs(),
        tally.ended(),
        tally.count(Ending::Refused),
        tally.count(Ending::Broken),
        tally.count(Ending::Failed),
    );
    let mut err = std::io::stderr().lock();
    // On a terminal one line is written over and over.
    let (begin, end) = if err.is_terminal() {
        ("\r\x1b[K", "")
    } else {
        ("", "\n")
    };
    let _ = write!(err, "{begin}{line}{end}");
    let _ = err.flush();
}

/// Ends the line.
pub(super) fn end() {
    if std::io::stderr().is_terminal() {
        eprintln!();
    }
}
