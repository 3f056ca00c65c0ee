//! Suggestions for misspelt words.

/// Minimum Jaro-Winkler similarity of a suggestion; less similar words would mislead.
const MIN_SIMILARITY: f64 = 0.8;

/// Returns the candidate that is most similar to `word`, if one is similar enough.
///
/// ```
/// assert_eq!(cfg::nearest("adress", ["address", "name"]), Some("address"));
/// assert_eq!(cfg::nearest("colour", ["address", "name"]), None);
/// ```
pub fn nearest<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let mut best: Option<(f64, &str)> = None;
    for candidate in candidates {
        let similarity = strsim::jaro_winkler(word, candidate);
        let better = best.is_none_or(|(highest, _)| similarity > highest);
        if similarity >= MIN_SIMILARITY && better {
            best = Some((similarity, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}
