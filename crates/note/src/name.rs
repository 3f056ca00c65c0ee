//! Syntax of names.

use std::collections::BTreeSet;

use cfg::Reader;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Maximum number of names in a list.
const MAX_NAMES: usize = 1_000;

/// Reads a name that can be used as one path segment of a URL.
pub(crate) fn read(r: &mut Reader, key: &str) -> Option<String> {
    let name: String = r.required(key)?;
    if is_path_segment(&name) {
        return Some(name);
    }
    r.finding(
        key,
        format!("must be at most {MAX_NAME_BYTES} letters, digits, dots, hyphens and underscores"),
    );
    None
}

/// Reads the name of a model, a version or an adapter, which may also contain
/// slashes and colons.
pub(crate) fn read_model(r: &mut Reader, key: &str) -> Option<String> {
    let name: String = r.required(key)?;
    if is_model_name(&name) {
        return Some(name);
    }
    r.finding(key, model_name_message());
    None
}

/// Reads a list of distinct names of models, versions or adapters.
pub(crate) fn read_model_list(r: &mut Reader, key: &str) -> Vec<String> {
    let names: Vec<String> = r.or(key, Vec::new());
    if names.len() > MAX_NAMES {
        r.finding(key, format!("must be at most {MAX_NAMES} names"));
        return names;
    }
    let mut seen = BTreeSet::new();
    for (position, name) in names.iter().enumerate() {
        let place = format!("{key}[{position}]");
        if !is_model_name(name) {
            r.finding(&place, model_name_message());
        }
        if !seen.insert(name) {
            r.finding(&place, format!("{name:?} stands twice"));
        }
    }
    names
}

fn is_path_segment(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    let only_dots = name.bytes().all(|byte| byte == b'.');
    name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed) && !only_dots
}

fn is_model_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES && name.bytes().all(|byte| byte.is_ascii_graphic())
}

fn model_name_message() -> String {
    format!("must be at most {MAX_NAME_BYTES} printable ASCII characters without spaces")
}
