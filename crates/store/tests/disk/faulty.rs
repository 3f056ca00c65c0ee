//! File operations that end at a chosen one, as by a crash, and a power cut.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use store::Ops;

/// What a power cut may undo.
enum Undo {
    Created(PathBuf),
    Renamed(PathBuf, PathBuf),
    Removed(PathBuf, Vec<u8>),
}

struct State {
    rng: StdRng,
    /// Operations until the crash.
    left: u64,
    crashed: bool,
    /// Length of each file that is synced.
    synced: BTreeMap<PathBuf, u64>,
    names: Vec<Undo>,
}

/// Operations that end at a chosen one.
#[derive(Clone)]
pub struct Faulty {
    state: Arc<Mutex<State>>,
}

impl Faulty {
    pub fn new(operations: u64, seed: u64) -> Faulty {
        let state = State {
            rng: StdRng::seed_from_u64(seed),
            left: operations,
            crashed: false,
            synced: BTreeMap::new(),
            names: Vec::new(),
        };
        Faulty {
            state: Arc::new(Mutex::new(state)),
        }
    }

    pub fn crashed(&self) -> bool {
        self.state().crashed
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Counts an operation; an error if the crash comes with it.
    fn begin(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state();
        if state.left == 0 {
            state.crashed = true;
        }
        if state.crashed {
            return Err(io::Error::other("crashed"));
        }
        state.left -= 1;
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
                let mut state = create.begin()?;
                if !path.exists() {
                    state.names.push(Undo::Created(path.to_owned()));
                }
                state.synced.insert(path.to_owned(), 0);
                (real.create)(path)
            }),
            write: Arc::new(move |_, file, bytes| write.write(file, bytes)),
            sync: Arc::new(move |path, file| {
                let mut state = sync.begin()?;
                let length = file.metadata()?.len();
                state.synced.insert(path.to_owned(), length);
                Ok(())
            }),
            sync_folder: Arc::new(move |_| {
                folder.begin()?.names.clear();
                Ok(())
            }),
            truncate: Arc::new(move |path, file, length| {
                let mut state = truncate.begin()?;
                // What was there before the first operation lasts.
                let before = file.metadata()?.len();
                let synced = state.synced.entry(path.to_owned()).or_insert(before);
                *synced = length.min(*synced);
                file.set_len(length)
            }),
            rename: Arc::new(move |from, to| {
                let mut state = rename.begin()?;
                let synced = state.synced.remove(from).unwrap_or_default();
                state.synced.insert(to.to_owned(), synced);
                state
                    .names
                    .push(Undo::Renamed(from.to_owned(), to.to_owned()));
                fs::rename(from, to)
            }),
            remove: Arc::new(move |path| {
                let mut state = remove.begin()?;
                let bytes = fs::read(path)?;
                state.names.push(Undo::Removed(path.to_owned(), bytes));
                fs::remove_file(path)
            }),
        }
    }

    /// The crash may come after a part of the bytes.
    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let crashed_before = self.crashed();
        match self.begin() {
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

    /// Ends the crash, as for the next process; the system is the same.
    pub fn revive(&self) {
        let mut state = self.state();
        state.crashed = false;
        state.left = u64::MAX;
    }

    /// Undoes by chance what wasn't synced: the ends of files are missing or
    /// hold zeros, and names are as before.
    pub fn cut_power(&self) {
        let mut state = self.state();
        let State {
            rng, synced, names, ..
        } = &mut *state;
        for (path, synced) in synced.iter() {
            lose_end(path, *synced, rng);
        }
        for undo in names.drain(..).rev() {
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

fn lose_end(path: &Path, synced: u64, rng: &mut StdRng) {
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
