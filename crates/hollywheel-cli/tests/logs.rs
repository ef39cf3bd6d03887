//! Tests of `hollywheelctl logs` with the logs of two hosts.

use std::path::PathBuf;
use std::process::Command;

/// A log file as written by a host, with a line that is not an event.
const HOST_LOG: &str = r#"{"timestamp":"2026-12-04T03:00:00.100Z","level":"INFO","message":"A stage has ended without its results.","code":"HW7203","request":"a1","pool":"encode","stage":0,"reason":"pool can't make it in time","took_ms":3}
not a line of the log
{"timestamp":"2026-12-04T03:00:00.101Z","level":"INFO","message":"A request has ended.","code":"HW7201","request":"a1","pipeline":"draft","outcome":"refused","verdict":"not-run","status":503,"reason":"pool can't make it in time","workspace":null}
{"timestamp":"2026-12-04T03:00:00.300Z","level":"INFO","message":"A request has ended.","code":"HW7201","request":"a2","pipeline":"draft","outcome":"answered","verdict":"ran","status":200,"reason":""}
{"timestamp":"2026-12-04T03:00:00.400Z","level":"INFO","message":"A request has ended.","code":"HW7201","request":"a3","pipeline":"draft","outcome":"refused","verdict":"not-run","status":503,"reason":"pool can't make it in time"}
"#;
/// A log file as written by a log collector, with the time and the host before each event.
const COLLECTED_LOG: &str = r#"03:00:00 front-b {"timestamp":"2026-12-04T03:00:00.099Z","level":"INFO","message":"A pool has refused the pieces of a stage.","code":"HW7205","request":"a1","pool":"encode","waiting":90}
03:00:00 front-b {"timestamp":"2026-12-04T03:00:00.100Z","level":"INFO","message":"A call for pieces has ended without results for all of them.","code":"HW7204","pool":"encode","server":"e1","outcome":"no room"}
03:00:00 front-b {"timestamp":"2026-12-04T03:00:00.100Z","level":"INFO","message":"A call for pieces has ended without results for all of them.","code":"HW7204","pool":"rank","server":"r1","outcome":"no room"}
"#;

fn write_logs(name: &str) -> [PathBuf; 2] {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).unwrap();
    [("front-a.log", HOST_LOG), ("collected.txt", COLLECTED_LOG)].map(|(file, text)| {
        let path = directory.join(file);
        std::fs::write(&path, text).unwrap();
        path
    })
}

fn run(arguments: &[&str], files: &[PathBuf]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_hollywheelctl"))
        .env_clear()
        .arg("logs")
        .args(arguments)
        .args(files)
        .output()
        .unwrap();
    format!(
        "exit {}\n{}{}",
        output.status.code().unwrap(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

#[test]
fn request_prints_its_events_on_all_hosts_and_related_events() {
    insta::assert_snapshot!(run(&["request", "a1"], &write_logs("request")));
}

#[test]
fn failures_are_counted_by_pipeline_and_cause() {
    insta::assert_snapshot!(run(&["failures"], &write_logs("failures")));
}

#[test]
fn plot_has_a_line_for_each_outcome_and_cause() {
    let files = write_logs("plot");
    let plot = files[0].with_file_name("outcomes.svg");
    let output = run(&["failures", "--plot", plot.to_str().unwrap()], &files);
    assert!(output.starts_with("exit 0"), "{output}");
    let svg = std::fs::read_to_string(&plot).unwrap();
    for label in [
        "requests per second",
        "ended (3)",
        "answered (1)",
        "refused: pool can&apos;t make it in time (2)",
    ] {
        assert!(svg.contains(label), "{label}: {svg}");
    }
    let unwritable = plot.join("outcomes.svg");
    let output = run(
        &["failures", "--plot", unwritable.to_str().unwrap()],
        &files,
    );
    assert!(output.starts_with("exit 2"), "{output}");
    assert!(output.contains("outcomes.svg/outcomes.svg: "), "{output}");
    let output = run(&["failures", "--plot", plot.to_str().unwrap()], &files[1..]);
    assert!(output.contains("contain no end of a request"), "{output}");
}

#[test]
fn missing_request_and_file_without_events_are_reported() {
    let files = write_logs("missing");
    let output = run(&["request", "zz"], &files);
    assert!(
        output.contains("no file contains an event of request zz"),
        "{output}"
    );
    let empty = files[0].with_file_name("empty.log");
    std::fs::write(&empty, "nothing\n").unwrap();
    let output = run(&["failures"], std::slice::from_ref(&empty));
    assert!(output.starts_with("exit 2"), "{output}");
    assert!(output.contains("contains no event of a host"), "{output}");
}
