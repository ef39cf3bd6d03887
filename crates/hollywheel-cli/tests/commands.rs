//! Tests of the commands against a fake of the operator interface.

mod fake_host;

use std::path::PathBuf;
use std::process::{Command, Output};

use fake_host::FakeHost;

const VALID_SET: &str = r#"
format = 1
[[target]]
name = "fast"
class = "lookup"
deadline_ms = 1500
[[pool]]
name = "roster"
kind = "service"
slots = 4
servers = [{ name = "roster-1", address = "127.0.0.1:9000", domain = "tn-a" }]
[[stage]]
name = "look-up"
kind = "call"
pool = "roster"
[[pipeline]]
name = "roster-lookup"
stages = ["look-up"]
target = "fast"
"#;

fn run(admin: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hollywheelctl"))
        .env_clear()
        .env("HOLLYWHEEL_ADMIN", admin)
        .args(args)
        .output()
        .unwrap()
}

fn render(output: &Output) -> String {
    format!(
        "exit {}\n{}{}",
        output.status.code().unwrap(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

fn write_set(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).unwrap();
    let path = directory.join("set.toml");
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn help_lists_every_command() {
    let output = run("127.0.0.1:1", &["--help"]);
    insta::assert_snapshot!(render(&output));
}

#[test]
fn every_command_has_help_with_an_example_or_subcommands() {
    for name in hollywheel_cli::CommandName::ALL {
        let help = name.command().render_long_help().to_string();
        assert!(
            help.contains("Example") || name.command().has_subcommands(),
            "{} has no example",
            name.name()
        );
    }
}

#[test]
fn check_reports_faults_with_object_and_field() {
    let valid = write_set("check-valid", VALID_SET);
    let output = run("127.0.0.1:1", &["check", valid.to_str().unwrap()]);
    assert_eq!(render(&output), "exit 0\n4 objects, no faults\n");

    let invalid = write_set(
        "check-invalid",
        &VALID_SET.replace("target = \"fast\"", "target = \"x\""),
    );
    let output = run("127.0.0.1:1", &["check", invalid.to_str().unwrap()]);
    insta::assert_snapshot!(render(&output));
}

#[test]
fn invalid_arguments_exit_with_2_and_send_no_request() {
    let host = FakeHost::start(&[]);
    for args in [
        &["publish"][..],
        &["publish", "missing.toml"],
        &["claims", "resolve", "w", "k", "may-have-run"],
        &["--output", "xml", "hosts"],
        &["show", "pools/x"],
        &["history", "--limit", "101"],
        &["nonsense"],
    ] {
        let output = run(&host.address(), args);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{args:?}: {}",
            render(&output)
        );
    }
    assert_eq!(host.post_requests(), 0);
}

#[test]
fn unreachable_host_exits_with_4() {
    // A socket that does not listen refuses connections and keeps its port from other tests.
    let unused = tokio::net::TcpSocket::new_v4().unwrap();
    unused.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = unused.local_addr().unwrap().to_string();
    assert!(std::net::TcpListener::bind(&address).is_err());
    let output = run(&address, &["hosts"]);
    assert_eq!(output.status.code(), Some(4));
}

#[test]
fn documents_are_rendered_in_columns() {
    let host = FakeHost::start(&[
        ("GET /admin/hosts", 200, include_str!("data/hosts.json")),
        ("GET /admin/status", 200, include_str!("data/status.json")),
        ("GET /admin/pools", 200, include_str!("data/pools.json")),
    ]);
    let mut text = String::new();
    for command in ["hosts", "status", "pools"] {
        text.push_str(&render(&run(&host.address(), &[command])));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn unknown_pool_is_reported_by_name() {
    let pools = include_str!("data/pools.json");
    let host = FakeHost::start(&[("GET /admin/pools", 200, pools)]);
    let output = render(&run(&host.address(), &["pools", "rates-engine"]));
    insta::assert_snapshot!(output, @r"
    exit 7
    error: pool/rates-engine is not in the version in force on this host
    ");
}

#[test]
fn claim_conflict_gives_no_advice_about_publications() {
    let problem = r#"{"type":"/problems/claimant-alive","title":"x","status":409,
        "detail":"host h made the claim and may be alive; stop it"}"#;
    let host = FakeHost::start(&[("POST /admin/claims/resolve", 409, problem)]);
    let args = ["claims", "resolve", "w", "k", "not-run"];
    let output = render(&run(&host.address(), &args));
    insta::assert_snapshot!(output, @r"
    exit 3
    error: host h made the claim and may be alive; stop it
    ");
}

#[test]
fn publish_reports_success_conflict_denial_and_lost_response() {
    let set = write_set("publish", VALID_SET);
    let path = set.to_str().unwrap();
    let config = r#"{"published":{"version":4,"publish_id":"1","set":
        {"pipelines":[],"pools":[],"stages":[],"targets":[],"workspaces":[]}}}"#;
    let problem = |status: u16| {
        format!(
            r#"{{"type":"/problems/config-conflict","title":"x","status":{status},"detail":"said the host"}}"#
        )
    };
    let mut text = String::new();
    for (status, body) in [
        (200, r#"{"version":5,"changed":4}"#.to_owned()),
        (409, problem(409)),
        (403, problem(403)),
        (503, problem(503)),
        (
            503,
            problem(503).replace("{\"type", "{\"verdict\":\"may-have-run\",\"type"),
        ),
        (0, String::new()),
    ] {
        let host = FakeHost::start(&[
            ("GET /admin/config", 200, config),
            ("POST /admin/config/publish", status, &body),
        ]);
        let args = ["publish", path, "--publish-id", "ab"];
        let output = render(&run(&host.address(), &args));
        text.push_str(&output.replace(&host.address(), "HOST"));
        assert_eq!(host.post_requests(), 1);
    }
    insta::assert_snapshot!(text);
}

#[test]
fn dry_run_shows_the_changes_and_publishes_nothing() {
    let set = write_set("dry-run", VALID_SET);
    let config = r#"{"published":{"version":4,"publish_id":"1","set":
        {"pipelines":[],"pools":[],"stages":[],"targets":[],"workspaces":[]}}}"#;
    let host = FakeHost::start(&[("GET /admin/config", 200, config)]);
    let args = ["publish", set.to_str().unwrap(), "--dry-run"];
    insta::assert_snapshot!(render(&run(&host.address(), &args)), @r"
    exit 0
    version 4 would change:
    + pipeline/roster-lookup
    + pool/roster
    + stage/look-up
    + target/fast
    ");
    assert_eq!(host.post_requests(), 0);
}

#[test]
fn private_keys_are_readable_by_the_owner_only_and_never_overwritten() {
    use std::os::unix::fs::PermissionsExt;

    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("keys");
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).unwrap();
    let path = directory.to_str().unwrap();

    let without_authority = run("127.0.0.1:1", &["make-host-key", path, "medeu-1"]);
    assert_eq!(
        without_authority.status.code(),
        Some(2),
        "there is no authority yet"
    );
    assert!(run("127.0.0.1:1", &["make-ca", path]).status.success());
    let created = run("127.0.0.1:1", &["make-host-key", path, "medeu-1"]);
    assert!(created.status.success(), "{}", render(&created));
    for name in ["ca-key.pem", "medeu-1-key.pem"] {
        let mode = std::fs::metadata(directory.join(name))
            .unwrap()
            .permissions();
        assert_eq!(mode.mode() & 0o777, 0o600);
    }
    let before = std::fs::read(directory.join("medeu-1-key.pem")).unwrap();
    let repeated = run("127.0.0.1:1", &["make-host-key", path, "medeu-1"]);
    assert_eq!(repeated.status.code(), Some(2));
    assert_eq!(
        std::fs::read(directory.join("medeu-1-key.pem")).unwrap(),
        before
    );
}
