//! A weight store with a rate limit.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode, header};
use tokio_util::sync::CancellationToken;

use crate::http::{self, Answer, Reply};
use crate::life;

const OCTETS: &str = "application/octet-stream";

/// How a weight store behaves.
#[derive(Clone, Debug)]
pub struct WeightSettings {
    /// Bytes given out a second, over all readers.
    pub bytes_per_s: u64,
    /// Bytes of one expert.
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

/// A weight store on loopback: `GET /weights/{layer}/{expert}`.
///
/// A read beyond the rate gets 429 with `Retry-After`.
#[derive(Debug)]
pub struct WeightStore {
    state: Arc<State>,
    address: SocketAddr,
    dead: CancellationToken,
}

#[derive(Debug)]
struct State {
    cfg: WeightSettings,
    bucket: Mutex<Bucket>,
}

/// Bytes that may be given out now; one second's worth at most.
#[derive(Debug)]
struct Bucket {
    bytes: f64,
    /// Bytes given out a second.
    rate: u64,
    filled: Instant,
    served: u64,
    refused: u64,
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
        let dead = CancellationToken::new();
        let bucket = Mutex::new(Bucket {
            bytes: 0.0,
            rate: cfg.bytes_per_s,
            filled: Instant::now(),
            served: 0,
            refused: 0,
        });
        let state = Arc::new(State { cfg, bucket });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = life::serve(any, Arc::clone(&state), dead.clone(), handle).await?;
        Ok(WeightStore {
            state,
            address,
            dead,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives out so many bytes a second from now on.
    pub fn set_rate(&self, bytes_per_s: u64) {
        self.state.bucket().rate = bytes_per_s;
    }

    /// Bytes given out so far.
    #[must_use]
    pub fn served_bytes(&self) -> u64 {
        self.state.bucket().served
    }

    /// Reads refused because of the rate so far.
    #[must_use]
    pub fn refused_reads(&self) -> u64 {
        self.state.bucket().refused
    }
}

impl Drop for WeightStore {
    fn drop(&mut self) {
        self.dead.cancel();
    }
}

impl State {
    fn bucket(&self) -> std::sync::MutexGuard<'_, Bucket> {
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner)
    }

    #[allow(
        clippy::cast_precision_loss,
        reason = "a rate of bytes needs no more than 52 bits"
    )]
    fn take(&self, now: Instant) -> Result<(), Duration> {
        let wanted = self.cfg.expert_bytes as f64;
        let mut bucket = self.bucket();
        let rate = bucket.rate.max(1) as f64;
        let elapsed = now.duration_since(bucket.filled).as_secs_f64();
        bucket.bytes = (bucket.bytes + elapsed * rate).min(rate.max(wanted));
        bucket.filled = now;
        if bucket.bytes < wanted {
            bucket.refused += 1;
            return Err(Duration::from_secs_f64((wanted - bucket.bytes) / rate));
        }
        bucket.bytes -= wanted;
        bucket.served += self.cfg.expert_bytes as u64;
        Ok(())
    }
}

async fn handle(state: Arc<State>, req: Request<Incoming>) -> Reply {
    if !req.uri().path().starts_with("/weights/") {
        return Ok(http::problem(StatusCode::NOT_FOUND, "no such path"));
    }
    match state.take(Instant::now()) {
        Ok(()) => {
            let weights = Bytes::from(vec![0; state.cfg.expert_bytes]);
            Ok(http::full(StatusCode::OK, OCTETS, weights))
        }
        Err(wait) => Ok(too_fast(wait)),
    }
}

fn too_fast(wait: Duration) -> Answer {
    let mut response = http::problem(StatusCode::TOO_MANY_REQUESTS, "rate limit");
    let seconds = wait.as_secs() + 1;
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, seconds.into());
    response
}
