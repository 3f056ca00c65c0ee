//! Hexadecimal encoding.

use std::fmt::Write;

pub(crate) fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

pub(crate) fn decode(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let pairs = digits.chunks_exact(2);
    pairs
        .map(|pair| Some(digit_value(pair[0])? << 4 | digit_value(pair[1])?))
        .collect()
}

fn digit_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
