//! Tests of the whole matrix with fixed seeds, and that its checks find deliberate faults.

use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use hollywheel_matrix::{
    CellScenario, DeliberateBreak, FaultPoint, FaultScene, MatrixCell, MatrixSettings,
    MatrixSummary, SceneSettings, check_cell, run_break, run_cell, run_cells,
};
use hollywheel_node::ReplyPart;
use hollywheel_types::{ExecutionVerdict, RequestId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Maximum delays of runs with random delays, in microseconds.
const JITTER_US: u64 = 4000;

fn settings(seed: u64, jitter_us: u64) -> MatrixSettings {
    MatrixSettings {
        scene: SceneSettings {
            seed,
            jitter_us,
            broken: None,
        },
        ..MatrixSettings::default()
    }
}

fn pairs() -> Vec<MatrixCell> {
    let scenarios = CellScenario::ALL.iter().copied();
    scenarios.flat_map(MatrixCell::pairs).collect()
}

fn assert_clean(summary: &MatrixSummary) {
    let first = summary.failing.first();
    let first = first.map(|result| format!("{}: {:?}", result.cell, result.findings));
    assert_eq!((summary.failing.len(), first), (0, None));
}

#[test]
fn every_fault_at_every_step() {
    let summary = run_cells(&MatrixCell::singles(), &settings(1, 0));
    assert_clean(&summary);
    insta::assert_snapshot!(format!("run {}, reached {}", summary.run, summary.reached), @"run 1638, reached 1386");
    for seed in 2..8 {
        assert_clean(&run_cells(
            &MatrixCell::singles(),
            &settings(seed, JITTER_US),
        ));
    }
}

#[test]
fn every_pair_of_faults() {
    let summary = run_cells(&pairs(), &settings(1, 0));
    assert_clean(&summary);
    assert_eq!(summary.run, 224_406);
}

#[test]
fn every_deliberate_break_is_found() {
    for broken in DeliberateBreak::ALL {
        let mut summary = run_break(&MatrixCell::singles(), *broken, &settings(1, 0));
        if summary.failing.is_empty() {
            let payments = MatrixCell::pairs(CellScenario::Payment);
            summary = run_break(&payments, *broken, &settings(1, 0));
        }
        if summary.failing.is_empty() {
            let forwarded = MatrixCell::pairs(CellScenario::Forwarded);
            summary = run_break(&forwarded, *broken, &settings(1, 0));
        }
        assert!(!summary.failing.is_empty(), "{broken} is found by no check");
    }
}

/// Creates a cell with up to four faults from random bytes.
fn random_cell(bytes: &[u8; 10]) -> MatrixCell {
    let points = FaultPoint::all();
    let pick =
        |pair: &[u8]| points[(usize::from(pair[0]) * 256 + usize::from(pair[1])) % points.len()];
    let count = 1 + usize::from(bytes[0] % 4);
    let scenarios = CellScenario::ALL;
    MatrixCell {
        scenario: scenarios[usize::from(bytes[1]) % scenarios.len()],
        points: bytes[2..].chunks(2).take(count).map(pick).collect(),
    }
}

/// The seeds are fixed, so that every run has the same result.
#[test]
fn random_faults_in_random_order() {
    let generator = bolero::produce::<([u8; 10], u16)>();
    for seed in 0..3000 {
        let mut bytes = vec![0; 64];
        StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let (bytes, delays) = generator.generate(&mut driver).expect("enough bytes");
        let cell = random_cell(&bytes);
        let scene = settings(u64::from(delays), JITTER_US).scene;
        let findings = run_cell(&cell, &scene).findings;
        assert!(findings.is_empty(), "{cell} seed {delays}: {findings:?}");
    }
}

#[test]
fn runs_are_the_same_every_time() {
    let cell: MatrixCell = "payment/dispatch+pause-before/reply+caller-retry"
        .parse()
        .unwrap();
    let run = || format!("{:?}", run_cell(&cell, &settings(5, JITTER_US).scene));
    assert_eq!(run(), run());
}

#[test]
fn wrong_cell_names_what_was_expected() {
    let error = "payment/lunch+slow".parse::<MatrixCell>().unwrap_err();
    insta::assert_snapshot!(error, @r#"step "lunch" is not known; expected receive, admit, claim-write, claim-answer, pick, dispatch, first-byte, mid-stream, last-byte, result-write, reply, config-change, drain"#);
}

#[test]
fn late_answer_reaches_the_caller_who_asks_again() {
    for point in [
        "dispatch+slow",
        "dispatch+slow/claim-write+store-answer-lost",
    ] {
        let cell: MatrixCell = format!("payment/{point}").parse().unwrap();
        let scene = SceneSettings {
            seed: 1,
            ..SceneSettings::default()
        };
        let log = FaultScene::new(&cell, scene).run();
        assert_eq!(check_cell(&cell, &log), Vec::new());
        let told = |request: u128| {
            let parts = log.parts.iter();
            let mut own = parts.filter(|part| part.request == RequestId(request));
            own.next().map(|part| part.part.clone())
        };
        let Some(ReplyPart::Refused(refusal)) = told(1) else {
            panic!("the first submission was not refused");
        };
        assert_eq!(refusal.verdict, ExecutionVerdict::MayHaveRun);
        for request in [20, 21] {
            let part = told(request);
            let replayed = matches!(part, Some(ReplyPart::Complete { replayed: true, .. }));
            assert!(replayed, "{cell}: request {request} was told {part:?}");
        }
    }
}
