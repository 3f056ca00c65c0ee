//! Bounds what the callers of a server make it hold.
//!
//! An [`Intake`] counts the connections of a server and the bytes that each of them may
//! make the process hold: receive buffer, request head and request body. Bytes are charged
//! before they are read. When connections or bytes run out, it decides which connections
//! are closed to make room, and whether a newcomer is refused instead.
//!
//! It does no input or output and reads no clock. Each connection has a handle of the
//! caller's choice, which is returned when the connection is to be closed.
//!
//! ```
//! use intake::{Decision, Intake, Limits};
//! use std::time::{Duration, Instant};
//!
//! let limits = Limits { connections: 1, bytes: 1 << 20 };
//! let mut intake = Intake::new(limits);
//! let now = Instant::now();
//! let Decision::Granted(idle) = intake.open("idle", 1_000, now) else { panic!() };
//!
//! // The idle connection makes room for a new one.
//! let later = now + Duration::from_secs(1);
//! assert_eq!(intake.open("new", 1_000, later), Decision::Wait(vec!["idle"]));
//! intake.close(idle);
//! assert!(matches!(intake.open("new", 1_000, later), Decision::Granted(_)));
//! ```

mod connection;
mod decision;
mod intake;
mod limits;

pub use connection::{ConnectionKey, Phase};
pub use decision::Decision;
pub use intake::Intake;
pub use limits::{Limits, Timeouts};
