//! What names may look like.

use std::collections::BTreeSet;

use cfg::Reader;

/// Longest name, in bytes.
const MOST_BYTES: usize = 128;

/// Most names in one list.
const MOST_NAMES: usize = 1_000;

/// Reads a name that may stand in a URL's path as one segment.
pub(crate) fn read(r: &mut Reader, key: &str) -> Option<String> {
    let name: String = r.required(key)?;
    if is_segment(&name) {
        return Some(name);
    }
    r.finding(
        key,
        format!("must be at most {MOST_BYTES} letters, digits, dots, hyphens and underscores"),
    );
    None
}

/// Reads the name of a model, a version or an adapter, which may hold slashes
/// and colons as well.
pub(crate) fn read_model(r: &mut Reader, key: &str) -> Option<String> {
    let name: String = r.required(key)?;
    if is_model(&name) {
        return Some(name);
    }
    r.finding(key, model_message());
    None
}

/// Reads a list of such names, none of them twice.
pub(crate) fn read_models(r: &mut Reader, key: &str) -> Vec<String> {
    let names: Vec<String> = r.or(key, Vec::new());
    if names.len() > MOST_NAMES {
        r.finding(key, format!("must be at most {MOST_NAMES} names"));
        return names;
    }
    let mut seen = BTreeSet::new();
    for (position, name) in names.iter().enumerate() {
        let place = format!("{key}[{position}]");
        if !is_model(name) {
            r.finding(&place, model_message());
        }
        if !seen.insert(name) {
            r.finding(&place, format!("{name:?} stands twice"));
        }
    }
    names
}

fn is_segment(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    let dots = name.bytes().all(|byte| byte == b'.');
    name.len() <= MOST_BYTES && name.bytes().all(allowed) && !dots
}

fn is_model(name: &str) -> bool {
    name.len() <= MOST_BYTES && name.bytes().all(|byte| byte.is_ascii_graphic())
}

fn model_message() -> String {
    format!("must be at most {MOST_BYTES} printable ASCII characters without spaces")
}
