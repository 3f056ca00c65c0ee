//! The replica from which an entry gets the unchanged state of targets.

use crate::{hash_name, mix};

/// Selects the replica that repeats the unchanged state of all targets to the entry
/// `me`: one in its own availability zone if there is one. Of several, entries use
/// different ones. `replicas` yields the name and the zone, if known, of each replica
/// to which there is a link.
///
/// If every replica repeated the state of every target to every entry, this would be
/// most of the traffic of a large deployment.
///
/// ```
/// use member::refresh_source;
///
/// let replicas = [("control-1", Some("celje")), ("control-2", Some("ptuj"))];
/// assert_eq!(refresh_source("entry-1", "ptuj", replicas), Some("control-2"));
/// assert_eq!(refresh_source("entry-1", "ptuj", []), None);
/// ```
pub fn refresh_source<'a>(
    me: &str,
    zone: &str,
    replicas: impl IntoIterator<Item = (&'a str, Option<&'a str>)>,
) -> Option<&'a str> {
    let own = hash_name(me);
    let best = replicas.into_iter().max_by_key(|(name, replica_zone)| {
        let is_near = *replica_zone == Some(zone);
        (is_near, mix(own ^ hash_name(name).rotate_left(32)))
    });
    best.map(|(name, _)| name)
}
