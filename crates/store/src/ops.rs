//! The file operations that matter for what lasts.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

/// Does something to a path.
pub type OnPath<T = ()> = dyn Fn(&Path) -> io::Result<T> + Send + Sync;
/// Does something to two paths.
pub type OnPaths = dyn Fn(&Path, &Path) -> io::Result<()> + Send + Sync;
/// Writes to the file that is open at a path.
pub type OnWrite = dyn Fn(&Path, &mut File, &[u8]) -> io::Result<()> + Send + Sync;
/// Does something to the file that is open at a path.
pub type OnFile = dyn Fn(&Path, &File) -> io::Result<()> + Send + Sync;
/// Sets the length of the file that is open at a path.
pub type OnLength = dyn Fn(&Path, &File, u64) -> io::Result<()> + Send + Sync;

/// The file operations that matter for what lasts, each to be replaced where
/// a test wants it to fail.
#[derive(Clone)]
pub struct Ops {
    /// Makes a new file and opens it.
    pub create: Arc<OnPath<File>>,
    /// Writes all the bytes at the file's place.
    pub write: Arc<OnWrite>,
    /// Makes what was written to the file last.
    pub sync: Arc<OnFile>,
    /// Makes the names of a folder's files last.
    pub sync_folder: Arc<OnPath>,
    /// Cuts a file to a length.
    pub truncate: Arc<OnLength>,
    /// Renames a file, over another of that name.
    pub rename: Arc<OnPaths>,
    /// Removes a file.
    pub remove: Arc<OnPath>,
}

impl Default for Ops {
    fn default() -> Self {
        Ops {
            create: Arc::new(|path| {
                let mut open = OpenOptions::new();
                open.read(true).write(true).create(true).truncate(true);
                open.open(path)
            }),
            write: Arc::new(|_, file, bytes| file.write_all(bytes)),
            sync: Arc::new(|_, file| file.sync_data()),
            sync_folder: Arc::new(|path| File::open(path)?.sync_all()),
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
