//! Tests of the example object sets and of the committed JSON schema.

use std::path::{Path, PathBuf};

use hollywheel_config::{ObjectSet, check_set, file_schema, hash_key, read_toml};
use hollywheel_types::RequestClass;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_example(name: &str) -> ObjectSet {
    let text = std::fs::read_to_string(repository_root().join("examples").join(name)).unwrap();
    read_toml(name, &text).unwrap()
}

#[test]
fn examples_are_valid_and_list_the_documented_keys() {
    for name in ["pricing-office.toml", "consortium.toml"] {
        let set = read_example(name);
        let report = check_set(&set);
        assert!(report.is_clean(), "{name}: {:?}", report.faults);
        for workspace in &set.workspaces {
            let key = format!("sample-key-{}", workspace.name);
            assert_eq!(workspace.key_hashes, [hash_key(&key)]);
        }
    }
}

#[test]
fn examples_cover_every_class_and_three_failure_domains() {
    for name in ["pricing-office.toml", "consortium.toml"] {
        let set = read_example(name);
        for class in RequestClass::ALL {
            assert!(set.targets.iter().any(|target| target.class == class));
        }
        for pool in &set.pools {
            let mut domains: Vec<&str> = Vec::new();
            for server in &pool.servers {
                domains.push(server.domain.as_str());
            }
            domains.sort_unstable();
            domains.dedup();
            assert_eq!(domains.len(), 3, "{name}: pool/{}", pool.name);
        }
    }
}

#[test]
fn committed_schema_matches_the_code() {
    let path = repository_root().join("docs/objects.schema.json");
    let committed: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap();
    assert_eq!(committed, file_schema().to_value());
}
