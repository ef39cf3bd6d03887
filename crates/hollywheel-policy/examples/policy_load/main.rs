//! Simulates routing policies against queueing servers in virtual time and prints the results for
//! callers.
//!
//! `cargo run --release -p hollywheel-policy --example policy_load [SCENARIO [POLICY]]`

use hollywheel_policy::RoutingPolicy;
use scenario::{Scenario, scenarios};
use simulation::Simulation;

mod attempts;
mod callers;
#[path = "../../tests/common/mod.rs"]
mod common;
mod faults;
mod measures;
mod scenario;
mod simulation;

/// Number of seeds that each scenario runs with.
const SEEDS: u64 = 5;
/// Quantile of Student's t distribution for a 95 percent confidence interval with five seeds.
const T_VALUE: f64 = 2.776;

/// Prints the mean and the confidence interval of each measure of a scenario.
fn print_line(scenario: Scenario, policy: RoutingPolicy) {
    let run = move |seed| {
        let mut simulation = Simulation::new(scenario, policy, seed);
        simulation.run();
        simulation.measures()
    };
    let threads: Vec<_> = (1..=SEEDS)
        .map(|seed| std::thread::spawn(move || run(seed)))
        .collect();
    let runs = threads
        .into_iter()
        .map(|thread| thread.join().expect("simulation thread panicked"));
    let runs: Vec<Vec<f64>> = runs.collect();
    let mut line = format!("{} {policy}", scenario.name);
    for index in 0..runs[0].len() {
        let mean = runs.iter().map(|run| run[index]).sum::<f64>() / SEEDS as f64;
        let squared_deviations: f64 = runs.iter().map(|run| (run[index] - mean).powi(2)).sum();
        let confidence = T_VALUE * (squared_deviations / (SEEDS * (SEEDS - 1)) as f64).sqrt();
        line += &format!(" | {mean:.3}±{confidence:.3}");
    }
    println!("{line}");
}

fn main() {
    let selected: Vec<String> = std::env::args().skip(1).collect();
    let matches = |index: usize, name: &str| {
        selected
            .get(index)
            .is_none_or(|selected| selected == "all" || selected == name)
    };
    println!(
        "scenario policy | transaction lookup interactive batch (% attained) | goodput/capacity | \
         attempts/request | cost ratio | refused at once % | recovery s | ejections"
    );
    for scenario in scenarios() {
        for policy in RoutingPolicy::ALL {
            if matches(0, scenario.name) && matches(1, policy.name()) {
                print_line(scenario, policy);
            }
        }
    }
}
