//! File that holds the last known targets.

use std::io;
use std::path::PathBuf;

use bytes::{Buf, Bytes};
use prost::Message;
use store::Ops;
use wire::proto::{Sighting, Sightings};

const FILE: &str = "targets.cache";

/// The last known targets, in a file in the data folder.
///
/// If all processes are lost at once, entries know no target until each target has
/// checked in again, and refuse every caller for a second or two. This file closes
/// that gap. It may lack the latest check-ins, but not that a target takes no more work:
/// that is confirmed to the target once it is in the files of a majority of replicas.
#[derive(Clone, Debug)]
pub(crate) struct TargetCache {
    path: PathBuf,
}

impl TargetCache {
    pub(crate) fn new(folder: &std::path::Path) -> TargetCache {
        TargetCache {
            path: folder.join(FILE),
        }
    }

    /// Reads the file; returns no targets if it is damaged or missing.
    pub(crate) fn read(&self) -> Vec<Sighting> {
        let bytes = match std::fs::read(&self.path) {
            Ok(bytes) => Bytes::from(bytes),
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Vec::new(),
            Err(e) => {
                log::warn!("{}: {e}", self.path.display());
                return Vec::new();
            }
        };
        let targets = decode(bytes);
        if targets.is_none() {
            log::warn!("{}: ignored because it is damaged", self.path.display());
        }
        targets.unwrap_or_default()
    }

    /// Replaces the file atomically. Blocks on the disk.
    pub(crate) fn write(&self, targets: Vec<Sighting>) -> store::Result<()> {
        let sightings = Sightings {
            targets,
            ..Sightings::default()
        };
        let data = sightings.encode_to_vec();
        let mut bytes = crc32c::crc32c(&data).to_be_bytes().to_vec();
        bytes.extend_from_slice(&data);
        store::write_atomic(&self.path, &bytes, &Ops::default())
    }
}

fn decode(mut bytes: Bytes) -> Option<Vec<Sighting>> {
    let crc = bytes.try_get_u32().ok()?;
    if crc32c::crc32c(&bytes) != crc {
        return None;
    }
    let sightings = Sightings::decode(bytes).ok()?;
    Some(sightings.targets)
}
