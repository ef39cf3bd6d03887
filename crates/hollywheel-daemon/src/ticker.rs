//! Values of metrics that are read now and then.

use std::sync::Arc;
use std::time::Duration;

use hollywheel_policy::{CostReport, ServerCondition, StageCost};

use crate::core::CoreHandle;
use crate::events::{EventContext, LogEvent, log_event};
use crate::front::FrontState;
use crate::metrics::DaemonMetrics;

const INTERVAL: Duration = Duration::from_secs(1);
/// Counts the intervals between two reads of the machine, whose state is larger.
const READ_EVERY: u32 = 5;

/// Copies the state of the host into the metrics.
#[derive(Clone, Debug)]
pub struct MetricsTicker {
    /// The decision machine.
    pub core: CoreHandle,
    /// The readiness.
    pub front: Arc<FrontState>,
    /// The metrics.
    pub metrics: Arc<DaemonMetrics>,
}

impl MetricsTicker {
    /// Runs until the task that owns the machine ends.
    pub async fn run(self) {
        let mut ready = false;
        for tick in 0_u32.. {
            self.note_readiness(&mut ready);
            if tick.is_multiple_of(READ_EVERY) && !self.read_machine().await {
                return;
            }
            tokio::time::sleep(INTERVAL).await;
        }
    }

    fn note_readiness(&self, ready: &mut bool) {
        let now = self.front.is_ready();
        if now == *ready {
            return;
        }
        *ready = now;
        self.metrics.set_ready(now);
        let (event, detail) = match (now, self.front.is_draining()) {
            (true, _) => (LogEvent::HostReady, "a configuration is in force"),
            (false, true) => (LogEvent::HostNotReady, "shutting down"),
            (false, false) => (LogEvent::HostNotReady, "no configuration"),
        };
        log_event(event, &EventContext::default(), detail);
    }

    async fn read_machine(&self) -> bool {
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
        self.copy_costs(&status.costs);
        true
    }

    fn copy_costs(&self, costs: &CostReport) {
        for cost in &costs.stages {
            self.copy_cost(cost);
        }
    }

    fn copy_cost(&self, cost: &StageCost) {
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
