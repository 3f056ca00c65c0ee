//! The first replica of a new cluster.

use crate::cluster_formation::ClusterFormation;
use crate::codec;
use crate::settings::Settings;
use eyre::{Result, bail};
use quorum::{DiskId, Members, Peer, Snapshot};
use store::{Disk, Ops, Recovered};

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
    if holds_data(&recovered) {
        bail!("{} already holds a replica", folder.display());
    }
    let mut members = Members::default();
    let address = settings.advertised().to_string();
    let peer = Peer::new(&settings.name, &address);
    members.voters.insert(DiskId(identity.disk), peer);
    disk.save_snapshot(&codec::stored_snapshot(&Snapshot::initial(members)))?;
    Ok(())
}

/// Formats the data folder of a replica that starts a new cluster together with others.
/// Does nothing if the folder holds a replica already, or if this one is not among the
/// first voters. If a call is interrupted by a crash, calling it again completes it.
pub(crate) fn init_first_voter(
    settings: &Settings,
    forming: &ClusterFormation,
    ops: &Ops,
) -> store::Result<()> {
    let folder = &settings.data;
    let own = forming.first_disk(&settings.advertised().to_string());
    let members = forming.first_voters();
    if !members.contains(own) {
        return Ok(());
    }
    let identity = match store::identity(folder) {
        Err(e) if e.is_blank() => {
            log::info!("starting a new cluster of {:?}", forming.seeds);
            store::format_as(folder, &settings.name, own.0, ops)?
        }
        existing => existing?,
    };
    if identity.disk != own.0 {
        return Ok(());
    }
    let (mut disk, recovered) = Disk::open(folder, ops.clone())?;
    if !holds_data(&recovered) {
        disk.save_snapshot(&codec::stored_snapshot(&Snapshot::initial(members)))?;
    }
    Ok(())
}

fn holds_data(recovered: &Recovered) -> bool {
    let has_log = recovered.snapshot.is_some() || !recovered.records.is_empty();
    has_log || recovered.hard_state.term > 0
}
