//! `hollywheel-matrix told`

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_node::ReplyPart;
use hollywheel_types::{RequestId, SortedMap};

use super::options;
use crate::cell::{CellFault, CellScenario, CellStep, FaultPoint, MatrixCell};
use crate::scene::{FaultScene, SceneLog, SceneSettings};

pub(super) fn command() -> Command {
    Command::new("told")
        .about("Shows the outcomes that the callers of a scenario see under each fault")
        .arg(
            Arg::new("scenario")
                .required(true)
                .value_name("SCENARIO")
                .value_parser(value_parser!(CellScenario))
                .help("The scenario"),
        )
        .arg(options::seed_arg())
        .arg(options::jitter_arg())
        .arg(options::threads_arg())
}

pub(super) fn run(matches: &ArgMatches) -> ExitCode {
    let Some(scenario) = matches.get_one::<CellScenario>("scenario") else {
        return ExitCode::FAILURE;
    };
    let settings = options::settings(matches).scene;
    for fault in CellFault::ALL {
        println!("{fault}: {}", told(*scenario, *fault, &settings));
    }
    ExitCode::SUCCESS
}

/// Counts the outcomes of the observed request over all steps at which the fault is injected, and
/// returns the longest time to each.
fn told(scenario: CellScenario, fault: CellFault, settings: &SceneSettings) -> String {
    let mut counts: SortedMap<String, (u32, Duration)> = SortedMap::new();
    for step in CellStep::ALL.iter().copied() {
        let cell = MatrixCell {
            scenario,
            points: vec![FaultPoint { step, fault }],
        };
        let log = FaultScene::new(&cell, settings.clone()).run();
        if log.reached == 0 {
            continue;
        }
        let (words, took) = outcome(&log);
        let entry = counts.get_or_insert_with(words, || (0, Duration::ZERO));
        entry.0 += 1;
        entry.1 = entry.1.max(took);
    }
    let counts = counts.iter();
    let counts: Vec<String> = counts
        .map(|(words, (cells, took))| format!("{words} {cells} (at most {} ms)", took.as_millis()))
        .collect();
    counts.join(", ")
}

fn outcome(log: &SceneLog) -> (String, Duration) {
    let observed = RequestId(1);
    let sent = log.sent.iter().find(|sent| sent.request == observed);
    let mut parts = log.parts.iter();
    let last = parts.find(|part| part.request == observed && part.is_final());
    let (Some(sent), Some(last)) = (sent, last) else {
        return ("no answer".to_owned(), Duration::ZERO);
    };
    let words = match &last.part {
        ReplyPart::Refused(refusal) => format!("{} {}", refusal.verdict, refusal.reason),
        _ => "complete".to_owned(),
    };
    (words, last.at.since(sent.at))
}
