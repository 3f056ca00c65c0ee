//! Hashes that are the same in every process.

/// FNV-1a, 64 bit: offset basis and prime.
pub(crate) const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
pub(crate) const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A well-mixed hash of a name.
pub(crate) fn hash(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    mix(name.bytes().fold(FNV_BASIS, step))
}

/// The finalizer of `SplitMix64` (Steele, Lea and Flood, 2014).
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
