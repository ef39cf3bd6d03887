//! Tests of stage graphs in which a request omits stages.

use std::time::Duration;

use hollywheel_serving::{PieceHandle, StageGraph, StageInput, StageStep, stage_order};

/// The number of stages of the graphs.
const STAGES: usize = 4;
/// Stage times of a pipeline for which none are known.
const UNKNOWN_TIMES: [Duration; STAGES] = [Duration::ZERO; STAGES];

/// Returns the steps of a pipeline in which each bit of `edges` adds one dependency.
fn steps(edges: u32) -> Vec<StageStep> {
    let mut bit = 0;
    let mut steps = Vec::new();
    for stage in 0..STAGES {
        let mut after = Vec::new();
        for earlier in 0..stage {
            if edges & (1 << bit) != 0 {
                after.push(earlier);
            }
            bit += 1;
        }
        steps.push(StageStep {
            pool: "pieces".parse().unwrap(),
            after,
            result_bytes: 10,
        });
    }
    steps
}

/// Returns whether a stage needs an earlier one, directly or through omitted stages only.
fn needs(steps: &[StageStep], pieces: &[usize], stage: usize, earlier: usize) -> bool {
    steps[stage].after.iter().any(|needed| {
        *needed == earlier || (pieces[*needed] == 0 && needs(steps, pieces, *needed, earlier))
    })
}

/// Returns the results of a stage: one for each piece.
fn results(stage: usize, pieces: &[usize]) -> Vec<PieceHandle> {
    (0..pieces[stage])
        .map(|piece| format!("{stage}/{piece}"))
        .collect()
}

/// Runs all stages of a graph; checks the input of each, and that results are released once all
/// stages that need them are done.
fn check_graph(steps: &[StageStep], pieces: &[usize]) {
    let mut graph = StageGraph::new(steps, pieces);
    let is_needed = |stage: usize, earlier: usize| {
        pieces[stage] > 0 && pieces[earlier] > 0 && needs(steps, pieces, stage, earlier)
    };
    let is_final = |stage: &usize| !(0..STAGES).any(|later| is_needed(later, *stage));
    let mut released = Vec::new();
    loop {
        let started = graph.start_ready(&UNKNOWN_TIMES);
        if started.is_empty() {
            break;
        }
        for stage in started {
            let inputs: Vec<PieceHandle> = (0..STAGES)
                .filter(|earlier| is_needed(stage, *earlier))
                .flat_map(|earlier| results(earlier, pieces))
                .collect();
            let expected = match inputs.is_empty() {
                true => StageInput::Key,
                false => StageInput::Results(inputs),
            };
            assert_eq!(graph.input(stage), expected, "{steps:?} {pieces:?} {stage}");
            released.extend(graph.finish(stage, results(stage, pieces)));
        }
    }
    assert!(graph.is_complete(), "{steps:?} {pieces:?}");
    let finals: Vec<usize> = (0..STAGES).filter(is_final).collect();
    let final_results: Vec<PieceHandle> = finals
        .iter()
        .flat_map(|stage| results(*stage, pieces))
        .collect();
    assert_eq!(graph.final_handles(), final_results, "{steps:?} {pieces:?}");
    assert_eq!(graph.held_handles(), final_results, "{steps:?} {pieces:?}");
    let unneeded: Vec<PieceHandle> = (0..STAGES)
        .filter(|stage| !finals.contains(stage))
        .flat_map(|stage| results(stage, pieces))
        .collect();
    released.sort_unstable();
    assert_eq!(released, unneeded, "{steps:?} {pieces:?}");
    for stage in (0..STAGES).filter(|stage| pieces[*stage] > 0) {
        assert_eq!(
            graph.is_final(stage),
            finals.contains(&stage),
            "{steps:?} {pieces:?} {stage}"
        );
    }
}

/// The model engine was given no results of a stage whose only followers the request omitted, and
/// those results were held to the end of the request.
#[test]
fn results_before_an_omitted_last_stage_are_missing() {
    let edge_sets = 1 << (STAGES * (STAGES - 1) / 2);
    for edges in 0..edge_sets {
        let steps = steps(edges);
        for present in 0..1_usize << STAGES {
            let pieces: Vec<usize> = (0..STAGES)
                .map(|stage| (stage + 1) * (present >> stage & 1))
                .collect();
            check_graph(&steps, &pieces);
        }
    }
}

/// A configuration was refused as a whole when a stage needed one with a higher number.
#[test]
fn stage_that_needs_a_later_one_is_refused() {
    for edges in 0..1 << (STAGES * (STAGES - 1) / 2) {
        let mut steps = steps(edges);
        steps.reverse();
        for stage in steps.iter_mut().flat_map(|step| &mut step.after) {
            *stage = STAGES - 1 - *stage;
        }
        let mut order = stage_order(&steps).unwrap();
        for present in 0..1_usize << STAGES {
            let pieces: Vec<usize> = (0..STAGES)
                .map(|stage| (stage + 1) * (present >> stage & 1))
                .collect();
            check_graph(&steps, &pieces);
        }
        order.sort_unstable();
        assert_eq!(order, [0, 1, 2, 3]);
        // A cycle has no order.
        steps[0].after.push(STAGES - 1);
        steps[STAGES - 1].after.push(0);
        assert!(stage_order(&steps).is_err(), "{steps:?}");
    }
}
