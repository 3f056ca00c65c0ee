//! Compression of large fields.

use crate::error::{Error, Result};
use crate::proto::Compressed;
use bytes::Bytes;

/// Size of a field from which on it is worth compressing, in bytes.
pub const MIN_COMPRESSED_SIZE: usize = 16 << 10;
/// Maximum size of a field before its compression, in bytes: twice the largest command.
const MAX_SIZE: usize = 8 << 20;

/// Compresses a field. Returns `None` if it is small or does not get smaller.
///
/// ```
/// let field = "route ".repeat(10_000);
/// let compressed = wire::compress(field.as_bytes()).unwrap();
/// assert!(compressed.block.len() < field.len() / 10);
/// assert_eq!(wire::decompress(&compressed).unwrap(), field);
/// assert!(wire::compress(b"route").is_none());
/// ```
#[must_use]
pub fn compress(field: &[u8]) -> Option<Compressed> {
    if !(MIN_COMPRESSED_SIZE..=MAX_SIZE).contains(&field.len()) {
        return None;
    }
    let block = lz4_flex::block::compress(field);
    (block.len() < field.len()).then(|| Compressed {
        block: block.into(),
        size: field.len() as u64,
    })
}

/// Returns the field from which [`compress`] made this.
///
/// # Errors
///
/// Fails if the stated size is too large, or if the bytes are malformed or of another size.
///
/// ```
/// let claim = wire::proto::Compressed { block: "x".into(), size: 1 << 40 };
/// assert!(wire::decompress(&claim).is_err());
/// ```
pub fn decompress(compressed: &Compressed) -> Result<Bytes> {
    let size = usize::try_from(compressed.size).unwrap_or(usize::MAX);
    if size > MAX_SIZE {
        let reason = format!("compressed field of {size} bytes exceeds the limit of {MAX_SIZE}");
        return Err(Error::Protocol(reason));
    }
    let field = lz4_flex::block::decompress(&compressed.block, size)
        .map_err(|e| Error::Protocol(format!("malformed compressed field: {e}")))?;
    if field.len() != size {
        let reason = format!(
            "compressed field has {} bytes instead of {size}",
            field.len()
        );
        return Err(Error::Protocol(reason));
    }
    Ok(field.into())
}
