//! Property tests of the parsers of object files.

use std::path::Path;

use bolero::generator::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use hollywheel_config::{check_set, read_json, read_toml, write_toml};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ITERATIONS: usize = 2_000;
const BYTES_PER_VALUE: usize = 512;

fn example_text() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join("examples/consortium.toml")).unwrap()
}

/// Calls the check with each of a fixed sequence of random values.
fn for_each_random_value<T: TypeGenerator>(seed: u64, mut check: impl FnMut(T)) {
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..ITERATIONS {
        let bytes: Vec<u8> = (0..BYTES_PER_VALUE).map(|_| random.random()).collect();
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        if let Some(value) = T::generate(&mut driver) {
            check(value);
        }
    }
}

/// Replaces a few bytes of a text, so that most of it stays well formed.
fn corrupt(text: &str, edits: &[(u16, u8)]) -> String {
    let mut bytes = text.as_bytes().to_vec();
    for (position, byte) in edits {
        let index = usize::from(*position) % bytes.len();
        bytes[index] = *byte;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn corrupted_file_is_rejected_with_its_name_or_round_trips() {
    let text = example_text();
    let mut rejected = 0;
    for_each_random_value(7241, |edits: [(u16, u8); 2]| {
        match read_toml("corrupted.toml", &corrupt(&text, &edits)) {
            Ok(set) => {
                let _ = check_set(&set);
                assert_eq!(read_toml("again", &write_toml(&set)).unwrap(), set);
            }
            Err(error) => {
                rejected += 1;
                assert!(error.to_string().starts_with("corrupted.toml"));
            }
        }
    });
    assert!(rejected > ITERATIONS / 4, "only {rejected} rejected");
}

#[test]
fn arbitrary_bytes_never_panic_the_parsers() {
    for_each_random_value(7242, |bytes: Vec<u8>| {
        let _ = read_json("bytes", &bytes);
        let _ = read_toml("bytes", &String::from_utf8_lossy(&bytes));
    });
}
