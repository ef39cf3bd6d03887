//! Tests of arrivals and plans.

mod common;

use common::{pipeline, plan};
use hollywheel_bench::{BurstPlan, LoadPlan, PlannedRequest, WorkspacePlan, arrivals};

fn count_between(requests: &[PlannedRequest], from: f64, to: f64) -> usize {
    let at = requests.iter().map(|request| request.at.as_secs_f64());
    at.filter(|at| (from..to).contains(at)).count()
}

fn long_plan() -> LoadPlan {
    LoadPlan {
        seconds: 30.0,
        ..plan(vec![pipeline("summary")])
    }
}

#[test]
fn arrivals_depend_on_the_seed_alone() {
    let mut keyed = pipeline("payment");
    keyed.keyed = true;
    let mut shared = pipeline("summary");
    shared.prefixes = 3;
    shared.input_bytes = 30;
    let plan = plan(vec![keyed, shared]);
    let requests = arrivals(&plan, "run-a");
    assert_eq!(requests, arrivals(&plan, "run-a"));
    let other = arrivals(&LoadPlan { seed: 8, ..plan }, "run-a");
    assert_ne!(requests[0].at, other[0].at);
    insta::assert_debug_snapshot!(&requests[..4]);
}

#[test]
fn rate_holds_and_bursts_multiply_it() {
    let burst = BurstPlan {
        at_ms: 10_000,
        for_ms: 10_000,
        factor: 3.0,
    };
    let requests = arrivals(
        &LoadPlan {
            bursts: vec![burst],
            ..long_plan()
        },
        "run",
    );
    // The bounds are four standard deviations of Poisson counts with means of 1,000 and 3,000.
    for (from, to, mean) in [
        (0.0, 10.0, 1000),
        (10.0, 20.0, 3000),
        (20.0, 30.0, 1000_usize),
    ] {
        let count = count_between(&requests, from, to);
        let limit = 4.0 * (mean as f64).sqrt();
        assert!((count.abs_diff(mean) as f64) < limit, "{from}: {count}");
    }
}

#[test]
fn workspaces_of_a_pipeline_share_it_by_weight() {
    let workspace = |name: &str, weight| WorkspacePlan {
        name: name.to_owned(),
        key: String::new(),
        weight,
    };
    let mut restricted = pipeline("summary");
    restricted.workspaces = vec!["large".to_owned(), "small".to_owned()];
    let plan = LoadPlan {
        workspaces: vec![
            workspace("large", 3.0),
            workspace("none", 5.0),
            workspace("small", 1.0),
        ],
        pipelines: vec![restricted],
        ..long_plan()
    };
    let requests = arrivals(&plan, "run");
    let count = |at| requests.iter().filter(|one| one.workspace == at).count();
    assert_eq!(count(1), 0);
    let share = count(0) as f64 / requests.len() as f64;
    assert!((share - 0.75).abs() < 0.04, "{share}");
}

#[test]
fn fields_out_of_range_are_named() {
    let refused = |plan: LoadPlan| plan.check().expect_err("the plan is refused").to_string();
    let mut without_deadline = pipeline("summary");
    without_deadline.deadline_ms = 0;
    let mut stranger = pipeline("summary");
    stranger.workspaces = vec!["nobody".to_owned()];
    let faults = [
        refused(LoadPlan {
            seconds: 601.0,
            ..long_plan()
        }),
        refused(LoadPlan {
            rate: f64::NAN,
            ..long_plan()
        }),
        refused(LoadPlan {
            rate: 7000.0,
            ..long_plan()
        }),
        refused(LoadPlan {
            retries: 21,
            ..long_plan()
        }),
        refused(LoadPlan {
            workspaces: Vec::new(),
            ..long_plan()
        }),
        refused(plan(vec![without_deadline])),
        refused(plan(vec![stranger])),
    ];
    insta::assert_snapshot!(faults.join("\n"));
}
