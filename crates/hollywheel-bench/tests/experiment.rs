//! Tests of experiments, means and plots.

mod common;

use std::time::Duration;

use common::{OBJECTS, ServerHabit, objects, pipeline, plan, server_view, start_server};
use hollywheel_bench::{
    ExperimentPlan, FaultPlan, LedgerBook, LedgerLine, ObjectView, PolicyTarget, ScenarioPlan,
    draw_results, mean_interval, metric_rows, read_experiment, run_experiment, stage_costs,
};
use hollywheel_standins::{ServiceSettings, StandinHandle, start_service};
use serde_json::json;

async fn service() -> StandinHandle {
    let settings = ServiceSettings {
        median: Duration::from_millis(1),
        ..ServiceSettings::default()
    };
    start_service(settings).await.expect("a port is free")
}

fn scenario(name: &str, faults: Vec<FaultPlan>) -> ScenarioPlan {
    ScenarioPlan {
        name: name.to_owned(),
        rate_factor: 1.0,
        seconds: None,
        bursts: Vec::new(),
        faults,
    }
}

fn outage() -> FaultPlan {
    FaultPlan {
        at_ms: 0,
        servers: Vec::new(),
        pool: Some("payments".to_owned()),
        domain: Some("medeu".to_owned()),
        limit: None,
        platform: false,
        order: json!({"fail_status": 500}),
    }
}

async fn experiment(service: &StandinHandle) -> (ExperimentPlan, Vec<PolicyTarget>) {
    let forward = ServerHabit::Forward {
        service: service.address(),
    };
    let mut keyed = pipeline("payment");
    keyed.keyed = true;
    let target = async |name: &str| PolicyTarget {
        name: name.to_owned(),
        addresses: vec![start_server(forward.clone()).await],
        platform: None,
        view: ObjectView {
            servers: vec![server_view("payments-1", service.address())],
            ..objects()
        },
    };
    let plan = ExperimentPlan {
        name: "small".to_owned(),
        repeats: 2,
        seed: 3,
        settle_ms: 50,
        objects: None,
        platform: None,
        policies: Vec::new(),
        load: plan(vec![keyed]),
        scenarios: vec![
            scenario("calm", Vec::new()),
            scenario("failing", vec![outage()]),
        ],
    };
    (plan, vec![target("one").await, target("two").await])
}

#[tokio::test]
async fn policies_meet_the_same_arrivals_and_faults() {
    let service = service().await;
    let (plan, targets) = experiment(&service).await;
    let mut seen = Vec::new();
    let end = run_experiment(&plan, &targets, |result| {
        seen.push((result.scenario.clone(), result.policy.clone(), result.seed));
        Ok(())
    })
    .await
    .unwrap();
    let run = |scenario: &str, policy: &str, seed| (scenario.to_owned(), policy.to_owned(), seed);
    let expected = [
        run("calm", "one", 3),
        run("calm", "two", 3),
        run("failing", "one", 3),
        run("failing", "two", 3),
        run("calm", "two", 4),
        run("calm", "one", 4),
        run("failing", "two", 4),
        run("failing", "one", 4),
    ];
    assert_eq!(seen, expected);
    let total = |at: usize| &end.results[at].summary.total;
    assert_eq!(total(0).requests, total(1).requests);
    assert_eq!(total(0).attained, total(0).requests);
    // The policies share the server, and each run counts only its own work.
    let starts = end.results.iter().map(|result| result.costs[0].starts);
    let requests = end
        .results
        .iter()
        .map(|result| result.summary.total.requests);
    assert!(starts.eq(requests));
    assert!(total(2).may_have_run > 0);
    let reports = end.reports.iter().map(|one| &one.report);
    let violations: Vec<_> = reports.flat_map(|report| &report.differences).collect();
    assert!(violations.is_empty(), "{violations:?}");
    let path = std::env::temp_dir().join(format!("hollywheel-plot-{}.svg", std::process::id()));
    draw_results(&path, &end.results, "attainment").unwrap();
    let plot = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    for word in ["<svg", "calm", "failing", "one", "two"] {
        assert!(plot.contains(word), "{word}");
    }
    let missing = draw_results(&path, &end.results, "beauty").unwrap_err();
    assert!(
        missing
            .to_string()
            .starts_with("metric: expected one of attainment; goodput /s")
    );
}

