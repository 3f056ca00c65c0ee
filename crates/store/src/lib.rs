//! Write-ahead log, snapshots and the identity of a disk.
