//! Memory that the process may use.

use std::fs;

use rustix::process::{Resource, getrlimit};

/// Assumed if nothing tells how much memory the host has.
const UNKNOWN_HOST_BYTES: usize = 256 << 20;

/// Returns the number of bytes that the process may use: the memory of the host, or less
/// if its control group or its resource limits say so.
///
/// ```
/// assert!(admin::available_memory() > 0);
/// ```
#[must_use]
pub fn available_memory() -> usize {
    let limits = [Resource::Data, Resource::As].map(|resource| getrlimit(resource).current);
    let limits = limits.into_iter().flatten();
    let known = limits.chain(control_group_limit()).chain(host_memory());
    known
        .min()
        .and_then(|bytes| usize::try_from(bytes).ok())
        .unwrap_or(UNKNOWN_HOST_BYTES)
}

fn host_memory() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let total = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: u64 = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kib.checked_mul(1024)
}

/// The limit of the process's own control group (cgroup v2).
fn control_group_limit() -> Option<u64> {
    let groups = fs::read_to_string("/proc/self/cgroup").ok()?;
    let path = groups.lines().find_map(|line| line.strip_prefix("0::"))?;
    let limit = fs::read_to_string(format!("/sys/fs/cgroup{path}/memory.max")).ok()?;
    limit.trim().parse().ok()
}
