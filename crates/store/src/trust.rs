//! The mark of a folder in which a sync failed.
//!
//! After a failed sync the system may show contents that are not on the disk,
//! until the host is restarted. A replica that were started again on them, as by
//! a supervisor, would promise what a power cut takes away. The mark is kept by
//! the same system for as long, and keeps the folder from being opened.

use crate::{Error, Ops, Result};
use std::path::{Path, PathBuf};

const MARK_FILE: &str = "sync-failed";

/// An error if a sync failed here before.
pub(crate) fn check(folder: &Path) -> Result<()> {
    let path = mark_path(folder);
    match path.try_exists() {
        Ok(false) => Ok(()),
        Ok(true) => Err(Error::untrusted(&path)),
        Err(e) => Err(Error::io("reading", &path, e)),
    }
}

/// Marks the folder if it was a sync that failed.
pub(crate) fn mark(folder: &Path, e: &Error, ops: &Ops) {
    if !e.is_sync() {
        return;
    }
    let path = mark_path(folder);
    // A disk that takes no new file any more can't be opened for writing
    // either, so nothing goes on without the mark.
    if let Ok(mut file) = (ops.create)(&path) {
        let reason = format!("{e}\n");
        // The name alone is the mark.
        let _ = (ops.write)(&path, &mut file, reason.as_bytes());
        let _ = (ops.sync)(&path, &file);
        let _ = (ops.sync_folder)(folder);
    }
}

fn mark_path(folder: &Path) -> PathBuf {
    folder.join(MARK_FILE)
}
