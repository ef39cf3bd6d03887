//! The whole system as real processes under faults, checked against what the stand-ins ran.
//!
//! It needs the programs of the whole workspace, which `cargo test --workspace` builds first.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Output, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hollywheel_fleet::{FleetRecord, HostRecord};
use serde_json::Value;

/// The bound on the time until a configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(7);

/// The bound on the time until a leaving backend server gets no new work.
const LEAVING: Duration = Duration::from_secs(3);

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

/// Lets one fleet run at a time, so that their processes do not slow each other down.
static ALONE: Mutex<()> = Mutex::new(());

/// Holds a running fleet and reads its output line by line.
struct TestFleet {
    _alone: MutexGuard<'static, ()>,
    child: Child,
    lines: std::io::Lines<BufReader<ChildStdout>>,
    directory: PathBuf,
}

impl TestFleet {
    fn start(name: &str, timeline: &str) -> Self {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
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
            _alone: alone,
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

    /// Waits for a fault of the timeline if one is named, ends the fleet and returns its last line.
    fn end(mut self, last_fault: Option<&str>) -> String {
        while let Some(fault) = last_fault {
            let line = self.next_line();
            if line.is_none_or(|line| line.contains(fault)) {
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
    let last = fleet.end(Some("Stop medeu-host-1"));
    assert_eq!(last, "ended 3 hosts, 0 of them not cleanly");
}

fn operator(fleet: &TestFleet, host: &HostRecord, args: &[&str]) -> Command {
    let mut command = Command::new(programs().join("hollywheelctl"));
    command
        .env("HOLLYWHEEL_ADMIN", host.admin.to_string())
        .env("HOLLYWHEEL_TOKEN", fleet.record().token)
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

fn version_in_force(fleet: &TestFleet, host: &HostRecord) -> u64 {
    let output = operator(fleet, host, &["--output", "json", "show"])
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", text(&output));
    let document: Value = serde_json::from_slice(&output.stdout).unwrap();
    document["published"]["version"].as_u64().unwrap()
}

fn write_set(fleet: &TestFleet, name: &str, old: &str, new: &str) -> String {
    let set = std::fs::read_to_string(fleet.record().objects).unwrap();
    assert!(set.contains(old));
    let path = fleet.directory.join(name);
    std::fs::write(&path, set.replace(old, new)).unwrap();
    path.display().to_string()
}

#[test]
fn of_two_racing_operators_one_wins_and_its_set_is_in_force_everywhere() {
    let fleet = TestFleet::start("race", "examples/loads/no-faults.toml");
    let hosts = fleet.record().hosts;
    let sets = [
        write_set(
            &fleet,
            "a.toml",
            "deadline_ms = 60000",
            "deadline_ms = 61000",
        ),
        write_set(
            &fleet,
            "b.toml",
            "deadline_ms = 60000",
            "deadline_ms = 62000",
        ),
    ];
    let racing = sets.iter().zip(&hosts).map(|(set, host)| {
        let args = ["publish", set.as_str(), "--base", "1"];
        operator(&fleet, host, &args).spawn().unwrap()
    });
    let racing: Vec<Child> = racing.collect();
    let ended = racing
        .into_iter()
        .map(|child| child.wait_with_output().unwrap());
    let ended: Vec<Output> = ended.collect();
    let mut codes: Vec<i32> = ended
        .iter()
        .filter_map(|output| output.status.code())
        .collect();
    codes.sort_unstable();
    assert_eq!(codes, [0, 3], "{}\n{}", text(&ended[0]), text(&ended[1]));
    let begin = Instant::now();
    while !hosts.iter().all(|host| version_in_force(&fleet, host) == 2) {
        assert!(
            begin.elapsed() < IN_FORCE,
            "version 2 is not in force everywhere"
        );
    }
    println!(
        "in force on every host after {} ms",
        begin.elapsed().as_millis()
    );
    assert_eq!(fleet.end(None), "ended 3 hosts, 0 of them not cleanly");
}

#[test]
fn a_leaving_backend_server_gets_no_new_work_after_the_bound() {
    let fleet = TestFleet::start("leaving", "examples/loads/leaving.toml");
    let load = fleet.load();
    assert!(load.status.success(), "{}", text(&load));
    let record = fleet.record();
    let mut servers = record.standins.iter();
    let server = servers
        .find(|server| server.name == "medeu-payments-1")
        .unwrap();
    let ledger = std::fs::read_to_string(&server.ledger).unwrap();
    let entries: Vec<Value> = ledger
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let calls = |event: &str| -> Vec<u64> {
        let found = entries.iter().filter(|entry| entry["event"] == event);
        found
            .map(|entry| entry["at_us"].as_u64().unwrap())
            .collect()
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let started = calls("started");
    let refused = calls("refused");
    assert!(!started.is_empty(), "the server got no work before it left");
    let left = *started.last().unwrap();
    assert!(now.as_micros() as u64 > left + 2 * LEAVING.as_micros() as u64);
    let last = refused.iter().max().copied().unwrap_or(left);
    println!(
        "last new work {} ms after the last start",
        (last - left) / 1000
    );
    assert!(
        last <= left + LEAVING.as_micros() as u64,
        "new work until {last}"
    );
    assert_eq!(
        fleet.end(Some("Order medeu-payments-1")),
        "ended 3 hosts, 0 of them not cleanly"
    );
}
