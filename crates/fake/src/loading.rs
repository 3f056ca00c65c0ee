//! Loads the experts of a map from the weight store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::engine::Life;
use crate::expert_state::Loaded;

/// Before an expert is asked for again that the store failed to give.
const PAUSE: Duration = Duration::from_millis(100);

/// Loads what a map gives the engine's ranks that the one in use doesn't, and
/// stages it.
pub(crate) async fn load(life: Arc<Life>, map: Loaded) {
    let cfg = &life.shared.cfg;
    tokio::time::sleep(life.shared.faults.slowed(cfg.staging_time)).await;
    if let Some(store) = cfg.weight_store {
        let used = life.experts.borrow().map.clone();
        for (layer, expert) in missing(&cfg.ranks, &used, &map.map) {
            fetch(store, layer, expert).await;
        }
    }
    life.experts.send_modify(|experts| experts.loaded(map));
}

/// Layer and number of each expert that a rank holds by `next` and not by
/// `used`.
fn missing(ranks: &[u32], used: &Value, next: &Value) -> Vec<(usize, u64)> {
    let mut missing = Vec::new();
    let layers = next["layers"].as_array().map_or(0, Vec::len);
    for layer in 0..layers {
        for rank in ranks {
            let held = slots(used, layer, *rank);
            let wanted = slots(next, layer, *rank).into_iter();
            let lacking = wanted.filter(|expert| !held.contains(expert));
            missing.extend(lacking.map(|expert| (layer, expert)));
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

/// Asks again when the store says so, until it gives the expert.
async fn fetch(store: SocketAddr, layer: usize, expert: u64) {
    loop {
        match ask(store, layer, expert).await {
            Ok(None) => return,
            Ok(Some(wait)) => tokio::time::sleep(wait).await,
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// How long to wait before the next attempt; `None` once the expert is there.
async fn ask(store: SocketAddr, layer: usize, expert: u64) -> io::Result<Option<Duration>> {
    let mut stream = TcpStream::connect(store).await?;
    let head = format!(
        "GET /weights/{layer}/{expert} HTTP/1.1\r\nhost: weights\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    if answer.starts_with(b"HTTP/1.1 200") {
        return Ok(None);
    }
    let head = String::from_utf8_lossy(&answer).to_ascii_lowercase();
    let after = head
        .lines()
        .find_map(|line| line.strip_prefix("retry-after:"));
    let seconds = after.and_then(|value| value.trim().parse().ok());
    Ok(Some(seconds.map_or(PAUSE, Duration::from_secs)))
}
