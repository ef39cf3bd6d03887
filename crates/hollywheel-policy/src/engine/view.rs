//! Status queries of the policy engine.

use hollywheel_types::RequestClass;

use crate::engine::PolicyEngine;
use crate::health::HealthState;
use crate::server::ServerState;
use crate::status::{CostReport, PoolStatus, QueueStatus, ServerCondition, ServerStatus};

impl PolicyEngine {
    /// Lists the backend servers of all pools with their condition.
    pub fn servers(&self) -> Vec<ServerStatus> {
        let mut servers = Vec::new();
        for (name, pool) in self.pools.iter() {
            servers.extend(pool.servers.iter().map(|(server, state)| ServerStatus {
                pool: name.clone(),
                server: server.clone(),
                condition: condition(state),
                in_subset: pool.subset.binary_search(server).is_ok(),
                in_flight: u32::try_from(state.in_flight()).unwrap_or(u32::MAX),
                report_age: state.report_age(self.now),
            }));
        }
        servers
    }

    /// Lists the pools with their counters and admission limits.
    pub fn pools(&self) -> Vec<PoolStatus> {
        let pools = self.pools.iter();
        let status = pools.map(|(name, pool)| PoolStatus {
            pool: name.clone(),
            counters: pool.counters,
            admitted: pool.admitted,
            limit: pool.limit(self.now, self.host_count),
        });
        status.collect()
    }

    /// Returns the number of requests queued for admission in each class.
    pub fn queues(&self) -> [QueueStatus; 4] {
        let lengths = self.gate.class_lengths();
        RequestClass::ALL.map(|class| QueueStatus {
            class,
            waiting: lengths[class.index()],
        })
    }

    /// Returns the backend time spent so far by stage, class and workspace.
    pub fn costs(&self) -> CostReport {
        self.ledger.report()
    }
}

fn condition(state: &ServerState) -> ServerCondition {
    if state.leaving {
        return ServerCondition::Leaving;
    }
    match state.health.state() {
        HealthState::Serving { .. } => ServerCondition::Serving,
        HealthState::Ejected { .. } => ServerCondition::Ejected,
        HealthState::Trial { .. } => ServerCondition::Trial,
    }
}
