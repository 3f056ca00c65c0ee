//! File operations that crash at a chosen operation, and simulated power
//! failures.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use store::Ops;

/// Directory operations that a power failure may undo.
enum Undo {
    Created(PathBuf),
    Renamed(PathBuf, PathBuf),
    Removed(PathBuf, Vec<u8>),
}

struct State {
    rng: StdRng,
    /// Number of operations until the crash.
    operations_left: u64,
    crashed: bool,
    /// Synced length of each file.
    synced: BTreeMap<PathBuf, u64>,
    unsynced_names: Vec<Undo>,
}

/// File operations that crash at a chosen operation.
#[derive(Clone)]
pub struct FaultInjector {
    state: Arc<Mutex<State>>,
}

impl FaultInjector {
    pub fn new(operations: u64, seed: u64) -> FaultInjector {
        let state = State {
            rng: StdRng::seed_from_u64(seed),
            operations_left: operations,
            crashed: false,
            synced: BTreeMap::new(),
            unsynced_names: Vec::new(),
        };
        FaultInjector {
            state: Arc::new(Mutex::new(state)),
        }
    }

    pub fn crashed(&self) -> bool {
        self.state().crashed
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Counts an operation and fails if it is the one that crashes or a later
    /// one.
    fn count_operation(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state();
        if state.operations_left == 0 {
            state.crashed = true;
        }
        if state.crashed {
            return Err(io::Error::other("crashed"));
        }
        state.operations_left -= 1;
        Ok(state)
    }

    pub fn ops(&self) -> Ops {
        let real = Ops::default();
        let (create, write, sync, folder, truncate, rename, remove) = (
            self.clone(),
            self.clone(),
            self.clone(),
            self.clone(),
            self.clone(),
            self.clone(),
            self.clone(),
        );
        Ops {
            create: Arc::new(move |path| {
                let mut state = create.count_operation()?;
                if !path.exists() {
                    state.unsynced_names.push(Undo::Created(path.to_owned()));
                }
                state.synced.insert(path.to_owned(), 0);
                (real.create)(path)
            }),
            write: Arc::new(move |_, file, bytes| write.write(file, bytes)),
            sync: Arc::new(move |path, file| {
                let mut state = sync.count_operation()?;
                let length = file.metadata()?.len();
                state.synced.insert(path.to_owned(), length);
                Ok(())
            }),
            sync_folder: Arc::new(move |_| {
                folder.count_operation()?.unsynced_names.clear();
                Ok(())
            }),
            truncate: Arc::new(move |path, file, length| {
                let mut state = truncate.count_operation()?;
                // Data that existed before the first operation is durable.
                let before = file.metadata()?.len();
                let synced = state.synced.entry(path.to_owned()).or_insert(before);
                *synced = length.min(*synced);
                file.set_len(length)
            }),
            rename: Arc::new(move |from, to| {
                let mut state = rename.count_operation()?;
                let synced = state.synced.remove(from).unwrap_or_default();
                state.synced.insert(to.to_owned(), synced);
                state
                    .unsynced_names
                    .push(Undo::Renamed(from.to_owned(), to.to_owned()));
                fs::rename(from, to)
            }),
            remove: Arc::new(move |path| {
                let mut state = remove.count_operation()?;
                let bytes = fs::read(path)?;
                state
                    .unsynced_names
                    .push(Undo::Removed(path.to_owned(), bytes));
                fs::remove_file(path)
            }),
        }
    }

    /// Writes the bytes. If this operation crashes, only a prefix is written.
    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let crashed_before = self.crashed();
        match self.count_operation() {
            Ok(_) => file.write_all(bytes),
            Err(e) => {
                if !crashed_before {
                    let part = self.state().rng.random_range(0..=bytes.len());
                    file.write_all(&bytes[..part])?;
                }
                Err(e)
            }
        }
    }

    /// Lets the next process run. The operating system keeps unsynced data.
    pub fn restart_process(&self) {
        let mut state = self.state();
        state.crashed = false;
        state.operations_left = u64::MAX;
    }

    /// Randomly undoes unsynced changes: the ends of files are missing or
    /// zeroed, and directory operations are undone.
    pub fn fail_power(&self) {
        let mut state = self.state();
        let State {
            rng,
            synced,
            unsynced_names,
            ..
        } = &mut *state;
        for (path, synced) in synced.iter() {
            lose_unsynced_tail(path, *synced, rng);
        }
        for undo in unsynced_names.drain(..).rev() {
            if rng.random_range(0..2) == 0 {
                continue;
            }
            match undo {
                Undo::Created(path) => drop(fs::remove_file(path)),
                Undo::Renamed(from, to) => drop(fs::rename(to, from)),
                Undo::Removed(path, bytes) => fs::write(path, bytes).unwrap(),
            }
        }
    }
}

fn lose_unsynced_tail(path: &Path, synced: u64, rng: &mut StdRng) {
    let Ok(mut file) = OpenOptions::new().write(true).open(path) else {
        return;
    };
    let length = file.metadata().unwrap().len();
    if length <= synced {
        return;
    }
    let keeps = rng.random_range(synced..=length);
    file.set_len(keeps).unwrap();
    if keeps > synced && rng.random_range(0..2) == 0 {
        let from = rng.random_range(synced..keeps);
        let to = rng.random_range(from..=keeps);
        file.seek(SeekFrom::Start(from)).unwrap();
        let hole = vec![0; usize::try_from(to - from).unwrap()];
        file.write_all(&hole).unwrap();
    }
}
