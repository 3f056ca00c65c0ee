//! The connections of a server and what they hold.

use crate::connection::{Connection, Standing};
use crate::{ConnectionKey, Decision, Limits, Phase, Timeouts};
use slotmap::SlotMap;
use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// Size up to which a body may use all bytes. Larger ones leave a part to others, so that
/// callers with small requests are not refused because of a few large ones.
const SMALL_BODY_BYTES: usize = 32 << 10;

/// Part of the bytes that larger bodies leave to others.
const SMALL_BODY_PART: usize = 8;

/// Part of the connections that remains when descriptors run out. The rest is left to the
/// other uses of descriptors, such as connections to targets.
const KEPT_PARTS: (usize, usize) = (3, 4);

/// Time for which fewer connections are admitted after descriptors have run out.
const SHORTAGE_TIME: Duration = Duration::from_mins(1);

/// The connections of a server and what they hold.
#[derive(Debug)]
pub struct Intake<T> {
    limits: Limits,
    /// The lowered limit on connections, and until when it applies.
    shortage: Option<(usize, Instant)>,
    bytes: usize,
    connections: SlotMap<ConnectionKey, Connection<T>>,
}

impl<T: Clone> Intake<T> {
    /// Creates an intake without connections.
    ///
    /// ```
    /// use intake::{Intake, Limits};
    ///
    /// let intake = Intake::<()>::new(Limits { connections: 8, bytes: 1_000 });
    /// assert_eq!(intake.connections(), 0);
    /// ```
    #[must_use]
    pub fn new(limits: Limits) -> Intake<T> {
        Intake {
            limits,
            shortage: None,
            bytes: 0,
            connections: SlotMap::with_key(),
        }
    }

    /// Number of connections, including those that are being closed.
    ///
    /// ```
    /// use intake::{Intake, Limits};
    /// use std::time::Instant;
    ///
    /// let mut intake = Intake::new(Limits { connections: 8, bytes: 1_000 });
    /// intake.open((), 100, Instant::now());
    /// assert_eq!(intake.connections(), 1);
    /// ```
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Number of bytes charged.
    ///
    /// ```
    /// use intake::{Intake, Limits};
    /// use std::time::{Duration, Instant};
    ///
    /// let mut intake = Intake::new(Limits { connections: 8, bytes: 1_000 });
    /// intake.open((), 100, Instant::now());
    /// assert_eq!(intake.bytes(), 100);
    /// ```
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Admits a connection that may make the process hold `own_bytes` besides its request
    /// bodies.
    ///
    /// Against callers that open connections and hold them, connections make room that do
    /// not advance: first those without any successful request, then the longest idle.
    ///
    /// ```
    /// use intake::{Decision, Intake, Limits, Phase};
    /// use std::time::Instant;
    ///
    /// let mut intake = Intake::new(Limits { connections: 1, bytes: 1_000 });
    /// let now = Instant::now();
    /// let Decision::Granted(key) = intake.open("busy", 100, now) else { panic!() };
    /// assert!(intake.enter(key, Phase::Running, now));
    /// assert_eq!(intake.open("new", 100, now), Decision::Refused);
    /// ```
    pub fn open(
        &mut self,
        handle: T,
        own_bytes: usize,
        now: Instant,
    ) -> Decision<ConnectionKey, T> {
        let connections = (self.connections.len() + 1).saturating_sub(self.max_connections(now));
        let bytes = (self.bytes + own_bytes).saturating_sub(self.limits.bytes);
        if connections > 0 || bytes > 0 {
            return self.make_room(connections, bytes, by_standing(now));
        }
        self.bytes += own_bytes;
        Decision::Granted(self.connections.insert(Connection {
            handle,
            phase: Phase::Idle,
            advanced: now,
            own_bytes,
            body_bytes: 0,
            served: false,
            closing: false,
        }))
    }

    fn max_connections(&self, now: Instant) -> usize {
        let shortage = self.shortage.filter(|(_, until)| now < *until);
        shortage.map_or(self.limits.connections, |(lowered, _)| lowered)
    }

