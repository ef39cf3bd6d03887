//! Tests of the program as a process.

use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct Daemon {
    child: Child,
    callers: String,
}

impl Daemon {
    fn start() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_hollywheeld"))
            .env_clear()
            .env("HOLLYWHEEL_HOST", "entry-1")
            .env("HOLLYWHEEL_DOMAIN", "medeu")
            .env("HOLLYWHEEL_REGION", "almaty")
            .env("HOLLYWHEEL_PLATFORM", "127.0.0.1:9")
            .args(["--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0"])
            .args(["--peer-listen", "127.0.0.1:0", "--log-format", "json"])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("a pipe");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let callers = line.split(' ').nth(1).expect("an address").to_owned();
        Self { child, callers }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    fn wait(&mut self) -> (i32, String) {
        let begin = Instant::now();
        let status = loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                break status;
            }
            assert!(begin.elapsed() < Duration::from_secs(15), "does not end");
            std::thread::sleep(Duration::from_millis(10));
        };
        let mut log = String::new();
        let stderr = self.child.stderr.take().expect("a pipe");
        BufReader::new(stderr).read_to_string(&mut log).unwrap();
        (status.code().unwrap_or(-1), log)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_running_process_has_no_io_uring_and_ends_on_sigterm() {
    let mut daemon = Daemon::start();
    std::net::TcpStream::connect(&daemon.callers).expect("a listener");
    let mut kinds = Vec::new();
    for entry in std::fs::read_dir(format!("/proc/{}/fd", daemon.child.id())).unwrap() {
        let link = std::fs::read_link(entry.unwrap().path()).unwrap_or_default();
        kinds.push(link.to_string_lossy().into_owned());
    }
    assert!(
        kinds.iter().any(|kind| kind.contains("eventpoll")),
        "{kinds:?}"
    );
    assert!(
        !kinds.iter().any(|kind| kind.contains("io_uring")),
        "{kinds:?}"
    );
    daemon.signal("-TERM");
    let (code, log) = daemon.wait();
    assert_eq!(code, 0, "{log}");
    for code in ["HW1001", "HW1004", "HW1005", "HW1007"] {
        assert!(log.contains(code), "{code} is missing in\n{log}");
    }
}

#[test]
fn a_hang_up_ends_the_process_gracefully() {
    let mut daemon = Daemon::start();
    std::net::TcpStream::connect(&daemon.callers).expect("a listener");
    daemon.signal("-HUP");
    let (code, log) = daemon.wait();
    assert_eq!(code, 0, "{log}");
    assert!(log.contains("HW1005"), "{log}");
}

#[test]
fn check_and_print_end_at_once() {
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_hollywheeld"))
            .env_clear()
            .env("HOLLYWHEEL_PLATFORM_TOKEN", "very-secret")
            .args(arguments)
            .output()
            .expect("the program runs");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8(text).unwrap())
    };
    let good = [
        "--host=h",
        "--domain=d",
        "--region=r",
        "--platform=127.0.0.1:1",
    ];
    let with = |flag| [&good[..], &[flag]].concat();
    assert_eq!(
        run(&with("--check")),
        (Some(0), "the settings are valid\n".to_owned())
    );
    let (code, text) = run(&with("--print-settings"));
    assert_eq!(code, Some(0));
    assert!(
        text.contains("HOLLYWHEEL_PLATFORM_TOKEN=(hidden)"),
        "{text}"
    );
    assert!(!text.contains("very-secret"));
    let (code, text) = run(&["--check"]);
    assert_eq!(code, Some(2));
    assert_eq!(text.lines().count(), 4, "{text}");
    assert_eq!(run(&["--help"]).0, Some(0));
}
