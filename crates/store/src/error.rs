//! Errors of disk operations.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a disk operation.
#[derive(Debug)]
pub struct Error {
    code: Code,
}

#[derive(Debug)]
enum Code {
    Io(&'static str, PathBuf, io::Error),
    Full(PathBuf),
    Damaged(PathBuf, u64, &'static str),
    Sync(PathBuf, io::Error),
    Stopped,
    Untrusted(PathBuf),
    Blank(PathBuf),
    Formatted(PathBuf),
    InUse(PathBuf),
}

impl Error {
    pub(crate) fn io(operation: &'static str, path: &Path, e: io::Error) -> Error {
        let path = path.to_owned();
        let full = matches!(
            e.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
        );
        let code = if full {
            Code::Full(path)
        } else {
            Code::Io(operation, path, e)
        };
        Error { code }
    }

    /// Error of a failed sync. A sync must not be retried, not even if the disk
    /// was full: the operating system may have dropped the data that it could
    /// not write, and the next sync would succeed without it.
    pub(crate) fn sync(path: &Path, e: io::Error) -> Error {
        let code = Code::Sync(path.to_owned(), e);
        Error { code }
    }

    pub(crate) fn untrusted(path: &Path) -> Error {
        let code = Code::Untrusted(path.to_owned());
        Error { code }
    }

    pub(crate) fn is_sync(&self) -> bool {
        matches!(self.code, Code::Sync(..))
    }

    pub(crate) fn damaged(path: &Path, offset: u64, what: &'static str) -> Error {
        let code = Code::Damaged(path.to_owned(), offset, what);
        Error { code }
    }

    pub(crate) fn stopped() -> Error {
        let code = Code::Stopped;
        Error { code }
    }

    pub(crate) fn blank(path: &Path) -> Error {
        let code = Code::Blank(path.to_owned());
        Error { code }
    }

    pub(crate) fn formatted(path: &Path) -> Error {
        let code = Code::Formatted(path.to_owned());
        Error { code }
    }

    pub(crate) fn in_use(path: &Path) -> Error {
        let code = Code::InUse(path.to_owned());
        Error { code }
    }

    /// Returns whether the disk is full. Nothing was written, and the operation
    /// can be retried.
    ///
    /// ```
    /// # let folder = tempfile::tempdir().unwrap();
    /// let e = store::identity(folder.path()).unwrap_err();
    /// assert!(!e.is_full());
    /// ```
    #[must_use]
    pub fn is_full(&self) -> bool {
        matches!(self.code, Code::Full(_))
    }

    /// Returns whether the data on the disk is damaged.
    ///
    /// ```
    /// # let folder = tempfile::tempdir().unwrap();
    /// let e = store::identity(folder.path()).unwrap_err();
    /// assert!(!e.is_damage());
    /// ```
    #[must_use]
    pub fn is_damage(&self) -> bool {
        matches!(self.code, Code::Damaged(..))
    }

    /// Returns whether an earlier sync failed in this folder. Data that can be
    /// read from it may not be on the disk.
    ///
    /// ```
    /// # let folder = tempfile::tempdir().unwrap();
    /// let e = store::identity(folder.path()).unwrap_err();
    /// assert!(!e.is_untrusted());
    /// ```
    #[must_use]
    pub fn is_untrusted(&self) -> bool {
        matches!(self.code, Code::Untrusted(_))
    }

    /// Returns whether another process has the folder open.
    ///
    /// ```
    /// # let folder = tempfile::tempdir().unwrap();
    /// let e = store::identity(folder.path()).unwrap_err();
    /// assert!(!e.is_in_use());
    /// ```
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        matches!(self.code, Code::InUse(_))
    }

    /// Returns whether the same operation on a folder that is not open may succeed later:
    /// another process has the folder, or the disk is full, read-only or does not answer.
    ///
    /// A failed sync, damage and missing permission don't pass by themselves.
    ///
    /// ```
    /// use store::{Disk, Ops};
    ///
    /// let folder = tempfile::tempdir().unwrap();
    /// store::format(folder.path(), "control-1", &Ops::default()).unwrap();
    /// let _first = Disk::open(folder.path(), Ops::default()).unwrap();
    /// let e = Disk::open(folder.path(), Ops::default()).unwrap_err();
    /// assert!(e.is_temporary());
    /// ```
    #[must_use]
    pub fn is_temporary(&self) -> bool {
        match &self.code {
            Code::Full(_) | Code::InUse(_) => true,
            Code::Io(_, _, e) => !matches!(
                e.kind(),
                io::ErrorKind::PermissionDenied
                    | io::ErrorKind::NotADirectory
                    | io::ErrorKind::InvalidFilename
                    | io::ErrorKind::InvalidInput
                    | io::ErrorKind::Unsupported
            ),
            _ => false,
        }
    }

    /// Returns whether the folder was never formatted.
    ///
    /// ```
    /// # let folder = tempfile::tempdir().unwrap();
    /// let e = store::identity(folder.path()).unwrap_err();
    /// assert!(e.is_blank());
    /// ```
    #[must_use]
    pub fn is_blank(&self) -> bool {
        matches!(self.code, Code::Blank(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.code {
            Code::Io(operation, path, e) => {
                write!(f, "{operation} failed: {e} at {}", path.display())
            }
            Code::Full(path) => write!(f, "disk is full at {}", path.display()),
            Code::Damaged(path, offset, what) => {
                write!(f, "{what} at {}, byte {offset}", path.display())
            }
            Code::Sync(path, e) => write!(f, "sync failed: {e} at {}", path.display()),
            Code::Untrusted(path) => write!(
                f,
                "a sync failed here, so data may be missing from the disk; start with a blank data \
                 folder, or check the disk, restart the host and remove {}",
                path.display()
            ),
            Code::Stopped => f.write_str("an earlier sync failed, what it covered is not known"),
            Code::Blank(path) => write!(f, "data folder is blank at {}", path.display()),
            Code::Formatted(path) => {
                write!(f, "data folder is already in use at {}", path.display())
            }
            Code::InUse(path) => write!(f, "another process has the folder {}", path.display()),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.code {
            Code::Io(_, _, e) | Code::Sync(_, e) => Some(e),
            _ => None,
        }
    }
}
