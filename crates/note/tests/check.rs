//! Reasons for rejecting a note, and the places that the findings point to.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use note::{Catalogue, Finding};

const FIRST_NOTE: &str = r#"{"number": 1, "added": [
    {"kind": "group", "name": "blank-advisor", "model": "burl-notes", "ranks": 16, "layers": 4,
     "experts": 128, "spare_slots": 1, "weights": {"skew": 1.0, "moves": 4.0}},
    {"kind": "model", "name": "burl-notes", "versions": ["2026-11"], "adapters": ["spalted"]},
    {"kind": "service", "name": "order-desk", "repeatable": ["GET", "HEAD"], "timeout_ms": 10000},
    {"kind": "account", "name": "saegewerk-huber", "share": 2,
     "key_sha256": "2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea"},
    {"kind": "target", "name": "advisor-01", "group": "blank-advisor"},
    {"kind": "target", "name": "desk-01", "service": "order-desk"}]}"#;

fn catalogue_with_first_note() -> Catalogue {
    let mut catalogue = Catalogue::default();
    let checked = catalogue.check(FIRST_NOTE.as_bytes()).unwrap();
    catalogue.apply(&checked);
    catalogue
}

fn findings(json: &str) -> Vec<String> {
    match catalogue_with_first_note().check(json.as_bytes()) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.iter().map(Finding::to_string).collect(),
    }
}

#[test]
fn catalogue_lookups() {
    let catalogue = catalogue_with_first_note();
    assert_eq!(catalogue.number(), 1);
    assert_eq!(
        catalogue.account_by_key(b"demo").unwrap().name,
        "saegewerk-huber"
    );
    assert!(catalogue.account_by_key(b"other").is_none());
    assert_eq!(
        catalogue.target("desk-01").unwrap().service(),
        Some("order-desk")
    );
    assert_eq!(catalogue.groups_for("burl-notes").count(), 1);
    assert!(
        !catalogue
            .service("order-desk")
            .unwrap()
            .is_repeatable("POST")
    );
}

#[test]
fn check_reports_all_structural_findings() {
    // Reporting only the first of several structural errors would force the
    // operator to resubmit the note once per error.
    let json = r#"{"number": 2, "addd": [], "changed": [
        {"kind": "grup", "name": "x", "ranks": 1},
        {"kind": "group", "name": "a/b", "model": "m", "ranks": 0, "layers": 1, "expert": 8},
        {"kind": "service", "name": "s", "repeatable": ["get", "GET", "GET"], "timeout_ms": 0},
        {"kind": "account", "name": "k", "key_sha256": "12", "priority": 10},
        {"kind": "target", "name": "t", "group": "g", "service": "s"}],
        "withdrawn": [{"kind": "service", "name": "s"}]}"#;
    assert_eq!(
        findings(json),
        [
            "unknown kind \"grup\", did you mean \"group\"? at changed[0].kind",
            "must be at most 128 letters, digits, dots, hyphens and underscores at changed[1].name",
            "must lie between 1 and 1024, is 0 at changed[1].ranks",
            "missing at changed[1].experts",
            "unknown method \"get\", did you mean \"GET\"? at changed[2].repeatable[0]",
            "\"GET\" stands twice at changed[2].repeatable[2]",
            "must lie between 1 and 600000, is 0 at changed[2].timeout_ms",
            "expected 64 hexadecimal digits at changed[3].key_sha256",
            "must lie between 0 and 9, is 10 at changed[3].priority",
            "exactly one of group and service must be set at changed[4].group",
            "service \"s\" stands already at changed[2] at withdrawn[0]",
            "unknown key, did you mean \"added\"? at addd",
            "unknown key, did you mean \"experts\"? at changed[1].expert",
        ]
    );
}

