//! The whole system as real processes under faults, checked against what the stand-ins ran.
//!
//! It needs the programs of the whole workspace, which `cargo test --workspace` builds first.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Output, Stdio};

use hollywheel_fleet::FleetRecord;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn programs() -> PathBuf {
    let fleet = PathBuf::from(env!("CARGO_BIN_EXE_hollywheel-fleet"));
    let directory = fleet.parent().unwrap().to_owned();
    for name in [
        "hollywheeld",
        "hollywheelctl",
        "hollywheel-standin",
        "hollywheel-bench",
    ] {
        let program = directory.join(name);
        assert!(
            program.exists(),
            "{} is not built; run `cargo build --workspace`",
            program.display()
        );
    }
    directory
}

/// Holds a running fleet and reads its output line by line.
struct TestFleet {
    child: Child,
    lines: std::io::Lines<BufReader<ChildStdout>>,
    directory: PathBuf,
}

impl TestFleet {
    fn start(name: &str, timeline: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&directory);
        let mut child = Command::new(programs().join("hollywheel-fleet"))
            .current_dir(root())
            .args(["run", "--hosts", "3", "--seconds", "120"])
            .args(["--objects", "examples/pricing-office.toml"])
            .args(["--timeline", timeline])
            .arg("--directory")
            .arg(&directory)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = child.stdout.take().unwrap();
        let lines = BufReader::new(output).lines();
        let mut fleet = Self {
            child,
            lines,
            directory,
        };
        assert_eq!(fleet.next_line().as_deref(), Some("ready"));
        fleet
    }

    fn next_line(&mut self) -> Option<String> {
        self.lines.next().map(|line| line.unwrap())
    }

    fn record(&self) -> FleetRecord {
        let text = std::fs::read(self.directory.join("fleet.json")).unwrap();
        serde_json::from_slice(&text).unwrap()
    }

    fn records_path(&self) -> PathBuf {
        self.directory.join("records.jsonl")
    }

    fn load(&self) -> Output {
        let record = self.record();
        let mut command = Command::new(programs().join("hollywheel-bench"));
        command
            .current_dir(root())
            .args([
                "load",
                "--run",
                "system",
                "--plan",
                "examples/loads/pricing-office.toml",
            ])
            .arg("--output")
            .arg(self.records_path());
        for host in &record.hosts {
            command.args(["--address", &host.callers.to_string()]);
        }
        command.output().unwrap()
    }

    fn check(&self) -> Output {
        let record = self.record();
        let mut command = Command::new(programs().join("hollywheel-bench"));
        command
            .arg("check")
            .arg("--records")
            .arg(self.records_path())
            .arg("--objects")
            .arg(&record.objects);
        for server in &record.standins {
            command.arg("--ledger").arg(&server.ledger);
        }
        command.output().unwrap()
    }

    /// Lets the timeline come to its end, ends the fleet and returns its last line.
    fn end(mut self, last_fault: &str) -> String {
        while let Some(line) = self.next_line() {
            if line.contains(last_fault) {
                break;
            }
        }
        let pid = nix::unistd::Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).unwrap();
        let mut last = String::new();
        while let Some(line) = self.next_line() {
            last = line;
        }
        assert!(self.child.wait().unwrap().success());
        last
    }
}

fn text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    format!("{out}{errors}")
}

#[test]
fn callers_are_told_the_truth_under_every_process_fault() {
    let fleet = TestFleet::start("system", "examples/loads/system-faults.toml");
    let load = fleet.load();
    assert!(load.status.success(), "{}", text(&load));
    let check = fleet.check();
    assert!(check.status.success(), "{}\n{}", text(&load), text(&check));
    assert!(text(&check).contains("violations 0"), "{}", text(&check));
    let last = fleet.end("Stop medeu-host-1");
    assert_eq!(last, "ended 3 hosts, 0 of them not cleanly");
}