#[tokio::test]
async fn doubled_work_of_a_run_is_reported() {
    let service = service().await;
    let (plan, targets) = experiment(&service).await;
    let mut plan = ExperimentPlan {
        repeats: 1,
        scenarios: vec![scenario("failing", vec![outage()])],
        ..plan
    };
    // The test server does not deduplicate, so a retry executes the work again.
    plan.load.retries = 1;
    let end = run_experiment(&plan, &targets, |_| Ok(())).await.unwrap();
    let reports = end.reports.iter().map(|one| &one.report);
    let rules = reports.flat_map(|report| report.differences.iter().map(|one| one.rule.name()));
    assert!(rules.collect::<Vec<_>>().contains(&"at-most-once"));
    let rows = metric_rows(&end.results);
    let row = rows.iter().find(|row| row.metric == "violations").unwrap();
    assert!(row.interval.mean > 0.0);
}

#[test]
fn faults_without_servers_are_refused() {
    let mut fault = outage();
    fault.domain = Some("nowhere".to_owned());
    let target = PolicyTarget {
        name: "one".to_owned(),
        addresses: Vec::new(),
        platform: None,
        view: objects(),
    };
    assert!(fault.targets(&target).is_empty());
}

#[test]
fn interval_is_that_of_student() {
    let interval = mean_interval(&[1.0, 2.0, 3.0]);
    assert!((interval.mean - 2.0).abs() < 1e-9);
    // 4.303 is the quantile of Student's t distribution for 2 degrees of freedom, and the standard
    // error is 1 / sqrt(3).
    assert!((interval.high - 4.4843).abs() < 1e-3, "{interval:?}");
    assert!((interval.low + 0.4843).abs() < 1e-3, "{interval:?}");
}

#[test]
fn cost_counts_work_that_was_cancelled_after_its_start() {
    let line = |event: &str, attempt: &str, at_us| LedgerLine {
        event: event.to_owned(),
        attempt: attempt.to_owned(),
        stage: "draft".to_owned(),
        at_us,
        ..LedgerLine::default()
    };
    let book = LedgerBook {
        lines: vec![
            line("started", "a", 1000),
            line("started", "b", 2000),
            line("cancelled", "b", 5000),
            line("cancelled", "c", 5000),
            line("finished", "a", 6000),
        ],
        ..LedgerBook::default()
    };
    let costs = stage_costs(&[book]);
    assert_eq!(costs.len(), 1);
    assert_eq!((costs[0].starts, costs[0].finishes), (2, 1));
    assert!((costs[0].busy_ms - 8.0).abs() < 1e-9);
}

#[test]
fn fleet_gives_daemons_platform_and_objects() {
    let folder = std::env::temp_dir().join(format!("hollywheel-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
    write("objects.toml", OBJECTS);
    let fleet = json!({"platform": "127.0.0.1:9000", "objects": folder.join("objects.toml"),
        "token": "unused", "hosts": [{"name": "host-1", "callers": "127.0.0.1:9001"}]});
    write("fleet.json", &fleet.to_string());
    let text = |pipeline: &str| {
        format!(
            "name = 'small'\npolicy = [{{ name = 'one', fleet = 'fleet.json' }}]\n\
             scenario = [{{ name = 'calm' }}]\n[load]\nseconds = 1\nrate = 1\n\
             workspace = [{{ name = 'w', key = 'k' }}]\n\
             pipeline = [{{ name = '{pipeline}', class = 'lookup', deadline_ms = 1 }}]\n"
        )
    };
    write("experiment.toml", &text("payment"));
    let read = read_experiment(&folder.join("experiment.toml"));
    write("experiment.toml", &text("nothing"));
    let missing = read_experiment(&folder.join("experiment.toml"));
    std::fs::remove_dir_all(&folder).unwrap();
    let (_, targets) = read.unwrap();
    assert_eq!(targets[0].addresses, ["127.0.0.1:9001".parse().unwrap()]);
    assert_eq!(targets[0].platform, Some("127.0.0.1:9000".parse().unwrap()));
    assert_eq!(targets[0].view.pipelines, objects().pipelines);
    assert_eq!(
        missing.unwrap_err().to_string(),
        "load.pipeline nothing: expected a pipeline of the object file with all its stages"
    );
}
