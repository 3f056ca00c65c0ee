//! Runs some processes from another build, such as the previous release.

use std::path::{Path, PathBuf};

/// Folder with the programs of the other build. When unset, all processes run this
/// build.
const FOLDER: &str = "LOVAGERAMP_TEST_OTHER_BUILD";
/// Comma-separated names of the processes to run from the other build, as in
/// `control-2,entry-1`, or `first` for the first start of every process, so that this
/// build reads data that the other one has written.
const PROCESSES: &str = "LOVAGERAMP_TEST_OTHER_PROCESSES";

/// Path of the executable for the process `name`: `program`, or the file of the same
/// name in the other build.
pub fn program(program: &str, name: &str, first_start: bool) -> PathBuf {
    let program = Path::new(program);
    let (Some(folder), Some(file)) = (std::env::var_os(FOLDER), program.file_name()) else {
        return program.to_owned();
    };
    let processes = std::env::var(PROCESSES).unwrap_or_default();
    let use_other = processes
        .split(',')
        .any(|process| process == name || (process == "first" && first_start));
    if use_other {
        Path::new(&folder).join(file)
    } else {
        program.to_owned()
    }
}