    /// Charges further bytes of a request body.
    ///
    /// Against callers that hold unfinished bodies, those that do not advance make room:
    /// first the ones that hold most for longest, then idle connections. Bodies that
    /// advance are never closed; the request that asks is refused instead.
    ///
    /// ```
    /// use intake::{Decision, Intake, Limits, Phase};
    /// use std::time::{Duration, Instant};
    ///
    /// let mut intake = Intake::new(Limits { connections: 8, bytes: 1_000 });
    /// let now = Instant::now();
    /// let Decision::Granted(first) = intake.open("first", 100, now) else { panic!() };
    /// assert!(intake.enter(first, Phase::Body, now));
    /// assert_eq!(intake.reserve(first, 700, now), Decision::Granted(()));
    ///
    /// let Decision::Granted(second) = intake.open("second", 100, now) else { panic!() };
    /// assert!(intake.enter(second, Phase::Body, now));
    /// assert_eq!(intake.reserve(second, 500, now), Decision::Refused);
    /// let later = now + Duration::from_secs(1);
    /// assert_eq!(intake.reserve(second, 500, later), Decision::Wait(vec!["first"]));
    /// ```
    pub fn reserve(&mut self, key: ConnectionKey, bytes: usize, now: Instant) -> Decision<(), T> {
        let Some(connection) = self.connections.get(key).filter(|c| !c.closing) else {
            return Decision::Refused;
        };
        let limit = self.limit_for(connection.body_bytes + bytes);
        let excess = (self.bytes + bytes).saturating_sub(limit);
        if excess > 0 {
            let order = |other: ConnectionKey, connection: &Connection<T>| {
                let standing = connection.standing(now);
                if other == key || standing == Standing::Advancing {
                    return None;
                }
                let stalled_for = connection.stalled_for(now);
                let held = connection.body_bytes as u128 * stalled_for.as_millis();
                Some((Reverse(held), standing, connection.advanced))
            };
            return self.make_room(0, excess, order);
        }
        self.bytes += bytes;
        if let Some(connection) = self.connections.get_mut(key) {
            connection.body_bytes += bytes;
            connection.advanced = now;
        }
        Decision::Granted(())
    }

    fn limit_for(&self, body_bytes: usize) -> usize {
        if body_bytes <= SMALL_BODY_BYTES {
            self.limits.bytes
        } else {
            self.limits.bytes - self.limits.bytes / SMALL_BODY_PART
        }
    }

    /// Returns bytes of a request body. The connection may be closed already.
    ///
    /// ```
    /// use intake::{Decision, Intake, Limits};
    /// use std::time::Instant;
    ///
    /// let mut intake = Intake::new(Limits { connections: 8, bytes: 1_000 });
    /// let now = Instant::now();
    /// let Decision::Granted(key) = intake.open((), 100, now) else { panic!() };
    /// intake.reserve(key, 700, now);
    /// intake.release(key, 700);
    /// assert_eq!(intake.bytes(), 100);
    /// ```
    pub fn release(&mut self, key: ConnectionKey, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
        if let Some(connection) = self.connections.get_mut(key) {
            connection.body_bytes = connection.body_bytes.saturating_sub(bytes);
        }
    }

