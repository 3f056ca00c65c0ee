//! Faults that can be injected.

/// One way for a fake to fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Closes the listening socket and all connections at once.
    Crash,
    /// Crashes shortly after it starts a request whose body contains this text.
    CrashOn(String),
    /// Runs no steps: requests make no progress, `/load` still responds.
    Stall,
    /// Multiplies all processing times by this factor.
    Slow(u32),
    /// Ends a response cleanly after this many events, before it is complete.
    EndEarly(u64),
    /// Aborts the connection after this many events.
    CloseAfter(u64),
    /// Responds to each request with 503.
    Refuse,
    /// Responds to each request with 503 and this many seconds of `Retry-After`.
    AskRest(u64),
    /// Executes the request or command, then closes the connection without a
    /// response.
    DropResponse,
    /// Accepts connections and reads from them, but never writes.
    Unresponsive,
    /// Executes commands with a stale fencing number, whatever the settings say.
    IgnoreFencing,
}

impl Fault {
    /// Parses a fault from the name in `POST /fault/{name}` and the request body.
    ///
    /// ```
    /// use fake::Fault;
    ///
    /// assert_eq!(Fault::parse("slow", "4"), Some(Fault::Slow(4)));
    /// assert_eq!(Fault::parse("slow", "much"), None);
    /// ```
    #[must_use]
    pub fn parse(name: &str, value: &str) -> Option<Self> {
        Some(match name {
            "die" => Fault::Crash,
            "crash-on" if !value.is_empty() => Fault::CrashOn(value.to_owned()),
            "stall" => Fault::Stall,
            "slow" => Fault::Slow(value.trim().parse().ok()?),
            "end-early" => Fault::EndEarly(value.trim().parse().ok()?),
            "cut" => Fault::CloseAfter(value.trim().parse().ok()?),
            "refuse" => Fault::Refuse,
            "ask-rest" => Fault::AskRest(value.trim().parse().ok()?),
            "lose-answer" => Fault::DropResponse,
            "silent" => Fault::Unresponsive,
            "ignore-fencing" => Fault::IgnoreFencing,
            _ => return None,
        })
    }
}
