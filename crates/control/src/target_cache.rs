//! The last known targets, in a file beside the log.

use std::io;
use std::path::PathBuf;

use bytes::{Buf, Bytes};
use prost::Message;
use store::Ops;
use wire::proto::{Sighting, Sightings};

const FILE: &str = "targets.cache";

/// The last known targets, in a file beside the log.
///
/// When all processes are lost at once, entries know no target until each has
/// checked in again, a second or two in which every caller is refused. The
/// file closes that gap. It is a hint and no promise: a target that is gone
/// doesn't answer, and another one at its address declines.
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

    /// What the file holds; nothing if it is damaged or not there.
    pub(crate) fn read(&self) -> Vec<Sighting> {
        let bytes = match std::fs::read(&self.path) {
            Ok(bytes) => Bytes::from(bytes),
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Vec::new(),
            Err(e) => {
                log::warn!("{}: {e}", self.path.display());
                return Vec::new();
            }
        };
        let read = decode(bytes);
        if read.is_none() {
            log::warn!("{}: damaged, and passed over", self.path.display());
        }
        read.unwrap_or_default()
    }

    /// Replaces the file; waits for the disk.
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
    Sightings::decode(bytes).ok().map(|told| told.targets)
}
