//! Injects the faults of a scenario at their times.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::fetch::post_json;
use crate::scenario::{PolicyTarget, ScenarioPlan};

const FAULTS_PATH: &str = "/standin/faults";
const RESTART_PATH: &str = "/standin/restart";

/// A fault order to one stand-in.
struct TimedOrder {
    at: Duration,
    address: SocketAddr,
    order: Value,
}

/// Sends the fault orders of a scenario at their times; returns those that failed.
pub(crate) async fn run_timeline(scenario: &ScenarioPlan, target: &PolicyTarget) -> Vec<String> {
    let start = Instant::now();
    let mut orders: Vec<TimedOrder> = Vec::new();
    for fault in &scenario.faults {
        for address in fault.targets(target) {
            orders.push(TimedOrder {
                at: Duration::from_millis(fault.at_ms),
                address,
                order: fault.order.clone(),
            });
        }
    }
    orders.sort_by_key(|order| order.at);
    let mut failures = Vec::new();
    for order in orders {
        tokio::time::sleep_until(start + order.at).await;
        if let Err(error) = post_json(order.address, FAULTS_PATH, &order.order).await {
            failures.push(error.to_string());
        }
    }
    failures
}

/// Clears the faults of every stand-in; returns the orders that failed.
pub(crate) async fn clear_faults(scenario: &ScenarioPlan, target: &PolicyTarget) -> Vec<String> {
    let servers = target.view.servers.iter().map(|server| server.address);
    let mut failures = Vec::new();
    for address in servers.chain(target.platform) {
        if let Err(error) = post_json(address, FAULTS_PATH, &json!({})).await {
            failures.push(error.to_string());
        }
    }
    let leaves = |order: &Value| order.get("leaving") == Some(&json!(true));
    let left = scenario.faults.iter().filter(|fault| !fault.platform);
    for fault in left.filter(|fault| leaves(&fault.order)) {
        for address in fault.targets(target) {
            if let Err(error) = post_json(address, RESTART_PATH, &json!({})).await {
                failures.push(error.to_string());
            }
        }
    }
    failures
}
