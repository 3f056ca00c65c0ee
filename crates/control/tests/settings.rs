//! Defaults of the settings.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use control::Settings;
use serde_json::{Value, json};

fn voters(forming: &Value) -> usize {
    let settings = json!({
        "name": "control-0", "zone": "celje", "listen": "127.0.0.1:1", "http": "127.0.0.1:2",
        "data": "data", "cluster_key_file": "key", "operator_token_file": "token",
        "forming": forming,
    });
    let settings = Settings::from_slice(settings.to_string().as_bytes()).unwrap();
    settings.forming.unwrap().voters
}

/// The default number of voters must not exceed the number of seeds: otherwise a
/// deployment of one replica would wait forever for two more.
#[test]
fn forming_voters_by_default() {
    let seeds = |count: usize| {
        let seeds: Vec<String> = (1..=count).map(|n| format!("127.0.0.{n}:7000")).collect();
        json!({ "seeds": seeds })
    };
    assert_eq!([1, 2, 3, 5].map(|n| voters(&seeds(n))), [1, 2, 3, 3]);
    let with_losses = |count: usize, losses: usize| {
        let mut forming = seeds(count);
        forming["losses"] = json!(losses);
        voters(&forming)
    };
    // To survive the loss of two disks at once, three voters are not enough: the one that
    // remains may lack entries that the other two have acknowledged.
    assert_eq!([0, 1, 2].map(|losses| with_losses(3, losses)), [3, 3, 5]);
    assert_eq!(with_losses(1, 2), 1);
    assert_eq!(
        voters(&json!({"seeds": ["127.0.0.1:7000"], "voters": 5})),
        5
    );
}
