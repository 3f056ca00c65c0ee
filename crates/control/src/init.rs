//! The first replica of a new cluster.

use crate::codec;
use crate::settings::Settings;
use eyre::{Result, bail};
use quorum::{DiskId, Members, Peer, Snapshot};
use store::{Disk, Ops};

/// Formats the data folder for the first replica of a new cluster.
///
/// Must be called only once in the lifetime of a cluster, for one replica: a
/// second cluster under the same names would not know what the first has
/// acknowledged. If a call is interrupted by a crash, calling it again completes it.
///
/// # Errors
///
/// Fails if the folder already holds a replica, is in use or cannot be written.
pub fn init(settings: &Settings) -> Result<()> {
    let ops = Ops::default();
    let folder = &settings.data;
    let identity = match store::identity(folder) {
        Err(e) if e.is_blank() => store::format(folder, &settings.name, &ops)?,
        existing => existing?,
    };
    let (mut disk, recovered) = Disk::open(folder, ops)?;
    let has_data = recovered.snapshot.is_some() || !recovered.records.is_empty();
    if has_data || recovered.hard_state.term > 0 {
        bail!("{} already holds a replica", folder.display());
    }
    let mut members = Members::default();
    let address = settings.advertised().to_string();
    let peer = Peer::new(&settings.name, &address);
    members.voters.insert(DiskId(identity.disk), peer);
    disk.save_snapshot(&codec::stored_snapshot(&Snapshot::initial(members)))?;
    Ok(())
}
