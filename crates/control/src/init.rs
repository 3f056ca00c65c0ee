//! The first replica of a new cluster.

use crate::codec;
use crate::settings::Settings;
use eyre::{Result, bail};
use quorum::{DiskId, Members, Peer, Snapshot};
use store::{Disk, Ops};

/// Formats the data folder as that of the first replica of a new cluster.
///
/// To be called once in the life of a cluster, for one replica. A second
/// cluster under the same names would not know what the first has promised.
/// Called again after a crash in its midst it completes.
///
/// # Errors
///
/// The folder is in use already, or can't be written.
pub fn init(settings: &Settings) -> Result<()> {
    let ops = Ops::default();
    let folder = &settings.data;
    let identity = match store::identity(folder) {
        Err(e) if e.is_blank() => store::format(folder, &settings.name, &ops)?,
        found => found?,
    };
    let (mut disk, recovered) = Disk::open(folder, ops)?;
    let used = recovered.snapshot.is_some() || !recovered.records.is_empty();
    if used || recovered.hard_state.term > 0 {
        bail!("{} holds a replica already", folder.display());
    }
    let mut members = Members::default();
    let address = settings.advertised().to_string();
    let peer = Peer::new(&settings.name, &address);
    members.voters.insert(DiskId(identity.disk), peer);
    disk.save_snapshot(&codec::stored_snapshot(&Snapshot::initial(members)))?;
    Ok(())
}
