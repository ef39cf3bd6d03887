//! Property tests of the object reader.

use std::path::Path;

use hollywheel_config::{check_set, read_json, read_toml, write_toml};

const ITERATIONS: usize = 2_000;

fn sample() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join("examples/consortium.toml")).unwrap()
}

/// Replaces bytes of a text, so that most of it stays well formed.
fn damage(text: &str, edits: &[(u16, u8)]) -> String {
    let mut bytes = text.as_bytes().to_vec();
    for (at, byte) in edits {
        let at = usize::from(*at) % bytes.len();
        bytes[at] = *byte;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn damaged_objects_are_refused_with_their_source_or_read_whole() {
    let text = sample();
    bolero::check!()
        .with_type::<Vec<(u16, u8)>>()
        .with_iterations(ITERATIONS)
        .for_each(|edits| {
            let edits = &edits[..edits.len().min(3)];
            match read_toml("damaged.toml", &damage(&text, edits)) {
                Ok(set) => {
                    let _ = check_set(&set);
                    assert_eq!(read_toml("again", &write_toml(&set)).unwrap(), set);
                }
                Err(error) => assert!(error.to_string().starts_with("damaged.toml")),
            }
        });
}

#[test]
fn arbitrary_bytes_never_panic_the_reader() {
    bolero::check!()
        .with_type::<Vec<u8>>()
        .with_iterations(ITERATIONS)
        .for_each(|bytes| {
            let _ = read_json("bytes", bytes);
            let _ = read_toml("bytes", &String::from_utf8_lossy(bytes));
        });
}
