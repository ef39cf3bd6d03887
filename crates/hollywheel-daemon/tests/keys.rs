//! Tests of the access keys of workspaces.

use hollywheel_config::{ObjectSet, WorkspaceObject, hash_key};
use hollywheel_daemon::KeyIndex;

fn workspace(at: usize) -> WorkspaceObject {
    WorkspaceObject {
        name: format!("w-{at}").parse().unwrap(),
        key_hashes: vec![
            hash_key(&format!("old-{at}")),
            hash_key(&format!("new-{at}")),
        ],
        share: 1,
        rate: None,
        burst: None,
    }
}

#[test]
fn each_key_finds_its_workspace_and_no_other_does() {
    let mut set = ObjectSet {
        workspaces: (0..500).map(workspace).collect(),
        ..ObjectSet::default()
    };
    set.sort();
    let index = KeyIndex::of(&set);
    for at in 0..500 {
        for age in ["old", "new"] {
            let found = index.find(&format!("{age}-{at}")).unwrap();
            assert_eq!(found.as_str(), format!("w-{at}"));
        }
        assert!(index.find(&format!("wrong-{at}")).is_none());
    }
    assert!(index.find("").is_none());
    assert!(KeyIndex::default().find("old-1").is_none());
}
