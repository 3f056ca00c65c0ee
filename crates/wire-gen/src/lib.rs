//! Generator of the committed message types of `lovageramp-wire`.
//!
//! Run `cargo run -p lovageramp-wire-gen` after a change to
//! `crates/wire/proto/lovageramp.proto`; a test proves that the committed
//! file matches the schema.

use std::io::Error;
use std::path::{Path, PathBuf};

/// The schema, relative to the workspace root.
pub const SCHEMA: &str = "crates/wire/proto/lovageramp.proto";
/// The committed types, relative to the workspace root.
pub const COMMITTED: &str = "crates/wire/src/gen/lovageramp.rs";

/// The root of the workspace that this crate was built in.
#[must_use]
pub fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Generates the message types into `out`, as `lovageramp.rs`.
///
/// # Errors
///
/// Fails when the schema does not compile or `out` can't be written.
pub fn generate(root: &Path, out: &Path) -> Result<(), Error> {
    let schema = root.join(SCHEMA);
    let include = schema.parent().unwrap_or(root).to_path_buf();
    let set = protox::compile([&schema], [&include]).map_err(Error::other)?;
    prost_build::Config::new()
        .bytes(["."])
        .btree_map(["."])
        .out_dir(out)
        .compile_fds(set)
}
