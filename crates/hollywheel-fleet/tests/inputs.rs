//! Tests of reading timelines and of replacing addresses in object sets.

use std::path::PathBuf;

use hollywheel_config::read_toml;
use hollywheel_fleet::{FaultAction, FaultTimeline, replace_addresses};
use hollywheel_types::SortedMap;

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn timeline_is_sorted_and_unknown_fields_are_reported() {
    let path = write_file(
        "timeline.toml",
        r#"
[[fault]]
at_ms = 200
process = "a"
action = "start"
[[fault]]
at_ms = 100
process = "a"
action = "kill"
"#,
    );
    let timeline = FaultTimeline::read(&path).unwrap();
    let actions: Vec<FaultAction> = timeline.faults.iter().map(|fault| fault.action).collect();
    assert_eq!(actions, [FaultAction::Kill, FaultAction::Start]);

    let path = write_file("wrong.toml", "[[fault]]\nat = 1\n");
    let error = FaultTimeline::read(&path).unwrap_err().to_string();
    assert!(error.contains("unknown field `at`"), "{error}");
}

#[test]
fn addresses_of_started_servers_replace_those_in_the_file() {
    let text = std::fs::read_to_string(
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/consortium.toml"),
    );
    let mut set = read_toml("consortium.toml", &text.unwrap()).unwrap();
    let name = set.pools[0].servers[0].name.clone();
    let other_address = set.pools[0].servers[1].address;
    let address = "127.0.0.1:4242".parse().unwrap();
    replace_addresses(
        &mut set,
        &[(name, address)].into_iter().collect::<SortedMap<_, _>>(),
    );
    assert_eq!(set.pools[0].servers[0].address, address);
    assert_eq!(set.pools[0].servers[1].address, other_address);
}
