//! Writes the committed message types anew.

use std::io::Error;

fn main() -> Result<(), Error> {
    let root = lovageramp_wire_gen::workspace_root();
    let out = root.join(lovageramp_wire_gen::COMMITTED);
    let folder = out.parent().ok_or_else(|| Error::other("no folder"))?;
    std::fs::create_dir_all(folder)?;
    lovageramp_wire_gen::generate(&root, folder)
}
