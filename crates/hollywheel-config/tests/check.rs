//! Tests of the validation of object sets and of the object file format.

use hollywheel_config::{
    ConfigChange, PublishedSet, SetDiff, check_set, read_json, read_toml, write_json, write_toml,
};
use hollywheel_types::{ConfigVersion, PublishId, WallTime};

const VALID_SET: &str = r#"
format = 1

[[workspace]]
name = "clerk-desk"
key_hashes = ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]
share = 2

[[target]]
name = "clerk-answer"
class = "interactive"
deadline_ms = 8000
first_token_ms = 1300

[[pool]]
name = "engines"
kind = "engine"
slots = 8
models = [{ model = "rates-7b", replicas = 1 }]
servers = [{ name = "medeu-engine-1", address = "127.0.0.1:9000", domain = "medeu" }]

[[stage]]
name = "draft"
kind = "generate"
pool = "engines"
model = "rates-7b"
max_tokens = 64
min_ms = 200

[[pipeline]]
name = "rates-question"
stages = ["draft"]
target = "clerk-answer"
"#;

#[test]
fn valid_set_has_no_faults_and_round_trips_in_both_formats() {
    let set = read_toml("valid.toml", VALID_SET).unwrap();
    assert!(check_set(&set).is_clean());
    assert_eq!(read_toml("again", &write_toml(&set)).unwrap(), set);
    assert_eq!(read_json("again", &write_json(&set)).unwrap(), set);
}

#[test]
fn every_fault_is_reported_in_one_pass() {
    let invalid = r#"
format = 1
[[workspace]]
name = "clerk-desk"
key_hashes = []
share = 0
[[workspace]]
name = "clerk-desk"
key_hashes = ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]
[[target]]
name = "fast"
class = "lookup"
deadline_ms = 100
first_token_ms = 200
[[pool]]
name = "engines"
kind = "engine"
slots = 0
max_ejected = 100
models = [{ model = "rates-7b", replicas = 2 }]
servers = [
  { name = "e1", address = "127.0.0.1:9000", domain = "medeu" },
  { name = "e1", address = "127.0.0.1:9001", domain = "medeu" },
  { name = "e2", address = "127.0.0.1:9002", domain = "medeu" },
]
[[stage]]
name = "draft"
kind = "generate"
pool = "engines"
model = "other"
min_ms = 500
[[stage]]
name = "encode"
kind = "encode"
pool = "engines"
model = "rates-7b"
[[stage]]
name = "lost"
kind = "call"
pool = "nowhere"
[[pipeline]]
name = "p"
stages = ["draft", "draft", "missing"]
target = "fast"
workspaces = ["nobody"]
[[pipeline]]
name = "q"
stages = []
target = "none"
"#;
    let report = check_set(&read_toml("invalid.toml", invalid).unwrap());
    let lines: Vec<String> = report.faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn invalid_value_is_reported_with_object_field_and_range() {
    let faults = [
        ("share = 2", "share = -1"),
        ("deadline_ms = 8000", "deadline_ms = \"8 s\""),
        ("slots = 8", "slots = 4.5"),
        ("deadline_ms = 8000", "deadline_ms = 8000\nattainment = 400"),
        ("deadline_ms = 8000", "deadline_ms = 8000\nattainment = 150"),
        ("name = \"draft\"\n", "name = \"draft\"\nidempotent = 1\n"),
        ("name = \"rates-question\"\n", ""),
    ];
    let mut text = String::new();
    for (valid, invalid) in faults {
        assert!(VALID_SET.contains(valid), "{valid}");
        let error = read_toml("set.toml", &VALID_SET.replacen(valid, invalid, 1)).unwrap_err();
        text += &format!("{error}\n\n");
    }
    insta::assert_snapshot!(text);
}

#[test]
fn unknown_field_is_reported_with_its_line() {
    let text = VALID_SET.replace("deadline_ms", "dead_line");
    let error = read_toml("unknown.toml", &text).unwrap_err();
    insta::assert_snapshot!(error.to_string());
    let error = read_toml("new.toml", "format = 9").unwrap_err();
    assert_eq!(
        error.to_string(),
        "new.toml: format 9 is not supported; expected format = 1"
    );
}

#[test]
fn applying_a_difference_to_the_old_set_gives_the_new_set() {
    let old = read_toml("old", VALID_SET).unwrap();
    let text = VALID_SET.replace("slots = 8", "slots = 9");
    let new = read_toml("new", &text.replace("\"draft\"", "\"write\"")).unwrap();
    let diff = SetDiff::between(&old, &new);
    let summary: Vec<String> = diff.summary(&old).iter().map(ToString::to_string).collect();
    assert_eq!(
        summary,
        [
            "~ pipeline/rates-question",
            "~ pool/engines",
            "- stage/draft",
            "+ stage/write"
        ]
    );
    let before = PublishedSet {
        version: ConfigVersion(4),
        publish_id: PublishId(1),
        set: old,
    };
    let change = ConfigChange {
        base: ConfigVersion(4),
        version: ConfigVersion(5),
        publish_id: PublishId(2),
        operator: "operator".to_owned(),
        published_at: WallTime(0),
        diff,
    };
    let after = before.apply(&change).unwrap();
    assert_eq!(after.set, new);
    assert!(after.apply(&change).is_err());
}
