//! A fake weight store with a rate limit.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode, header};
use tokio_util::sync::CancellationToken;

use crate::http::{self, HandlerResult, HttpResponse};
use crate::server;

const OCTET_STREAM: &str = "application/octet-stream";

/// Settings of a fake weight store.
#[derive(Clone, Debug)]
pub struct WeightSettings {
    /// Rate limit in bytes per second, over all readers.
    pub bytes_per_s: u64,
    /// Size of one expert in bytes.
    pub expert_bytes: usize,
}

impl Default for WeightSettings {
    fn default() -> Self {
        WeightSettings {
            bytes_per_s: 64 << 20,
            expert_bytes: 64 << 10,
        }
    }
}

/// A fake weight store on loopback: `GET /weights/{layer}/{expert}`.
///
/// A read that exceeds the rate limit gets 429 with `Retry-After`.
#[derive(Debug)]
pub struct WeightStore {
    state: Arc<State>,
    address: SocketAddr,
    stop: CancellationToken,
}

#[derive(Debug)]
struct State {
    cfg: WeightSettings,
    bucket: Mutex<TokenBucket>,
}

/// Token bucket that holds at most one second's worth of bytes.
#[derive(Debug)]
struct TokenBucket {
    available: f64,
    /// Bytes per second.
    rate: u64,
    refilled_at: Instant,
    served_bytes: u64,
    refused_reads: u64,
}

impl WeightStore {
    /// Starts a weight store.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be bound.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let store = fake::WeightStore::start(fake::WeightSettings::default()).await?;
    /// assert_eq!(store.served_bytes(), 0);
    /// # std::io::Result::Ok(())
    /// # }).unwrap();
    /// ```
    pub async fn start(cfg: WeightSettings) -> io::Result<Self> {
        let stop = CancellationToken::new();
        let bucket = Mutex::new(TokenBucket {
            available: 0.0,
            rate: cfg.bytes_per_s,
            refilled_at: Instant::now(),
            served_bytes: 0,
            refused_reads: 0,
        });
        let state = Arc::new(State { cfg, bucket });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = server::serve(any, Arc::clone(&state), stop.clone(), handle).await?;
        Ok(WeightStore {
            state,
            address,
            stop,
        })
    }

    /// Listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the rate limit.
    pub fn set_rate(&self, bytes_per_s: u64) {
        self.state.bucket().rate = bytes_per_s;
    }

    /// Number of bytes served so far.
    #[must_use]
    pub fn served_bytes(&self) -> u64 {
        self.state.bucket().served_bytes
    }

    /// Number of reads refused so far because of the rate limit.
    #[must_use]
    pub fn refused_reads(&self) -> u64 {
        self.state.bucket().refused_reads
    }
}

impl Drop for WeightStore {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl State {
    fn bucket(&self) -> std::sync::MutexGuard<'_, TokenBucket> {
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner)
    }

    #[allow(
        clippy::cast_precision_loss,
        reason = "a rate of bytes needs no more than 52 bits"
    )]
    fn take_expert(&self, now: Instant) -> Result<(), Duration> {
        let wanted = self.cfg.expert_bytes as f64;
        let mut bucket = self.bucket();
        let rate = bucket.rate.max(1) as f64;
        let elapsed = now.duration_since(bucket.refilled_at).as_secs_f64();
        bucket.available = (bucket.available + elapsed * rate).min(rate.max(wanted));
        bucket.refilled_at = now;
        if bucket.available < wanted {
            bucket.refused_reads += 1;
            return Err(Duration::from_secs_f64((wanted - bucket.available) / rate));
        }
        bucket.available -= wanted;
        bucket.served_bytes += self.cfg.expert_bytes as u64;
        Ok(())
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> HandlerResult {
    if !req.uri().path().starts_with("/weights/") {
        return Ok(http::error(StatusCode::NOT_FOUND, "no such path"));
    }
    match state.take_expert(Instant::now()) {
        Ok(()) => {
            let weights = Bytes::from(vec![0; state.cfg.expert_bytes]);
            Ok(http::with_body(StatusCode::OK, OCTET_STREAM, weights))
        }
        Err(retry_after) => Ok(rate_limited(retry_after)),
    }
}

fn rate_limited(retry_after: Duration) -> HttpResponse {
    let mut response = http::error(StatusCode::TOO_MANY_REQUESTS, "rate limit");
    let seconds = retry_after.as_secs() + 1;
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, seconds.into());
    response
}
