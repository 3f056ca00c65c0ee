//! Compressed fields.

use quickcheck::{Gen, QuickCheck};
use wire::proto::Compressed;

fn large_field() -> Vec<u8> {
    "a route of a table; ".repeat(10_000).into_bytes()
}

/// Guards against a field that a faulty peer has cut short and that is taken for whole.
#[test]
fn decompress_cut_short() {
    let field = large_field();
    let whole = wire::compress(&field).unwrap();
    assert_eq!(wire::decompress(&whole).unwrap(), field);
    for length in 0..whole.block.len() {
        let block = whole.block.slice(..length);
        let size = whole.size;
        assert!(wire::decompress(&Compressed { block, size }).is_err());
    }
}

/// Guards against a stated size that is absurd, or not that of the content.
#[test]
fn decompress_other_size() {
    let whole = wire::compress(&large_field()).unwrap();
    for size in [0, whole.size - 1, whole.size + 1, u64::MAX] {
        let block = whole.block.clone();
        let claim = Compressed { block, size };
        assert!(wire::decompress(&claim).is_err(), "{size}");
    }
}

#[test]
fn decompress_any_bytes() {
    fn decompress(block: Vec<u8>, size: u64) -> bool {
        let claim = Compressed {
            block: block.into(),
            size,
        };
        wire::decompress(&claim).is_err() || claim.size <= 8 << 20
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .quickcheck(decompress as fn(Vec<u8>, u64) -> bool);
}
