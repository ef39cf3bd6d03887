//! Tests that a running program names the commit of its code.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, TcpListener};
use std::process::{Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_hollywheeld");

/// Settings file of a host with example addresses.
const SETTINGS: &str = include_str!("../../../platform/tests/fixtures/settings.toml");

/// Returns the commit of this checkout, or `unknown` outside a repository.
fn checkout_commit() -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let asked = Command::new("git")
        .args(["-C", root, "rev-parse", "HEAD"])
        .output();
    match asked {
        Ok(output)
            if output.status.success() && std::fs::exists(format!("{root}/.git")).unwrap() =>
        {
            String::from_utf8(output.stdout).unwrap().trim().to_owned()
        }
        _ => "unknown".to_owned(),
    }
}

/// A report about a fault could not tell which code ran.
#[test]
fn version_does_not_name_the_commit() {
    let commit = checkout_commit();
    for arguments in [&["--version"][..], &["gateway", "--version"]] {
        let output = Command::new(PROGRAM).args(arguments).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(output.status.success(), "{arguments:?}: {text}");
        assert!(
            text.contains(&format!("({commit})")),
            "{arguments:?}: {text}"
        );
    }
}

/// A log could not tell which code had written it.
#[test]
fn start_line_does_not_name_the_commit() {
    let ip = Ipv4Addr::new(127, 86, 1, 1);
    let address = || {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        listener.local_addr().unwrap().to_string()
    };
    let mut settings = SETTINGS.to_owned();
    for example in ["10.1.0.1:80", "10.1.0.1:81", "10.1.0.1:70", "10.200.1.7:90"] {
        settings = settings.replace(example, &address());
    }
    let path = std::env::temp_dir().join(format!("hollywheel-version-{}.toml", std::process::id()));
    std::fs::write(&path, settings).unwrap();
    let mut child = Command::new(PROGRAM)
        .arg("gateway")
        .env("HOLLYWHEEL_NODE_FILE", &path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let started = lines
        .map_while(Result::ok)
        .find(|line| line.contains("HW7001"));
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_file(&path);
    let started = started.expect("the host starts");
    let field = format!(r#""commit":"{}""#, checkout_commit());
    assert!(started.contains(&field), "{started}");
}
