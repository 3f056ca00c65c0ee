//! How replicas find each other where no list of them is known.

use cfg::Reader;
use quorum::VoterReplacement;
use std::net::SocketAddr;
use std::time::Duration;

/// How replicas find each other where no list of them is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forming {
    /// Links of a few replicas; any of them may be down or another's by now.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub bootstrap: bool,
    /// Voters wanted.
    pub voters: usize,
    /// Silence after which a voter counts as lost for good.
    pub replace_after: Duration,
}

/// Seeds that are named where at least as many hosts run a replica.
const SEEDS: usize = 3;
/// Twice the longest stop that a host is expected to come back from by itself
/// within the election of a new leader; a shorter time would replace replicas
/// that only stand still.
const REPLACE_AFTER: Duration = Duration::from_secs(4);

impl Forming {
    pub(crate) fn read(mut r: Reader) -> Forming {
        let seeds: Option<Vec<SocketAddr>> = r.required("seeds");
        let seeds = seeds.unwrap_or_default();
        let losses = r.within("losses", 1, 0..=4_usize);
        // A majority must be left, and with it a replica that holds what was
        // acknowledged: with fewer voters the loss of that many disks at once
        // would lose it.
        let voters = if seeds.len() < SEEDS {
            seeds.len().max(1)
        } else {
            2 * losses.max(1) + 1
        };
        let forming = Forming {
            seeds,
            bootstrap: r.or("bootstrap", false),
            voters: r.within("voters", voters, 1..=9),
            replace_after: r.or("replace_after_ms", REPLACE_AFTER),
        };
        if forming.seeds.is_empty() {
            r.finding("seeds", "must not be empty");
        }
        forming
    }

    pub(crate) fn replace(&self) -> VoterReplacement {
        VoterReplacement {
            voters: self.voters,
            lost_after: self.replace_after,
        }
    }

    /// Whether the replica at this address makes the new cluster: one of
    /// those that start together, and all of them find the same one.
    pub(crate) fn founds(&self, own: SocketAddr) -> bool {
        self.bootstrap && self.seeds.iter().min() == Some(&own)
    }
}
