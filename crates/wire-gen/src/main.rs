//! Regenerates the committed message types.

use std::io::Error;

fn main() -> Result<(), Error> {
    let root = lovageramp_wire_gen::workspace_root();
    let out = root.join(lovageramp_wire_gen::GENERATED_PATH);
    let out_dir = out
        .parent()
        .ok_or_else(|| Error::other("the generated file has no parent directory"))?;
    std::fs::create_dir_all(out_dir)?;
    lovageramp_wire_gen::generate(&root, out_dir)
}
