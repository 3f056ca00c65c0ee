//! The committed message types match the schema.

use std::fs;

#[test]
fn generate_matches_committed() {
    let root = lovageramp_wire_gen::workspace_root();
    let out = tempfile::tempdir().unwrap();
    lovageramp_wire_gen::generate(&root, out.path()).unwrap();
    let fresh = fs::read_to_string(out.path().join("lovageramp.rs")).unwrap();
    let committed = fs::read_to_string(root.join(lovageramp_wire_gen::GENERATED_PATH)).unwrap();
    assert_eq!(fresh, committed, "run: cargo run -p lovageramp-wire-gen");
}
