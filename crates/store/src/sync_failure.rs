//! Marker file of a folder in which a sync failed.
//!
//! After a failed sync the operating system may return data that is not on the
//! disk until the host is restarted. A replica restarted on such data, for
//! example by a supervisor, could acknowledge data that a power failure then
//! loses. The marker file prevents the folder from being opened; the operating
//! system keeps it at least as long as the data.

use crate::{Error, Ops, Result};
use std::path::{Path, PathBuf};

const MARKER_FILE: &str = "sync-failed";

/// Fails if a sync failed in the folder before.
pub(crate) fn check(folder: &Path) -> Result<()> {
    let path = marker_path(folder);
    match path.try_exists() {
        Ok(false) => Ok(()),
        Ok(true) => Err(Error::untrusted(&path)),
        Err(e) => Err(Error::io("reading", &path, e)),
    }
}

/// Creates the marker file if the error is a failed sync.
pub(crate) fn mark(folder: &Path, e: &Error, ops: &Ops) {
    if !e.is_sync() {
        return;
    }
    let path = marker_path(folder);
    // If the marker cannot be created, the folder cannot be opened for writing
    // either.
    if let Ok(mut file) = (ops.create)(&path) {
        let reason = format!("{e}\n");
        // Only the existence of the file matters.
        let _ = (ops.write)(&path, &mut file, reason.as_bytes());
        let _ = (ops.sync)(&path, &file);
        let _ = (ops.sync_folder)(folder);
    }
}

fn marker_path(folder: &Path) -> PathBuf {
    folder.join(MARKER_FILE)
}
