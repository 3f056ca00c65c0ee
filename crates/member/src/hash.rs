//! Hash functions that give the same values in every process and version.

/// FNV-1a, 64 bit: offset basis and prime.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a hash of bytes. Its high bits are weak; apply [`mix`] where they matter.
///
/// ```
/// assert_ne!(member::hash_bytes(b"desk-01".iter().copied()), member::hash_bytes([]));
/// ```
pub fn hash_bytes(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    bytes.into_iter().fold(FNV_BASIS, step)
}

/// The finalizer of `SplitMix64` (Steele, Lea and Flood, 2014).
///
/// ```
/// assert_ne!(member::mix(1), member::mix(2));
/// ```
#[must_use]
pub fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A well-mixed hash of a name, for rendezvous hashing.
///
/// ```
/// assert_ne!(member::hash_name("huber"), member::hash_name("maier"));
/// ```
#[must_use]
pub fn hash_name(name: &str) -> u64 {
    mix(hash_bytes(name.bytes()))
}
