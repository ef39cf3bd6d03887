//! Runs policies against queue fakes in virtual time and prints what callers get.
//!
//! `cargo run --release -p hollywheel-policy --example policy_load [SCENARIO [POLICY]]`

use hollywheel_policy::RoutingPolicy;
use scenario::{Scenario, scenarios};
use world::World;

mod attempts;
mod callers;
#[path = "../../tests/common/mod.rs"]
mod common;
mod faults;
mod measures;
mod scenario;
mod world;

const SEEDS: u64 = 5;
/// Student's t for 95 percent and five seeds.
const T_VALUE: f64 = 2.776;

fn print_line(scenario: Scenario, policy: RoutingPolicy) {
    let run = move |seed| {
        let mut world = World::new(scenario, policy, seed);
        world.run();
        world.measures()
    };
    let threads: Vec<_> = (1..=SEEDS)
        .map(|seed| std::thread::spawn(move || run(seed)))
        .collect();
    let runs = threads
        .into_iter()
        .map(|thread| thread.join().expect("a complete run"));
    let runs: Vec<Vec<f64>> = runs.collect();
    let mut line = format!("{} {policy}", scenario.name);
    for at in 0..runs[0].len() {
        let mean = runs.iter().map(|run| run[at]).sum::<f64>() / SEEDS as f64;
        let square: f64 = runs.iter().map(|run| (run[at] - mean).powi(2)).sum();
        let error = T_VALUE * (square / (SEEDS * (SEEDS - 1)) as f64).sqrt();
        line += &format!(" | {mean:.3}±{error:.3}");
    }
    println!("{line}");
}

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let matches = |at: usize, name: &str| {
        wanted
            .get(at)
            .is_none_or(|wanted| wanted == "all" || wanted == name)
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
