//! Reading of settings: findings, defaults, unknown keys and arbitrary bytes.
#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck gives its arguments by value"
)]

use std::net::SocketAddr;
use std::time::Duration;

use cfg::Reader;
use quickcheck::{Gen, QuickCheck};

fn read_all(r: &mut Reader) {
    let _: Option<String> = r.required("name");
    let _: Option<SocketAddr> = r.optional("listen");
    r.within(
        "beat_ms",
        Duration::from_millis(200),
        Duration::from_millis(1)..=Duration::from_mins(1),
    );
    r.section("engine").or("ranks", vec![0_u32]);
    for mut replica in r.sections("replicas") {
        let _: Option<SocketAddr> = replica.required("address");
    }
}

fn findings(json: &str) -> Vec<String> {
    let mut r = match Reader::from_slice(json.as_bytes()) {
        Ok(r) => r,
        Err(findings) => return vec![findings.to_string()],
    };
    read_all(&mut r);
    match r.finish() {
        Ok(()) => Vec::new(),
        Err(findings) => findings
            .as_slice()
            .iter()
            .map(ToString::to_string)
            .collect(),
    }
}

#[test]
fn finish_several_errors() {
    // A settings file has several errors. If they were reported one at a time, each
    // start of the daemon would only show the next one.
    let json = r#"{"listen": "celje", "beat_ms": 0, "engine": {"rank": 3},
        "replicas": [{"address": "127.0.0.1:1"}, {"adress": "127.0.0.1:2"}, 7]}"#;
    assert_eq!(
        findings(json),
        [
            "missing at name",
            "expected an address \"ip:port\" at listen",
            "must lie between 1 and 60000, is 0 at beat_ms",
            "expected an object at replicas[2]",
            "missing at replicas[1].address",
            "unknown key, did you mean \"ranks\"? at engine.rank",
            "unknown key, did you mean \"address\"? at replicas[1].adress",
        ]
    );
}

#[test]
fn from_slice_malformed() {
    // A file that was truncated while it was copied is reported with the place.
    assert_eq!(
        findings("{\"name\":"),
        ["malformed JSON: EOF while parsing a value at line 1 column 8"]
    );
}

#[test]
fn from_slice_duplicate_key() {
    // An edit leaves a key in the file twice. JSON parsers silently use the last one,
    // while the operator may look at the first.
    assert_eq!(
        findings("{\"name\": \"a\",\n \"name\": \"b\"}"),
        ["malformed JSON: key \"name\" stands twice at line 2 column 7"]
    );
}

#[test]
fn effective_reads_again() {
    let mut r =
        Reader::from_slice(br#"{"name": "a", "replicas": [{"address": "127.0.0.1:1"}]}"#).unwrap();
    read_all(&mut r);
    let printed = r.effective().to_string();
    assert_eq!(findings(&printed), Vec::<String>::new());
    assert_eq!(
        printed,
        r#"{"beat_ms":200,"engine":{"ranks":[0]},"listen":null,"name":"a","replicas":[{"address":"127.0.0.1:1"}]}"#
    );
}

#[test]
fn from_slice_arbitrary_bytes() {
    // A file is damaged or is not a settings file. The reader must report findings and
    // not panic for any bytes.
    fn does_not_panic(noise: Vec<u8>, at: usize) -> bool {
        let mut json = br#"{"name":"a","listen":"127.0.0.1:1","beat_ms":5,"engine":{"ranks":[1]},"replicas":[{}]}"#.to_vec();
        let start = at % json.len();
        let end = (start + noise.len()).min(json.len());
        json.splice(start..end, noise.iter().copied());
        for bytes in [&noise, &json] {
            if let Ok(mut r) = Reader::from_slice(bytes) {
                read_all(&mut r);
                drop(r.effective());
                drop(r.finish());
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 11))
        .tests(2_000)
        .quickcheck(does_not_panic as fn(Vec<u8>, usize) -> bool);
}
