//! Histories under random submissions: atomicity, equality of replicas, late and
//! duplicate deliveries, arbitrary bytes.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes its arguments by value"
)]

use std::collections::BTreeMap;

use note::{Catalogue, Digest, History, Submission};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::{Map, Value, json};

const CASES: u64 = 2_000;
const KINDS: [&str; 5] = ["account", "group", "model", "service", "target"];

fn pick<'a>(g: &mut Gen, from: &[&'a str]) -> &'a str {
    g.choose(from).unwrap()
}

/// Generates an item from a small set of names, so that both valid and invalid notes
/// are frequent.
fn item(g: &mut Gen) -> Value {
    let name = pick(g, &["a", "b", "c"]);
    let other = pick(g, &["a", "b", "c"]);
    match pick(g, &KINDS) {
        "account" => {
            let key = Digest::of(other.as_bytes()).to_string();
            json!({"kind": "account", "name": name, "key_sha256": key})
        }
        "group" => json!({"kind": "group", "name": name, "model": other, "ranks": 2,
            "layers": 1, "experts": 1 + u8::arbitrary(g) / 2}),
        "model" => json!({"kind": "model", "name": name, "versions": [other]}),
        "service" => json!({"kind": "service", "name": name, "timeout_ms": u8::arbitrary(g)}),
        _ => {
            let serves = pick(g, &["group", "service"]);
            let mut target = Map::new();
            target.insert("kind".to_owned(), "target".into());
            target.insert("name".to_owned(), name.into());
            target.insert(serves.to_owned(), other.into());
            Value::Object(target)
        }
    }
}

fn short_list(g: &mut Gen, make: fn(&mut Gen) -> Value) -> Vec<Value> {
    let len = u8::arbitrary(g) % 3;
    (0..len).map(|_| make(g)).collect()
}

/// A note submitted by an operator. `ahead` is added to the next number.
#[derive(Debug, Clone)]
struct SubmittedNote {
    ahead: i8,
    added: Vec<Value>,
    changed: Vec<Value>,
    withdrawn: Vec<Value>,
}

impl SubmittedNote {
    fn json(&self, next: u64) -> Value {
        let number = next.saturating_add_signed(self.ahead.into());
        json!({"number": number, "added": self.added, "changed": self.changed,
            "withdrawn": self.withdrawn})
    }
}

impl Arbitrary for SubmittedNote {
    fn arbitrary(g: &mut Gen) -> Self {
        let ahead = *g.choose(&[0, 0, 0, 0, 0, 0, -1, 1]).unwrap();
        let withdraw = |g: &mut Gen| json!({"kind": pick(g, &KINDS), "name": pick(g, &["a", "b"])});
        SubmittedNote {
            ahead,
            added: short_list(g, item),
            changed: short_list(g, item),
            withdrawn: short_list(g, withdraw),
        }
    }
}

type Items = BTreeMap<(String, String), Value>;

fn key(item: &Value) -> (String, String) {
    let text = |key: &str| item[key].as_str().unwrap().to_owned();
    (text("kind"), text("name"))
}

/// Reference implementation: applies an accepted note to the expected items.
fn apply(items: &mut Items, note: &Value) {
    for withdrawal in note["withdrawn"].as_array().unwrap() {
        items.remove(&key(withdrawal));
    }
    for list in ["changed", "added"] {
        for item in note[list].as_array().unwrap() {
            items.insert(key(item), item.clone());
        }
    }
}

/// Returns whether the catalogue contains exactly these items.
fn contains_exactly(catalogue: &Catalogue, items: &Items) -> bool {
    let catalogue: Value = serde_json::from_slice(&catalogue.to_json()).unwrap();
    let held = catalogue["items"].as_array().unwrap();
    held.len() == items.len()
        && held.iter().all(|item| {
            let sent = items.get(&key(item));
            let sent = sent.and_then(Value::as_object);
            // The catalogue also contains defaults that were not sent.
            sent.is_some_and(|sent| sent.iter().all(|(key, value)| &item[key] == value))
        })
}

fn run_seeded(property: fn(Vec<SubmittedNote>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 31))
        .tests(CASES)
        .quickcheck(property);
}

#[test]
fn submit_is_atomic() {
    // If an invalid note were applied in part, targets could be assigned to a group
    // that was rejected with the same note.
    fn property(sent: Vec<SubmittedNote>) -> bool {
        let mut history = History::default();
        let mut items = Items::new();
        sent.iter().all(|sent| {
            let before = history.clone();
            let note = sent.json(before.catalogue().number() + 1);
            let submission = history.submit(note.to_string().as_bytes(), "anna");
            if matches!(submission, Submission::Accepted(_)) {
                apply(&mut items, &note);
            } else if history != before {
                return false;
            }
            // Parsing the snapshot validates every reference again.
            let read = Catalogue::from_json(&history.catalogue().to_json());
            contains_exactly(history.catalogue(), &items)
                && read.as_ref() == Ok(history.catalogue())
        })
    }
    run_seeded(property);
}

