//! The plan of the load and the cutting of streams.
#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck gives its arguments by value"
)]

use std::collections::BTreeSet;
use std::time::Duration;

use lovageramp::bench::{Call, Events, Mix, Plan, Resend};
use quickcheck::{Gen, QuickCheck};

#[test]
fn plan_keeps_its_shares() {
    let plan: Vec<_> = Plan::new(Mix::association(), &[8, 1, 1], 200.0, 5)
        .take(10_000)
        .collect();
    let large = plan.iter().filter(|planned| planned.account == 0).count();
    assert!((7_800..8_200).contains(&large), "{large}");
    let chats = plan
        .iter()
        .filter(|planned| matches!(planned.call, Call::Chat { .. }));
    let chats = chats.count();
    assert!((4_800..5_200).contains(&chats), "{chats}");
    let length = plan[plan.len() - 1].at;
    let expected = Duration::from_secs(45)..Duration::from_secs(55);
    assert!(expected.contains(&length), "{length:?}");
}

#[test]
fn plan_own_keys_and_prompts() {
    // Two requests of a plan with one key or one prompt couldn't be told apart
    // at the targets, and a doubled call would pass for two.
    let mut seen = BTreeSet::new();
    let mut resent = 0;
    for planned in Plan::new(Mix::hotline(), &[1], 100.0, 9).take(5_000) {
        let own = match planned.call {
            Call::Chat { body, .. } => body.to_vec(),
            Call::Read { .. } => continue,
            Call::Write { key, resend, .. } => {
                resent += u32::from(resend != Resend::Never);
                key.into_bytes()
            }
        };
        assert!(seen.insert(own));
    }
    assert!(resent > 100, "{resent}");
}

#[test]
fn events_any_cut() {
    // A stream arrives in pieces that end anywhere. An event cut in two must be
    // counted once, when it is whole.
    fn property(cuts: Vec<usize>) -> bool {
        let stream = b"data: {\"a\":1}\n\nid: 7\ndata: two\ndata: lines\n\ndata: [DONE]\n\n";
        let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % stream.len()).collect();
        ends.push(stream.len());
        ends.sort_unstable();
        let mut events = Events::default();
        let mut found = Vec::new();
        let mut start = 0;
        for end in ends {
            events.push(&stream[start..end]);
            found.extend(events.by_ref());
            start = end;
        }
        found == ["{\"a\":1}", "two\nlines", "[DONE]"]
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 3))
        .tests(500)
        .quickcheck(property as fn(Vec<usize>) -> bool);
}
