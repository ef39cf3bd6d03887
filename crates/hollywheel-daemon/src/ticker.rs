//! Periodic update of the gauges.

use std::sync::Arc;
use std::time::Duration;

use hollywheel_policy::{CostReport, ServerCondition, StageCost};

use crate::core::CoreHandle;
use crate::events::{EventContext, LogEvent, log_event};
use crate::front::FrontState;
use crate::metrics::DaemonMetrics;

const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Ticks between two reads of the node status, a larger copy than the readiness flag.
const NODE_STATUS_TICKS: u32 = 5;

/// Task that copies the state of the host into the metrics.
#[derive(Clone, Debug)]
pub struct MetricsTicker {
    /// Handle of the node state machine.
    pub core: CoreHandle,
    /// State of the callers' listener, which knows whether the host is ready.
    pub front: Arc<FrontState>,
    /// Metrics that are updated.
    pub metrics: Arc<DaemonMetrics>,
}

impl MetricsTicker {
    /// Runs until the task that owns the node state machine ends.
    pub async fn run(self) {
        let mut ready = false;
        for tick in 0_u32.. {
            self.update_readiness(&mut ready);
            if tick.is_multiple_of(NODE_STATUS_TICKS) && !self.update_from_node().await {
                return;
            }
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    fn update_readiness(&self, ready: &mut bool) {
        let is_ready = self.front.is_ready();
        if is_ready == *ready {
            return;
        }
        *ready = is_ready;
        self.metrics.set_ready(is_ready);
        let (event, detail) = match (is_ready, self.front.is_draining()) {
            (true, _) => (LogEvent::HostReady, "a configuration is in force"),
            (false, true) => (LogEvent::HostNotReady, "shutting down"),
            (false, false) => (LogEvent::HostNotReady, "no configuration"),
        };
        log_event(event, &EventContext::default(), detail);
    }

    async fn update_from_node(&self) -> bool {
        let Some(status) = self.core.status().await else {
            return false;
        };
        let ejected = status
            .servers
            .iter()
            .filter(|server| server.condition == ServerCondition::Ejected);
        self.metrics.set_ejected(ejected.count());
        self.metrics.set_ejections(status.ejections);
        self.metrics.set_in_flight(status.requests);
        self.update_costs(&status.costs);
        true
    }

    fn update_costs(&self, costs: &CostReport) {
        for cost in &costs.stages {
            self.update_stage_cost(cost);
        }
    }

    fn update_stage_cost(&self, cost: &StageCost) {
        let split = &cost.split;
        let spent = [
            ("useful", split.useful),
            ("retried", split.retried),
            ("hedged", split.hedged),
            ("cancelled", split.cancelled),
            ("late", split.late),
        ];
        for (name, span) in spent {
            let millis = span.as_secs_f64() * 1000.0;
            let stage = cost.stage.as_str();
            self.metrics
                .set_cost(stage, cost.class.name(), name, millis);
        }
    }
}
