//! Decisions on requests for room.

/// Decision on a connection or on bytes that were asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision<G, T> {
    /// There is room, and it is taken.
    Granted(G),
    /// There will be room once connections are closed. Holds the handles of those that are
    /// to be closed now; others may still be closing. Ask again when one is closed.
    Wait(Vec<T>),
    /// Nobody has to make room.
    Refused,
}
