//! Write-ahead log, snapshots and the identity of a disk.
//!
//! A [`Disk`] is a data folder that holds an identity created when it was
//! formatted, a segmented log and the latest snapshot. Written data is durable
//! once [`Disk::sync`] has returned; one sync covers all writes before it.
//!
//! ```
//! use store::{Batch, Disk, HardState, Ops, Record};
//!
//! let folder = tempfile::tempdir().unwrap();
//! store::format(folder.path(), "control-1", &Ops::default()).unwrap();
//! let (mut disk, _) = Disk::open(folder.path(), Ops::default()).unwrap();
//! let record = Record { index: 1, term: 1, kind: 0, data: "first".into() };
//! let hard_state = HardState { term: 1, vote: None, commit: 0 };
//! disk.write(&Batch { snapshot: None, hard_state, records: vec![record.clone()] }).unwrap();
//! disk.sync().unwrap();
//! drop(disk);
//!
//! let (_, recovered) = Disk::open(folder.path(), Ops::default()).unwrap();
//! assert_eq!(recovered.records, [record]);
//! ```

mod batch;
mod disk;
mod error;
mod frame;
mod hard_state;
mod identity;
mod ops;
mod record;
mod recovered;
mod replay;
mod scan;
mod segment;
mod snapshot;
mod sync_failure;

pub use batch::Batch;
pub use disk::Disk;
pub use error::{Error, Result};
pub use hard_state::HardState;
pub use identity::{Identity, format, format_as, has_log, identity};
pub use ops::Ops;
pub use record::Record;
pub use recovered::Recovered;
pub use snapshot::{Snapshot, write_atomic};
