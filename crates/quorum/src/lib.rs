//! Replicated log: election, replication, membership, leases, fencing.
