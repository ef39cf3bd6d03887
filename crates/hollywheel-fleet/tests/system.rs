//! Tests of the whole system as real processes under faults, checked against the ledgers in which
//! the stand-ins record the work that they ran.
//!
//! They need the binaries of the whole workspace, which `cargo test --workspace` builds first.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Output, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hollywheel_fleet::{FleetRecord, HostRecord};
use serde_json::Value;

/// The longest time until a published configuration is in force on every host.
const CONFIG_PROPAGATION_LIMIT: Duration = Duration::from_secs(7);

/// The longest time until a leaving backend server gets no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn program_directory() -> PathBuf {
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

/// Serialises the tests, because fleets running at the same time would slow each other down.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// A running fleet whose output is read line by line.
struct TestFleet {
    _fleet_lock: MutexGuard<'static, ()>,
    child: Child,
    lines: std::io::Lines<BufReader<ChildStdout>>,
    directory: PathBuf,
}

impl TestFleet {
    fn start(name: &str, timeline: &str) -> Self {
        let fleet_lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&directory);
        let mut child = Command::new(program_directory().join("hollywheel-fleet"))
            .current_dir(workspace_root())
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
            _fleet_lock: fleet_lock,
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

    fn run_load(&self) -> Output {
        let record = self.record();
        let mut command = Command::new(program_directory().join("hollywheel-bench"));
        command
            .current_dir(workspace_root())
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

    fn check_records(&self) -> Output {
        let record = self.record();
        let mut command = Command::new(program_directory().join("hollywheel-bench"));
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

    /// Shuts down the fleet, after the given fault if there is one, and returns its last output line.
    fn shut_down(mut self, last_fault: Option<&str>) -> String {
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

fn output_text(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    format!("{out}{errors}")
}

#[test]
fn answers_match_ledgers_under_process_faults() {
    let fleet = TestFleet::start("system", "examples/loads/system-faults.toml");
    let load = fleet.run_load();
    assert!(load.status.success(), "{}", output_text(&load));
    let check = fleet.check_records();
    assert!(
        check.status.success(),
        "{}\n{}",
        output_text(&load),
        output_text(&check)
    );
    assert!(
        output_text(&check).contains("violations 0"),
        "{}",
        output_text(&check)
    );
    let last = fleet.shut_down(Some("Stop medeu-host-1"));
    assert_eq!(last, "ended 3 hosts, 0 of them not cleanly");
}

fn operator_command(fleet: &TestFleet, host: &HostRecord, args: &[&str]) -> Command {
    let mut command = Command::new(program_directory().join("hollywheelctl"));
    command
        .env("HOLLYWHEEL_ADMIN", host.admin.to_string())
        .env("HOLLYWHEEL_TOKEN", fleet.record().token)
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

fn version_in_force(fleet: &TestFleet, host: &HostRecord) -> u64 {
    let output = operator_command(fleet, host, &["--output", "json", "show"])
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", output_text(&output));
    let document: Value = serde_json::from_slice(&output.stdout).unwrap();
    document["published"]["version"].as_u64().unwrap()
}

fn write_edited_objects(fleet: &TestFleet, name: &str, old: &str, new: &str) -> String {
    let set = std::fs::read_to_string(fleet.record().objects).unwrap();
    assert!(set.contains(old));
    let path = fleet.directory.join(name);
    std::fs::write(&path, set.replace(old, new)).unwrap();
    path.display().to_string()
}

#[test]
fn one_of_two_concurrent_publishes_wins_and_reaches_every_host() {
    let fleet = TestFleet::start("race", "examples/loads/no-faults.toml");
    let hosts = fleet.record().hosts;
    let sets = [
        write_edited_objects(
            &fleet,
            "a.toml",
            "deadline_ms = 60000",
            "deadline_ms = 61000",
        ),
        write_edited_objects(
            &fleet,
            "b.toml",
            "deadline_ms = 60000",
            "deadline_ms = 62000",
        ),
    ];
    let publishers = sets.iter().zip(&hosts).map(|(set, host)| {
        let args = ["publish", set.as_str(), "--base", "1"];
        operator_command(&fleet, host, &args).spawn().unwrap()
    });
    let publishers: Vec<Child> = publishers.collect();
    let outputs = publishers
        .into_iter()
        .map(|child| child.wait_with_output().unwrap());
    let outputs: Vec<Output> = outputs.collect();
    let mut codes: Vec<i32> = outputs
        .iter()
        .filter_map(|output| output.status.code())
        .collect();
    codes.sort_unstable();
    assert_eq!(
        codes,
        [0, 3],
        "{}\n{}",
        output_text(&outputs[0]),
        output_text(&outputs[1])
    );
    let begin = Instant::now();
    while !hosts.iter().all(|host| version_in_force(&fleet, host) == 2) {
        assert!(
            begin.elapsed() < CONFIG_PROPAGATION_LIMIT,
            "version 2 is not in force everywhere"
        );
    }
    println!(
        "in force on every host after {} ms",
        begin.elapsed().as_millis()
    );
    assert_eq!(
        fleet.shut_down(None),
        "ended 3 hosts, 0 of them not cleanly"
    );
}

#[test]
fn leaving_backend_server_gets_no_new_work_after_limit() {
    let fleet = TestFleet::start("leaving", "examples/loads/leaving.toml");
    let load = fleet.run_load();
    assert!(load.status.success(), "{}", output_text(&load));
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
    assert!(now.as_micros() as u64 > left + 2 * LEAVE_LIMIT.as_micros() as u64);
    let last = refused.iter().max().copied().unwrap_or(left);
    println!(
        "last new work {} ms after the last start",
        (last - left) / 1000
    );
    assert!(
        last <= left + LEAVE_LIMIT.as_micros() as u64,
        "new work until {last}"
    );
    assert_eq!(
        fleet.shut_down(Some("Order medeu-payments-1")),
        "ended 3 hosts, 0 of them not cleanly"
    );
}
