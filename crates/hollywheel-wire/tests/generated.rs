//! Compares the committed types with the generator's output.

use std::path::Path;

/// Set to write the committed file anew instead of comparing it.
const UPDATE: &str = "WIRE_UPDATE";

const FILE: &str = "hollywheel.wire.v1.rs";

#[test]
fn committed_types_are_those_of_the_definitions() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let definitions = protox::compile(["wire.proto"], [root.join("proto")]).unwrap();
    prost_build::Config::new()
        .bytes([".hollywheel.wire.v1.FollowReply.config"])
        .out_dir(out)
        .compile_fds(definitions)
        .unwrap();
    let generated = std::fs::read_to_string(out.join(FILE)).unwrap();
    let committed = root.join("src/generated").join(FILE);
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(&committed, &generated).unwrap();
    }
    let same = std::fs::read_to_string(&committed).unwrap() == generated;
    assert!(same, "run this test with {UPDATE}=1 and commit {FILE}");
}
