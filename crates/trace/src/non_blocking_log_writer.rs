//! A log writer that never blocks its process.

use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::line::{json_line_with_left_out, truncated_json_line};
use crate::log_rate_limiter::{Callsite, LogRateLimiter};

/// Maximum length of a line including its newline, in bytes. A pipe that polls as
/// writable accepts this many bytes without blocking (POSIX, `PIPE_BUF`); a longer
/// write might block.
const MAX_LINE_BYTES: usize = 4_096;

/// Number of lines left out since the start of the process.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines left out since the start of the process, because
/// their call site exceeded its rate limit, or the output was not being read or refused them.
///
/// ```
/// assert_eq!(trace::lines_left_out(), 0);
/// ```
#[must_use]
pub fn lines_left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Writes log lines as JSON, limited in rate by a [`LogRateLimiter`]. Lines that the
/// output can't accept without blocking are left out, as are those that it refuses.
///
/// A log collector that stops reading would otherwise block the process at its next
/// line, and with it all of its callers.
pub struct NonBlockingLogWriter<W> {
    inner: Mutex<Inner<W>>,
}

struct Inner<W> {
    out: W,
    limiter: LogRateLimiter,
    line: Vec<u8>,
}

impl<W: AsFd + Write> NonBlockingLogWriter<W> {
    /// Creates a writer to a pipe, file or terminal.
    #[must_use]
    pub fn new(out: W) -> NonBlockingLogWriter<W> {
        NonBlockingLogWriter {
            inner: Mutex::new(Inner {
                out,
                limiter: LogRateLimiter::default(),
                line: Vec::new(),
            }),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner<W>> {
        // A panic can only leave a partial line in the buffer, which each write clears.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<W: AsFd + Write + Send + 'static> LogWriter for NonBlockingLogWriter<W> {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut inner = self.inner();
        let callsite = (
            record.module_path_static().unwrap_or_default(),
            record.line().unwrap_or(0),
        );
        let Some(left_out) = inner.limiter.admit(callsite, Instant::now()) else {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        };
        let written = inner.write(now, record, left_out);
        if !matches!(written, Ok(true)) {
            inner.record_lost(callsite, left_out);
        }
        // The logger would report an error on standard error, which may block.
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

impl<W: AsFd + Write> Inner<W> {
    /// Writes a line. Returns false if the output can't accept it without blocking.
    fn write(&mut self, now: &mut DeferredNow, record: &Record, left_out: u64) -> io::Result<bool> {
        self.line.clear();
        json_line_with_left_out(&mut self.line, now, record, left_out)?;
        if self.line.len() >= MAX_LINE_BYTES {
            self.line.clear();
            truncated_json_line(&mut self.line, now, record)?;
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
        let no_wait = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        let ready = poll(&mut fds, Some(&no_wait));
        ready.is_ok_and(|ready| ready > 0) && fds[0].revents().contains(PollFlags::OUT)
    }

    fn record_lost(&mut self, callsite: Callsite, left_out: u64) {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        self.limiter.record_lost(callsite, left_out);
    }
}
