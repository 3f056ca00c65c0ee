//! The known word that a misspelt one most likely stands for.

/// Below this Jaro-Winkler similarity a suggestion would only mislead.
const LEAST_SIMILARITY: f64 = 0.8;

/// Finds the candidate nearest to `word`, if one is near enough to be meant.
///
/// ```
/// assert_eq!(cfg::nearest("adress", ["address", "name"]), Some("address"));
/// assert_eq!(cfg::nearest("colour", ["address", "name"]), None);
/// ```
pub fn nearest<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let mut best: Option<(f64, &str)> = None;
    for candidate in candidates {
        let similarity = strsim::jaro_winkler(word, candidate);
        let better = best.is_none_or(|(known, _)| similarity > known);
        if similarity >= LEAST_SIMILARITY && better {
            best = Some((similarity, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}
