//! Processes of another build, such as the release before, among those of this one.

use std::path::{Path, PathBuf};

/// Folder with the programs of the other build; unset, this build runs alone.
const FOLDER: &str = "LOVAGERAMP_TEST_OTHER_BUILD";
/// Names of the processes that the other build runs, as in `control-2,entry-1`, or
/// `first` for the first start of every process, so that this build finds data that
/// the other one wrote.
const PROCESSES: &str = "LOVAGERAMP_TEST_OTHER_PROCESSES";

/// The file to run for the process `name`: `program`, or its namesake in the other
/// build.
pub fn program(program: &str, name: &str, first_start: bool) -> PathBuf {
    let program = Path::new(program);
    let (Some(folder), Some(file)) = (std::env::var_os(FOLDER), program.file_name()) else {
        return program.to_owned();
    };
    let processes = std::env::var(PROCESSES).unwrap_or_default();
    let other = processes
        .split(',')
        .any(|process| process == name || (process == "first" && first_start));
    if other {
        Path::new(&folder).join(file)
    } else {
        program.to_owned()
    }
}
