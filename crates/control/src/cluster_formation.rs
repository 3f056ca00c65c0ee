//! Discovery of replicas that are not listed in the settings.

use cfg::Reader;
use quorum::{DiskId, Members, Peer, VoterReplacement};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How replicas discover each other if they are not listed in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterFormation {
    /// Link addresses of a few replicas. Any of them may be down, or may have
    /// been reassigned to another process.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub bootstrap: bool,
    /// Desired number of voters.
    pub voters: usize,
    /// Time without contact after which a voter counts as permanently lost.
    pub replace_after: Duration,
}

/// Number of seeds that are listed if at least as many hosts run a replica.
const MIN_SEEDS_FOR_LOSSES: usize = 3;
/// Twice the longest pause of a host that is expected to recover by itself within
/// the election of a new leader. A shorter time would replace replicas that are
/// only paused.
const REPLACE_AFTER: Duration = Duration::from_secs(4);

impl ClusterFormation {
    pub(crate) fn read(mut r: Reader) -> ClusterFormation {
        let seeds: Option<Vec<SocketAddr>> = r.required("seeds");
        let seeds = seeds.unwrap_or_default();
        let losses = r.within("losses", 1, 0..=4_usize);
        // A majority must survive, and with it a replica that holds every
        // acknowledged entry. With fewer voters, losing `losses` disks at once
        // would lose acknowledged entries.
        let voters = if seeds.len() < MIN_SEEDS_FOR_LOSSES {
            seeds.len().max(1)
        } else {
            2 * losses.max(1) + 1
        };
        let forming = ClusterFormation {
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

    pub(crate) fn voter_replacement(&self) -> VoterReplacement {
        VoterReplacement {
            voters: self.voters,
            lost_after: self.replace_after,
        }
    }

    /// Returns the first voters of a new cluster. All replicas that start together
    /// derive the same ones, so that no particular one of them is needed.
    pub(crate) fn first_voters(&self) -> Members {
        let mut members = Members::default();
        for address in self.first_addresses() {
            // The name is not known yet. The replica tells it once there is a leader.
            let peer = Peer::new(&address, &address);
            members.voters.insert(self.first_disk(&address), peer);
        }
        members
    }

    /// Returns the identity of the disk with which the replica at this address starts a
    /// new cluster. It depends on all first voters, so that replicas whose settings name
    /// others don't count each other's votes.
    pub(crate) fn first_disk(&self, address: &str) -> DiskId {
        // 64-bit FNV-1a: replicas of different builds must agree.
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0100_0000_01b3;
        let text = format!("{address} of {}", self.first_addresses().join(" "));
        let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
        DiskId(text.bytes().fold(OFFSET_BASIS, hash).max(1))
    }

    fn first_addresses(&self) -> Vec<String> {
        let seeds: BTreeSet<SocketAddr> = self.seeds.iter().copied().collect();
        let first = seeds.into_iter().take(self.voters);
        first.map(|seed| seed.to_string()).collect()
    }
}
