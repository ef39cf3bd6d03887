//! Compares the committed Protobuf types with the generator's output.

use std::path::Path;

/// The environment variable that makes the test update the committed file before comparing it.
const UPDATE_VARIABLE: &str = "WIRE_UPDATE";

const GENERATED_FILE: &str = "hollywheel.wire.v1.rs";

#[test]
fn committed_types_match_the_generator_output() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let definitions = protox::compile(["wire.proto"], [root.join("proto")]).unwrap();
    prost_build::Config::new()
        .bytes([".hollywheel.wire.v1.FollowReply.config"])
        .out_dir(out)
        .compile_fds(definitions)
        .unwrap();
    let generated = std::fs::read_to_string(out.join(GENERATED_FILE)).unwrap();
    let committed = root.join("src/generated").join(GENERATED_FILE);
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        std::fs::write(&committed, &generated).unwrap();
    }
    let same = std::fs::read_to_string(&committed).unwrap() == generated;
    assert!(
        same,
        "run this test with {UPDATE_VARIABLE}=1 and commit {GENERATED_FILE}"
    );
}
