//! A fake plain service that records its requests and echoes them.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

use crate::faults::Faults;
use crate::http::{self, HandlerResult, HttpResponse};
use crate::request_log::RequestLog;
use crate::{Fault, RecordedRequest, ServiceSettings, server};

/// A fake plain service on loopback.
///
/// Each response carries the number of requests received with the same
/// idempotency key and path, this one included.
#[derive(Debug)]
pub struct Service {
    state: Arc<State>,
    address: SocketAddr,
}

#[derive(Debug)]
struct State {
    cfg: ServiceSettings,
    faults: Faults,
    requests: RequestLog,
    running: AtomicU32,
    stop: Mutex<CancellationToken>,
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
        let stop = CancellationToken::new();
        let state = Arc::new(State {
            cfg,
            faults: Faults::new(),
            requests: RequestLog::default(),
            running: AtomicU32::new(0),
            stop: Mutex::new(stop.clone()),
        });
        let address = server::serve(address, Arc::clone(&state), stop, handle).await?;
        Ok(Service { state, address })
    }

    /// Restarts the service at the same address, with cleared faults.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        let stop = CancellationToken::new();
        std::mem::replace(&mut *self.state.stop_token(), stop.clone()).cancel();
        self.state.faults.clear();
        server::serve(self.address, Arc::clone(&self.state), stop, handle).await?;
        Ok(())
    }

    /// Listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The latest requests received, oldest first.
    #[must_use]
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.state.requests.list()
    }

    /// Number of requests received with this idempotency key and path.
    #[must_use]
    pub fn request_count(&self, key: &str, path: &str) -> u64 {
        self.state.requests.count(key, path)
    }

    /// Idempotency key, path and number of all requests received.
    #[must_use]
    pub fn request_counts(&self) -> Vec<(String, String, u64)> {
        self.state.requests.counts()
    }

    /// Injects a fault.
    pub fn inject_fault(&self, fault: Fault) {
        self.state.inject_fault(fault);
    }

    /// Clears all faults; a crashed service stays down until [`Service::restart`].
    pub fn clear_faults(&self) {
        self.state.faults.clear();
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.state.stop_token().cancel();
    }
}

impl State {
    fn stop_token(&self) -> std::sync::MutexGuard<'_, CancellationToken> {
        self.stop.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn inject_fault(&self, fault: Fault) {
        if fault == Fault::Crash {
            self.stop_token().cancel();
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
        let counts = self.requests.counts().into_iter();
        counts
            .map(|(key, path, count)| json!({"key": key, "path": path, "count": count}))
            .collect()
    }

    fn set_fault(&self, name: &str, request: &RecordedRequest) -> HttpResponse {
        if name == "clear" {
            self.faults.clear();
            return http::ok(&json!({}));
        }
        let value = String::from_utf8_lossy(&request.body);
        let Some(fault) = Fault::parse(name, &value) else {
            return http::error(StatusCode::NOT_FOUND, "no such fault");
        };
        self.inject_fault(fault);
        http::ok(&json!({}))
    }

    async fn respond(&self, request: RecordedRequest) -> HandlerResult {
        if self.faults.has(&Fault::Refuse) {
            return Ok(http::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "refused by fault",
            ));
        }
        let rest = self.faults.find(|fault| match fault {
            Fault::AskRest(seconds) => Some(*seconds),
            _ => None,
        });
        if let Some(seconds) = rest {
            self.requests.push(request);
            return Ok(http::rest_asked(seconds));
        }
        let crashes = self.faults.crashes_on(&request.body);
        let mut echo = json!({
            "method": request.method,
            "path": request.path,
            "body": String::from_utf8_lossy(&request.body),
        });
        let count = self.requests.push(request);
        let delay = self.faults.scale_time(self.cfg.delay);
        if !delay.is_zero() {
            // A zero-length sleep would still wait for the next millisecond tick.
            tokio::time::sleep(delay).await;
        }
        if crashes {
            self.stop_token().cancel();
        }
        self.faults.wait_until_cleared(&Fault::Stall).await;
        if self.faults.has(&Fault::DropResponse) {
            return Err(http::dropped_by_fault());
        }
        echo["count"] = count.into();
        Ok(http::ok(&echo))
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> HandlerResult {
    let request = http::read_request(req).await?;
    if let Some(name) = request.path.strip_prefix("/fault/") {
        return Ok(state.set_fault(name, &request));
    }
    let path = request.path.clone();
    state.faults.wait_until_cleared(&Fault::Unresponsive).await;
    match path.as_str() {
        "/load" => Ok(http::ok(&state.load())),
        "/seen" => Ok(http::ok(&state.counts())),
        _ => {
            state.running.fetch_add(1, Ordering::Relaxed);
            let guard = RunningGuard(&state.running);
            let result = state.respond(request).await;
            drop(guard);
            // The fault may have been injected while the request was running.
            state.faults.wait_until_cleared(&Fault::Unresponsive).await;
            result
        }
    }
}

/// Counts a request as running until it ends or its connection is closed.
struct RunningGuard<'a>(&'a AtomicU32);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
