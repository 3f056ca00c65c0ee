//! Loads the experts of a map from the weight store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::engine::RunningEngine;
use crate::expert_state::LoadedMap;

/// Delay before a failed read of an expert is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Loads the experts that the engine's ranks hold in `map` but not in the map in
/// use, then stages `map`.
pub(crate) async fn load(engine: Arc<RunningEngine>, map: LoadedMap) {
    let cfg = &engine.shared.cfg;
    tokio::time::sleep(engine.shared.faults.scale_time(cfg.staging_time)).await;
    if let Some(store) = cfg.weight_store {
        let current = engine.experts.borrow().map.clone();
        for (layer, expert) in missing_experts(&cfg.ranks, &current, &map.map) {
            fetch(store, layer, expert).await;
        }
    }
    engine
        .experts
        .send_modify(|experts| experts.finish_loading(map));
}

/// Layer and number of each expert that a rank holds in `next` but not in
/// `current`.
fn missing_experts(ranks: &[u32], current: &Value, next: &Value) -> Vec<(usize, u64)> {
    let mut missing = Vec::new();
    let layers = next["layers"].as_array().map_or(0, Vec::len);
    for layer in 0..layers {
        for rank in ranks {
            let held = slots(current, layer, *rank);
            let wanted = slots(next, layer, *rank).into_iter();
            let added = wanted.filter(|expert| !held.contains(expert));
            missing.extend(added.map(|expert| (layer, expert)));
        }
    }
    missing
}

fn slots(map: &Value, layer: usize, rank: u32) -> Vec<u64> {
    let rank = usize::try_from(rank).unwrap_or(usize::MAX);
    let slots = map["layers"][layer][rank].as_array();
    let slots = slots.into_iter().flatten();
    slots.filter_map(Value::as_u64).collect()
}

/// Requests an expert until the store returns it; waits between attempts as the
/// store demands.
async fn fetch(store: SocketAddr, layer: usize, expert: u64) {
    loop {
        match request_expert(store, layer, expert).await {
            Ok(None) => return,
            Ok(Some(delay)) => tokio::time::sleep(delay).await,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Requests an expert once. Returns `None` when the store returned it, otherwise
/// the delay before the next attempt.
async fn request_expert(
    store: SocketAddr,
    layer: usize,
    expert: u64,
) -> io::Result<Option<Duration>> {
    let mut stream = TcpStream::connect(store).await?;
    let head = format!(
        "GET /weights/{layer}/{expert} HTTP/1.1\r\nhost: weights\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    if response.starts_with(b"HTTP/1.1 200") {
        return Ok(None);
    }
    let head = String::from_utf8_lossy(&response).to_ascii_lowercase();
    let retry_after = head
        .lines()
        .find_map(|line| line.strip_prefix("retry-after:"));
    let seconds = retry_after.and_then(|value| value.trim().parse().ok());
    Ok(Some(seconds.map_or(RETRY_DELAY, Duration::from_secs)))
}