    /// Removes a connection that has ended. Bytes of its request bodies stay charged until
    /// they are released.
    ///
    /// ```
    /// use intake::{Decision, Intake, Limits};
    /// use std::time::Instant;
    ///
    /// let mut intake = Intake::new(Limits { connections: 8, bytes: 1_000 });
    /// let Decision::Granted(key) = intake.open((), 100, Instant::now()) else { panic!() };
    /// intake.close(key);
    /// assert_eq!((intake.connections(), intake.bytes()), (0, 0));
    /// ```
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.remove(key) {
            self.bytes = self.bytes.saturating_sub(connection.own_bytes);
        }
    }

    /// Lowers the limit on connections for a while after the process has run out of
    /// descriptors. Returns the handles of the connections to close.
    ///
    /// ```
    /// use intake::{Intake, Limits};
    /// use std::time::Instant;
    ///
    /// let mut intake = Intake::new(Limits { connections: 8, bytes: 1_000 });
    /// let now = Instant::now();
    /// for handle in 0..4 {
    ///     intake.open(handle, 100, now);
    /// }
    /// assert_eq!(intake.on_descriptors_exhausted(now).len(), 1);
    /// ```
    pub fn on_descriptors_exhausted(&mut self, now: Instant) -> Vec<T> {
        let (kept, of) = KEPT_PARTS;
        let lowered = (self.connections.len() * kept / of).max(1);
        self.shortage = Some((lowered, now + SHORTAGE_TIME));
        let excess = self.connections.len().saturating_sub(lowered);
        let mut closed = Vec::new();
        for _ in self.closing_count()..excess {
            let Some(key) = self.first(&by_standing(now)) else {
                break;
            };
            closed.extend(self.begin_close(key));
        }
        closed
    }

    /// Records that bytes have arrived on a connection. The first ones begin a request head.
    ///
    /// ```
    /// use intake::{Decision, Intake, Limits, Timeouts};
    /// use std::time::{Duration, Instant};
    ///
    /// let timeouts = Timeouts { idle: Duration::from_secs(15), head: Duration::from_secs(3) };
    /// let mut intake = Intake::new(Limits { connections: 8, bytes: 1_000 });
    /// let now = Instant::now();
    /// let Decision::Granted(key) = intake.open((), 100, now) else { panic!() };
    /// intake.on_read(key, now);
    /// assert_eq!(intake.deadline(key, &timeouts), Some(now + timeouts.head));
    /// ```
    pub fn on_read(&mut self, key: ConnectionKey, now: Instant) {
        if let Some(connection) = self.connections.get_mut(key)
            && connection.phase == Phase::Idle
        {
            connection.phase = Phase::Head;
            connection.advanced = now;
        }
    }

    /// Changes the phase of a connection. Returns false if the connection is being closed
    /// to make room; its request must not be handled then.
    ///
    /// ```
    /// use intake::{Decision, Intake, Limits, Phase};
    /// use std::time::Instant;
    ///
    /// let mut intake = Intake::new(Limits { connections: 8, bytes: 1_000 });
    /// let now = Instant::now();
    /// let Decision::Granted(key) = intake.open((), 100, now) else { panic!() };
    /// assert!(intake.enter(key, Phase::Running, now));
    /// ```
    #[must_use]
    pub fn enter(&mut self, key: ConnectionKey, phase: Phase, now: Instant) -> bool {
        match self.connections.get_mut(key) {
            Some(connection) if !connection.closing => {
                connection.phase = phase;
                connection.advanced = now;
                true
            }
            _ => false,
        }
    }

    /// What a connection is doing.
    ///
    /// ```
    /// use intake::{Decision, Intake, Limits, Phase};
    /// use std::time::Instant;
    ///
    /// let mut intake = Intake::new(Limits { connections: 8, bytes: 1_000 });
    /// let Decision::Granted(key) = intake.open((), 100, Instant::now()) else { panic!() };
    /// assert_eq!(intake.phase(key), Some(Phase::Idle));
    /// ```
    #[must_use]
    pub fn phase(&self, key: ConnectionKey) -> Option<Phase> {
        Some(self.connections.get(key)?.phase)
    }

    /// Records that a request of a connection was successful. Others make room before it.
    ///
    /// ```
    /// use intake::{Decision, Intake, Limits};
    /// use std::time::{Duration, Instant};
    ///
    /// let mut intake = Intake::new(Limits { connections: 2, bytes: 1_000 });
    /// let now = Instant::now();
    /// let Decision::Granted(key) = intake.open("served", 100, now) else { panic!() };
    /// intake.mark_served(key);
    /// intake.open("silent", 100, now);
    /// let later = now + Duration::from_secs(1);
    /// assert_eq!(intake.open("new", 100, later), Decision::Wait(vec!["silent"]));
    /// ```
    pub fn mark_served(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.served = true;
        }
    }

    /// When a connection exceeds a time limit of its phase.
    ///
    /// ```
    /// use intake::{Decision, Intake, Limits, Timeouts};
    /// use std::time::{Duration, Instant};
    ///
    /// let timeouts = Timeouts { idle: Duration::from_secs(15), head: Duration::from_secs(3) };
    /// let mut intake = Intake::new(Limits { connections: 8, bytes: 1_000 });
    /// let now = Instant::now();
    /// let Decision::Granted(key) = intake.open((), 100, now) else { panic!() };
    /// assert_eq!(intake.deadline(key, &timeouts), Some(now + timeouts.idle));
    /// ```
    #[must_use]
    pub fn deadline(&self, key: ConnectionKey, timeouts: &Timeouts) -> Option<Instant> {
        self.connections.get(key)?.deadline(timeouts)
    }

    /// Closes connections in this order until there is room. Nothing is closed if all that
    /// may be closed are not enough.
    fn make_room<G, O: Ord>(
        &mut self,
        connections: usize,
        bytes: usize,
        order: impl Fn(ConnectionKey, &Connection<T>) -> Option<O>,
    ) -> Decision<G, T> {
        let closing = self.connections.values().filter(|c| c.closing);
        let mut freed = closing.fold((0, 0), |freed, c| (freed.0 + 1, freed.1 + c.bytes()));
        let is_enough = |freed: (usize, usize)| freed.0 >= connections && freed.1 >= bytes;
        let mut chosen = Vec::new();
        while !is_enough(freed) {
            let Some(key) = self.first(&|key, connection: &Connection<T>| {
                (!chosen.contains(&key)).then(|| order(key, connection))?
            }) else {
                return Decision::Refused;
            };
            freed = (freed.0 + 1, freed.1 + self.connections[key].bytes());
            chosen.push(key);
        }
        let handles = chosen.into_iter().filter_map(|key| self.begin_close(key));
        Decision::Wait(handles.collect())
    }

    fn first<O: Ord>(
        &self,
        order: &impl Fn(ConnectionKey, &Connection<T>) -> Option<O>,
    ) -> Option<ConnectionKey> {
        let closable = self.connections.iter().filter(|(_, c)| c.is_closable());
        let ordered = closable.filter_map(|(key, c)| Some((order(key, c)?, key)));
        ordered.min().map(|(_, key)| key)
    }

    fn begin_close(&mut self, key: ConnectionKey) -> Option<T> {
        let connection = self.connections.get_mut(key)?;
        connection.closing = true;
        Some(connection.handle.clone())
    }

    fn closing_count(&self) -> usize {
        self.connections.values().filter(|c| c.closing).count()
    }
}

/// Orders connections by standing, then by the time since they advanced.
fn by_standing<T>(
    now: Instant,
) -> impl Fn(ConnectionKey, &Connection<T>) -> Option<(Standing, Instant)> {
    move |_, connection| Some((connection.standing(now), connection.advanced))
}
