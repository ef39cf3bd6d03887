//! Property tests of the object reader.

use std::path::Path;

use bolero::generator::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use hollywheel_config::{check_set, read_json, read_toml, write_toml};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ITERATIONS: usize = 2_000;
const DRIVER_BYTES: usize = 512;

fn sample() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join("examples/consortium.toml")).unwrap()
}

/// Draws the same values in every run and gives each to the check.
fn for_each_drawn<T: TypeGenerator>(seed: u64, mut check: impl FnMut(T)) {
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..ITERATIONS {
        let bytes: Vec<u8> = (0..DRIVER_BYTES).map(|_| random.random()).collect();
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        if let Some(value) = T::generate(&mut driver) {
            check(value);
        }
    }
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
    let mut refused = 0;
    for_each_drawn(7241, |edits: [(u16, u8); 2]| {
        match read_toml("damaged.toml", &damage(&text, &edits)) {
            Ok(set) => {
                let _ = check_set(&set);
                assert_eq!(read_toml("again", &write_toml(&set)).unwrap(), set);
            }
            Err(error) => {
                refused += 1;
                assert!(error.to_string().starts_with("damaged.toml"));
            }
        }
    });
    assert!(refused > ITERATIONS / 4, "only {refused} refused");
}

#[test]
fn arbitrary_bytes_never_panic_the_reader() {
    for_each_drawn(7242, |bytes: Vec<u8>| {
        let _ = read_json("bytes", &bytes);
        let _ = read_toml("bytes", &String::from_utf8_lossy(&bytes));
    });
}
