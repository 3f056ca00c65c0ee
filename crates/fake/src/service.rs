//! A plain service that records what reached it and echoes it.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

use crate::faults::Faults;
use crate::http::{self, Answer, Reply};
use crate::seen_log::SeenLog;
use crate::{Fault, RecordedRequest, ServiceSettings, life};

/// A plain service on loopback.
///
/// Each answer says how often the request's idempotency key and path reached
/// the service, this time included.
#[derive(Debug)]
pub struct Service {
    state: Arc<State>,
    address: SocketAddr,
}

#[derive(Debug)]
struct State {
    cfg: ServiceSettings,
    faults: Faults,
    log: SeenLog,
    running: AtomicU32,
    dead: Mutex<CancellationToken>,
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let service = fake::Service::start(fake::ServiceSettings::default()).await?;
    /// assert_ne!(service.address().port(), 0);
    /// # std::io::Result::Ok(())
    /// # }).unwrap();
    /// ```
    pub async fn start(cfg: ServiceSettings) -> io::Result<Self> {
        let address = cfg.address;
        let dead = CancellationToken::new();
        let state = Arc::new(State {
            cfg,
            faults: Faults::new(),
            log: SeenLog::default(),
            running: AtomicU32::new(0),
            dead: Mutex::new(dead.clone()),
        });
        let address = life::serve(address, Arc::clone(&state), dead, handle).await?;
        Ok(Service { state, address })
    }

    /// Starts again at the same address after a death.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        let dead = CancellationToken::new();
        std::mem::replace(&mut *self.state.dead(), dead.clone()).cancel();
        self.state.faults.clear();
        life::serve(self.address, Arc::clone(&self.state), dead, handle).await?;
        Ok(())
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The latest requests that reached it, oldest first.
    #[must_use]
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.state.log.list()
    }

    /// How often an idempotency key reached a path.
    #[must_use]
    pub fn request_count(&self, key: &str, path: &str) -> u64 {
        self.state.log.count(key, path)
    }

    /// Idempotency key, path and count of all that reached it.
    #[must_use]
    pub fn request_counts(&self) -> Vec<(String, String, u64)> {
        self.state.log.counts()
    }

    /// Switches a fault on.
    pub fn inject_fault(&self, fault: Fault) {
        self.state.inject_fault(fault);
    }

    /// Switches all faults off; a dead service stays dead.
    pub fn clear_faults(&self) {
        self.state.faults.clear();
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.state.dead().cancel();
    }
}

impl State {
    fn dead(&self) -> std::sync::MutexGuard<'_, CancellationToken> {
        self.dead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn inject_fault(&self, fault: Fault) {
        if fault == Fault::Crash {
            self.dead().cancel();
        } else {
            self.faults.add(fault);
        }
    }

    fn load(&self) -> Value {
        json!({
            "ranks": [],
            "running": self.running.load(Ordering::Relaxed),
            "queued": 0,
            "limit": self.cfg.reported_limit,
        })
    }

    fn counts(&self) -> Value {
        let counts = self.log.counts().into_iter();
        counts
            .map(|(key, path, count)| json!({"key": key, "path": path, "count": count}))
            .collect()
    }

    fn switch(&self, name: &str, seen: &RecordedRequest) -> Answer {
        if name == "clear" {
            self.faults.clear();
            return http::ok(&json!({}));
        }
        let value = String::from_utf8_lossy(&seen.body);
        let Some(fault) = Fault::parse(name, &value) else {
            return http::problem(StatusCode::NOT_FOUND, "no such fault");
        };
        self.inject_fault(fault);
        http::ok(&json!({}))
    }

    async fn call(&self, seen: RecordedRequest) -> Reply {
        if self.faults.has(&Fault::Refuse) {
            return Ok(http::problem(
                StatusCode::SERVICE_UNAVAILABLE,
                "refused by fault",
            ));
        }
        let crashes = self.faults.crashes(&seen.body);
        let answer = json!({
            "method": seen.method,
            "path": seen.path,
            "body": String::from_utf8_lossy(&seen.body),
        });
        let count = self.log.push(seen);
        let delay = self.faults.slowed(self.cfg.delay);
        if !delay.is_zero() {
            // Even a timer of no length waits for the next millisecond.
            tokio::time::sleep(delay).await;
        }
        if crashes {
            self.dead().cancel();
        }
        self.faults.wait_out(&Fault::Stall).await;
        if self.faults.has(&Fault::DropResponse) {
            return Err(http::lost());
        }
        let mut answer = answer;
        answer["count"] = count.into();
        Ok(http::ok(&answer))
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> Reply {
    let seen = http::read(req).await?;
    if let Some(name) = seen.path.strip_prefix("/fault/") {
        return Ok(state.switch(name, &seen));
    }
    let path = seen.path.clone();
    state.faults.wait_out(&Fault::Unresponsive).await;
    match path.as_str() {
        "/load" => Ok(http::ok(&state.load())),
        "/seen" => Ok(http::ok(&state.counts())),
        _ => {
            state.running.fetch_add(1, Ordering::Relaxed);
            let running = Running(&state.running);
            let reply = state.call(seen).await;
            drop(running);
            // A service that goes silent while it runs a call doesn't answer.
            state.faults.wait_out(&Fault::Unresponsive).await;
            reply
        }
    }
}

/// Counts a call as running until it ends or its connection is closed.
struct Running<'a>(&'a AtomicU32);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
