//! Generator of the message types of `lovageramp-wire`.
//!
//! The generated file is committed. Run `cargo run -p lovageramp-wire-gen` after a
//! change to `crates/wire/proto/lovageramp.proto`; a test checks that the committed
//! file matches the schema.

use std::io::Error;
use std::path::{Path, PathBuf};

/// Path of the schema, relative to the workspace root.
pub const SCHEMA_PATH: &str = "crates/wire/proto/lovageramp.proto";
/// Path of the generated file, relative to the workspace root.
pub const GENERATED_PATH: &str = "crates/wire/src/gen/lovageramp.rs";

/// Returns the root of the workspace in which this crate was built.
#[must_use]
pub fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Generates the message types as `lovageramp.rs` in the directory `out_dir`.
///
/// # Errors
///
/// Returns an error if the schema does not compile or `out_dir` can't be written to.
pub fn generate(root: &Path, out_dir: &Path) -> Result<(), Error> {
    let schema = root.join(SCHEMA_PATH);
    let include = schema.parent().unwrap_or(root).to_path_buf();
    let descriptors = protox::compile([&schema], [&include]).map_err(Error::other)?;
    prost_build::Config::new()
        .bytes(["."])
        .btree_map(["."])
        .out_dir(out_dir)
        .compile_fds(descriptors)
}