#[test]
fn submit_is_deterministic_across_restore() {
    // One replica processes every submission, the other is restored from a snapshot
    // after each. If their histories differed, a leader change could revert an
    // accepted note.
    fn property(sent: Vec<SubmittedNote>) -> bool {
        let (mut continuous, mut restored) = (History::default(), History::default());
        sent.iter().all(|sent| {
            let json = sent.json(continuous.catalogue().number() + 1).to_string();
            let here = continuous.submit(json.as_bytes(), "anna");
            let there = restored.submit(json.as_bytes(), "anna");
            restored = History::from_json(&restored.to_json()).unwrap();
            here == there && continuous == restored && continuous.to_json() == restored.to_json()
        })
    }
    run_seeded(property);
}

#[test]
fn apply_ignores_late_and_duplicate_notes() {
    // A node fetches notes over several links, so notes can arrive late and more
    // than once. The node must reach the same catalogue and never revert.
    fn property(sent: Vec<SubmittedNote>) -> bool {
        let mut history = History::default();
        let mut node = Catalogue::default();
        let mut delivered = Vec::new();
        for sent in &sent {
            let json = sent.json(history.catalogue().number() + 1).to_string();
            history.submit(json.as_bytes(), "anna");
            for content in history.notes_after(node.number()).unwrap() {
                let checked = node.check(&content).unwrap();
                node.apply(&checked);
                delivered.push(checked);
            }
            for late in delivered.iter().rev() {
                node.apply(late);
            }
            if node != *history.catalogue() {
                return false;
            }
        }
        true
    }
    run_seeded(property);
}

#[test]
fn resubmit_returns_original_answer() {
    // The answer to a note was lost. The operator resubmits it with different white
    // space, after another operator's note was accepted. If a conflict were
    // reported, the operator would submit the same change under another number.
    let mut history = History::default();
    let first = r#"{"number": 1, "added": [{"kind": "model", "name": "m"}]}"#;
    let Submission::Accepted(accepted) = history.submit(first.as_bytes(), "anna") else {
        panic!("the first note must be accepted");
    };
    history.submit(br#"{"number": 2}"#, "boris");
    let again = first.replace(' ', "\n ");
    let again = history.submit(again.as_bytes(), "anna");
    assert_eq!(again, Submission::Repeated(accepted.clone()));
    let other = history.submit(br#"{"number": 1}"#, "anna");
    assert_eq!(other, Submission::Conflict(Some(accepted)));
}

#[test]
fn notes_after_is_bounded() {
    // A node is down while many large notes are accepted. The size of the kept
    // notes must stay bounded; the node has to fetch the whole catalogue instead.
    let mut history = History::default();
    for number in 1..=30 {
        let list = if number == 1 { "added" } else { "changed" };
        let versions: Vec<String> = (0..900).map(|n| format!("{n:0>120}-{number}")).collect();
        let models: Vec<Value> = (0..5)
            .map(|n| json!({"kind": "model", "name": format!("m{n}"), "versions": versions}))
            .collect();
        let mut note = json!({"number": number});
        note[list] = models.into();
        let submission = history.submit(note.to_string().as_bytes(), "anna");
        assert!(matches!(submission, Submission::Accepted(_)));
    }
    assert!(history.notes_after(0).is_none());
    assert_eq!(history.notes_after(29).unwrap().len(), 1);
    assert!(history.to_json().len() < 12 << 20);
    assert!(history.accepted(1).is_some());
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    // Malformed notes and corrupted snapshots must be rejected with a finding and
    // must not crash a replica.
    fn property(noise: Vec<u8>, at: usize) -> bool {
        let mut history = History::default();
        let note = br#"{"number":1,"added":[{"kind":"model","name":"m","versions":["v"]},
            {"kind":"group","name":"g","model":"m","ranks":1,"layers":1,"experts":1}]}"#;
        history.submit(note, "anna");
        for valid in [
            note.to_vec(),
            history.catalogue().to_json(),
            history.to_json(),
        ] {
            let start = at % valid.len();
            let end = (start + noise.len()).min(valid.len());
            let mut bytes = valid.clone();
            bytes.splice(start..end, noise.iter().copied());
            for bytes in [&noise, &bytes] {
                drop(history.clone().submit(bytes, "anna"));
                drop(Catalogue::from_json(bytes));
                if let Ok(mut read) = History::from_json(bytes) {
                    read.submit(br#"{"number":2}"#, "anna");
                    drop(read.notes_after(0));
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(48, 37))
        .tests(CASES)
        .quickcheck(property as fn(Vec<u8>, usize) -> bool);
}
