//! File operations that affect durability.

use rustix::io::Errno;
use std::fmt;
use std::fs::{self, File, OpenOptions, ReadDir};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Pause between two attempts to open a file while no descriptor is free.
const NO_DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Operation on a path.
pub type PathOp<T = ()> = dyn Fn(&Path) -> io::Result<T> + Send + Sync;
/// Operation that renames the first path to the second.
pub type RenameOp = dyn Fn(&Path, &Path) -> io::Result<()> + Send + Sync;
/// Operation that writes to an open file at a path.
pub type WriteOp = dyn Fn(&Path, &mut File, &[u8]) -> io::Result<()> + Send + Sync;
/// Operation on an open file at a path.
pub type FileOp = dyn Fn(&Path, &File) -> io::Result<()> + Send + Sync;
/// Operation that sets the length of an open file at a path.
pub type TruncateOp = dyn Fn(&Path, &File, u64) -> io::Result<()> + Send + Sync;

/// File operations that affect durability. Tests replace them to inject faults.
#[derive(Clone)]
pub struct Ops {
    /// Creates a file, truncating an existing one, and opens it.
    pub create: Arc<PathOp<File>>,
    /// Writes all bytes at the current position of the file.
    pub write: Arc<WriteOp>,
    /// Syncs the data written to the file.
    pub sync: Arc<FileOp>,
    /// Syncs the directory entries of a folder.
    pub sync_folder: Arc<PathOp>,
    /// Truncates a file to a length.
    pub truncate: Arc<TruncateOp>,
    /// Renames a file, replacing an existing one.
    pub rename: Arc<RenameOp>,
    /// Removes a file.
    pub remove: Arc<PathOp>,
}

impl Default for Ops {
    fn default() -> Self {
        Ops {
            create: Arc::new(|path| {
                let mut open = OpenOptions::new();
                open.read(true).write(true).create(true).truncate(true);
                open_when_possible(path, || open.open(path))
            }),
            write: Arc::new(|_, file, bytes| file.write_all(bytes)),
            sync: Arc::new(|_, file| file.sync_data()),
            sync_folder: Arc::new(|path| open_when_possible(path, || File::open(path))?.sync_all()),
            truncate: Arc::new(|_, file, len| file.set_len(len)),
            rename: Arc::new(|from, to| fs::rename(from, to)),
            remove: Arc::new(|path| fs::remove_file(path)),
        }
    }
}

impl fmt::Debug for Ops {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ops")
    }
}

/// Lists a folder, and waits while the process or the host has no free descriptor.
pub(crate) fn list_folder(path: &Path) -> io::Result<ReadDir> {
    open_when_possible(path, || fs::read_dir(path))
}

/// Opens a file or a folder, and waits while the process or the host has no free descriptor.
///
/// Connections may take all descriptors for a while. That says nothing about the disk, and
/// must not be taken for its failure.
fn open_when_possible<T>(path: &Path, open: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let mut is_reported = false;
    loop {
        match open() {
            Err(e) if is_out_of_descriptors(&e) => {
                if !is_reported {
                    log::warn!("no free descriptor for {}, waiting for one", path.display());
                    is_reported = true;
                }
                thread::sleep(NO_DESCRIPTOR_RETRY_DELAY);
            }
            done => return done,
        }
    }
}

fn is_out_of_descriptors(e: &io::Error) -> bool {
    let errno = Errno::from_io_error(e);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE))
}
