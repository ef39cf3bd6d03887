//! Tests that replay the recorded traces.

use std::fs;
use std::path::Path;

use hollywheel_matrix::{ReplayError, read_trace, replay_trace, write_trace};
use hollywheel_node::{TraceLine, TraceOutcome};

fn traces() -> Vec<(String, Vec<TraceLine>)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let mut files: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    files
        .iter()
        .map(|file| {
            let name = file.file_name().unwrap().to_string_lossy().into_owned();
            (
                name,
                read_trace(&fs::read_to_string(file).unwrap()).unwrap(),
            )
        })
        .collect()
}

#[test]
fn recorded_traces_end_as_stated() {
    for (name, lines) in traces() {
        let summary = replay_trace(&lines).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert!(summary.outcomes >= 3, "{name}");
    }
}

#[test]
fn first_difference_is_named() {
    let (_, mut lines) = traces().remove(0);
    for line in &mut lines {
        if let TraceLine::Expect { outcome, .. } = line {
            *outcome = TraceOutcome::None;
        }
    }
    let error = replay_trace(&lines).unwrap_err();
    insta::assert_snapshot!(error);
}

#[test]
fn traces_survive_writing_and_reading() {
    for (name, lines) in traces() {
        assert_eq!(read_trace(&write_trace(&lines)).unwrap(), lines, "{name}");
    }
}

#[test]
fn bad_line_is_named() {
    let error = read_trace("\n{\"line\":\"lunch\"}").unwrap_err();
    assert!(
        matches!(error, ReplayError::BadLine { line: 2, .. }),
        "{error}"
    );
    assert_eq!(replay_trace(&[]), Err(ReplayError::NoSettings));
}