#[test]
fn check_reports_all_reference_findings() {
    // Every item is well formed, but the references don't match the catalogue. An
    // accepted note would leave targets in a group that does not exist.
    let json = r#"{"number": 3, "added": [
        {"kind": "target", "name": "desk-01", "service": "order-dsk"},
        {"kind": "account", "name": "doppelt",
         "key_sha256": "2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea"},
        {"kind": "group", "name": "fresh", "model": "burl-notes", "ranks": 2, "layers": 1, "experts": 2}],
        "changed": [{"kind": "model", "name": "nowhere"}],
        "withdrawn": [{"kind": "model", "name": "burl-notes"}, {"kind": "target", "name": "desk-9"}]}"#;
    assert_eq!(
        findings(json),
        [
            "must be 2, the next number, is 3 at number",
            "target \"desk-01\" is on offer already, list it under changed at added[0].name",
            "unknown model \"nowhere\" at changed[0].name",
            "unknown target \"desk-9\", did you mean \"desk-01\"? at withdrawn[1].name",
            "unknown service \"order-dsk\", did you mean \"order-desk\"? at added[0].service",
            "model \"burl-notes\" is withdrawn by this note at added[2].model",
            "model \"burl-notes\" is still referred to by group \"blank-advisor\" at withdrawn[0]",
            "is the key of account \"saegewerk-huber\" already at added[1].key_sha256",
        ]
    );
}

#[test]
fn check_withdraws_item_with_its_referrers() {
    let json = r#"{"number": 2, "withdrawn": [{"kind": "model", "name": "burl-notes"},
        {"kind": "group", "name": "blank-advisor"}, {"kind": "target", "name": "advisor-01"}]}"#;
    let mut catalogue = catalogue_with_first_note();
    let checked = catalogue.check(json.as_bytes()).unwrap();
    catalogue.apply(&checked);
    assert_eq!(catalogue.targets().count(), 1);
    assert_eq!(catalogue.models().count(), 0);
}

#[test]
fn apply_swaps_account_keys() {
    // One note swaps the keys of two accounts. If the items were applied one at a
    // time, the second change would delete the key of the first account.
    let other = note::Digest::of(b"other");
    let demo = note::Digest::of(b"demo");
    let account = |name: &str, key| {
        format!(r#"{{"kind": "account", "name": "{name}", "key_sha256": "{key}"}}"#)
    };
    let mut catalogue = Catalogue::default();
    for json in [
        format!(
            r#"{{"number": 1, "added": [{}, {}]}}"#,
            account("a", demo),
            account("b", other)
        ),
        format!(
            r#"{{"number": 2, "changed": [{}, {}]}}"#,
            account("a", other),
            account("b", demo)
        ),
    ] {
        let checked = catalogue.check(json.as_bytes()).unwrap();
        catalogue.apply(&checked);
    }
    assert_eq!(catalogue.account_by_key(b"demo").unwrap().name, "b");
    assert_eq!(catalogue.account_by_key(b"other").unwrap().name, "a");
}

#[test]
fn check_rejects_oversized_canonical_form() {
    // A note of minimal items is within the size limit as sent, but its canonical
    // form with defaults is not. Nodes would reject a note that was accepted.
    let items: Vec<String> = (0..9_000)
        .map(|n| {
            format!(
                r#"{{"kind":"account","name":"a{n}","key_sha256":"{}"}}"#,
                note::Digest::of(&u64::to_le_bytes(n))
            )
        })
        .collect();
    let json = format!(r#"{{"number":1,"added":[{}]}}"#, items.join(","));
    assert!(json.len() < 1 << 20);
    let findings = Catalogue::default()
        .check(json.as_bytes())
        .err()
        .unwrap_or_default();
    assert_eq!(findings.len(), 1, "the size is the only finding");
    assert!(findings[0].message.contains("more than the 1048576"));
}

#[test]
fn check_truncates_long_reports() {
    // A generated note refers to thousands of unknown items. The report must stay
    // small enough to send and cheap to compute.
    let withdrawn: Vec<String> = (0..20_000)
        .map(|n| format!(r#"{{"kind":"model","name":"m{n}"}}"#))
        .collect();
    let json = format!(r#"{{"number":2,"withdrawn":[{}]}}"#, withdrawn.join(","));
    let findings = findings(&json);
    assert_eq!(findings.len(), 501);
    assert_eq!(findings[500], "19500 further findings");
}
