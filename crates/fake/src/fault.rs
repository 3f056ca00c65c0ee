//! Faults that can be switched on.

/// One way for a stand-in to fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Closes the socket and all connections.
    Crash,
    /// Dies soon after it began to run a request whose body holds this text.
    CrashOn(String),
    /// Makes no steps: whatever runs gets nothing more, load still answers.
    Stall,
    /// Takes this many times as long.
    Slow(u32),
    /// Ends an answer properly after this many events, before its end.
    EndEarly(u64),
    /// Closes the connection after this many events.
    CloseAfter(u64),
    /// Answers 503 to each request.
    Refuse,
    /// Does what a request or order asks and closes the connection instead of
    /// answering.
    DropResponse,
    /// Accepts connections and reads, but writes nothing any more.
    Unresponsive,
    /// Obeys orders with an old fencing number, whatever its settings say.
    IgnoreFencing,
}

impl Fault {
    /// Reads a fault from its name in `POST /fault/{name}` and the body.
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
            "lose-answer" => Fault::DropResponse,
            "silent" => Fault::Unresponsive,
            "ignore-fencing" => Fault::IgnoreFencing,
            _ => return None,
        })
    }
}
