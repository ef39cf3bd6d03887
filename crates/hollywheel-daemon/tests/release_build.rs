//! Tests of the script that builds the daemon for release, with a stand-in for cargo that builds only
//! crates without a fingerprint.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, SystemTime};

const SCRIPT: &str = include_str!("../../../scripts/build-release");

/// Stand-in for cargo: prints whether it builds the only crate.
const CARGO: &str = "#!/bin/sh
if [ -d target/release/.fingerprint/hollywheel-a ]; then echo fresh; else echo built; fi
mkdir -p target/release/.fingerprint/hollywheel-a target/release/.fingerprint/other-b
";

/// A checkout with one crate, removed when dropped.
struct Checkout(PathBuf);

impl Drop for Checkout {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl Checkout {
    fn new(name: &str) -> Self {
        let folder = format!("hollywheel-{name}-{}", std::process::id());
        let checkout = Self(std::env::temp_dir().join(folder));
        for (path, text) in [
            ("scripts/build-release", SCRIPT),
            ("bin/cargo", CARGO),
            ("Cargo.toml", ""),
            ("Cargo.lock", ""),
            ("platform/src/lib.rs", ""),
        ] {
            checkout.write(path, text);
        }
        checkout.write("crates/a/src/lib.rs", "old");
        let status = Command::new("chmod")
            .arg("+x")
            .arg(checkout.0.join("bin/cargo"))
            .status();
        assert!(status.unwrap().success());
        checkout
    }

    fn write(&self, path: &str, text: &str) {
        let path = self.0.join(path);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }

    /// Writes a source as an archive is unpacked: with the time that it had there.
    fn write_old(&self, path: &str, text: &str) {
        self.write(path, text);
        let file = File::options().write(true).open(self.0.join(path)).unwrap();
        let hour = Duration::from_secs(3600);
        file.set_modified(SystemTime::now() - hour).unwrap();
    }

    /// Runs the script; returns what the stand-in for cargo printed.
    fn build(&self) -> String {
        let bin = self.0.join("bin");
        let path = format!("{}:{}", bin.display(), std::env::var("PATH").unwrap());
        let script = Path::new("scripts/build-release");
        let output = Command::new("sh")
            .arg(self.0.join(script))
            .env("PATH", path)
            .output()
            .unwrap();
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).unwrap().trim().to_owned()
    }
}

/// A build folder of earlier code beside sources with old times left the earlier program in place.
#[test]
fn sources_with_old_times_leave_the_old_program() {
    let checkout = Checkout::new("old-times");
    assert_eq!(checkout.build(), "built");
    assert_eq!(checkout.build(), "fresh", "nothing has changed");
    checkout.write_old("crates/a/src/lib.rs", "new");
    assert_eq!(checkout.build(), "built", "contents have changed");
    assert_eq!(checkout.build(), "fresh");
    fs::remove_file(checkout.0.join("platform/src/lib.rs")).unwrap();
    assert_eq!(checkout.build(), "built", "a source has gone");
    let other = checkout.0.join("target/release/.fingerprint/other-b");
    assert!(other.exists(), "dependencies are not built again");
}

/// A build folder that another command has left says nothing of the sources that it was built from.
#[test]
fn folder_of_another_build_command_leaves_the_old_program() {
    let checkout = Checkout::new("other-command");
    fs::create_dir_all(checkout.0.join("target/release/.fingerprint/hollywheel-a")).unwrap();
    assert_eq!(checkout.build(), "built");
}
