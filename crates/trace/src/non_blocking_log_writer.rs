//! Log lines that never keep their process waiting.

use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::line::{cut_json_line, json_line_after};
use crate::log_rate_limiter::{Callsite, LogRateLimiter};

/// Longest line with its end. A pipe that says that it can be written to takes as
/// much at once (POSIX, `PIPE_BUF`); more might block.
const LONGEST: usize = 4_096;

/// Lines that this process has left out since its start.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Lines that this process has left out since its start, because there were too
/// many of their kind or nobody read them.
///
/// ```
/// assert_eq!(trace::lines_left_out(), 0);
/// ```
#[must_use]
pub fn lines_left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Writes log lines as JSON, as many as a [`LogRateLimiter`] admits, and only while
/// whoever reads them keeps up.
///
/// A collector that stops reading would otherwise stop the process at its next
/// line, and with it all its callers.
pub struct NonBlockingLogWriter<W> {
    inner: Mutex<Inner<W>>,
}

struct Inner<W> {
    out: W,
    budget: LogRateLimiter,
    line: Vec<u8>,
}

impl<W: AsFd + Write> NonBlockingLogWriter<W> {
    /// Lines to this pipe, file or terminal.
    #[must_use]
    pub fn new(out: W) -> NonBlockingLogWriter<W> {
        NonBlockingLogWriter {
            inner: Mutex::new(Inner {
                out,
                budget: LogRateLimiter::default(),
                line: Vec::new(),
            }),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner<W>> {
        // A line that was begun under the lock is begun anew.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<W: AsFd + Write + Send + 'static> LogWriter for NonBlockingLogWriter<W> {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut inner = self.inner();
        let event = (
            record.module_path_static().unwrap_or_default(),
            record.line().unwrap_or(0),
        );
        let Some(before) = inner.budget.admit(event, Instant::now()) else {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        };
        let written = inner.write(now, record, before);
        if !matches!(written, Ok(true)) {
            inner.lost(event, before);
        }
        written.map(drop)
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

impl<W: AsFd + Write> Inner<W> {
    /// Whether the line was written; it isn't while nobody reads.
    fn write(&mut self, now: &mut DeferredNow, record: &Record, before: u64) -> io::Result<bool> {
        self.line.clear();
        json_line_after(&mut self.line, now, record, before)?;
        if self.line.len() >= LONGEST {
            self.line.clear();
            cut_json_line(&mut self.line, now, record)?;
        }
        self.line.push(b'\n');
        if !self.is_writable() {
            return Ok(false);
        }
        self.out.write_all(&self.line)?;
        self.out.flush()?;
        Ok(true)
    }

    fn is_writable(&self) -> bool {
        let mut fds = [PollFd::from_borrowed_fd(self.out.as_fd(), PollFlags::OUT)];
        let at_once = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        let ready = poll(&mut fds, Some(&at_once));
        ready.is_ok_and(|ready| ready > 0) && fds[0].revents().contains(PollFlags::OUT)
    }

    fn lost(&mut self, event: Callsite, before: u64) {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        self.budget.lost(event, before);
    }
}
