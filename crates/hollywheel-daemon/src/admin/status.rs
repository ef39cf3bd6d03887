//! Status of the host, its peers and its backend servers.

use hollywheel_admin::{
    HostEntry, HostList, HostState, HostStatus, PoolEntry, PoolList, ServerStatus, StageCost,
};
use hollywheel_config::PoolObject;
use hollywheel_membership::{MemberRecord, MemberState};
use hollywheel_policy::ServerCondition;
use hollywheel_types::{ServerId, SortedMap};

use super::error::AdminError;
use super::state::AdminState;
use crate::core::CoreStatus;

/// Maximum number of workspaces in the host status.
const MAX_WORKSPACES: usize = 20;

impl AdminState {
    pub(super) async fn host_status(&self) -> Result<HostStatus, AdminError> {
        let core = self.core.status().await.ok_or(AdminError::Unavailable)?;
        let status_counters = self.front.metrics.status_counters();
        Ok(HostStatus {
            host: self.host.clone(),
            incarnation: self.incarnation,
            domain: self.domain.clone(),
            ready: self.front.is_ready(),
            notices: self.notices(&core),
            config_version: core.config_version,
            hosts_alive: to_u32(self.directory.alive()),
            store_ok: core.store_ok,
            claims_open: to_u32(core.claims_open),
            in_flight: to_u32(core.requests),
            queued: to_u32(core.queued()),
            classes: status_counters.classes(),
            workspaces: status_counters.busiest(MAX_WORKSPACES),
            costs: stage_costs(&core),
        })
    }

    fn notices(&self, core: &CoreStatus) -> Vec<String> {
        let ejected = core
            .servers
            .iter()
            .filter(|server| server.condition == ServerCondition::Ejected)
            .count();
        let conditions = [
            (
                self.config.get().is_none(),
                "no configuration is in force".to_owned(),
            ),
            (self.front.is_draining(), "shutting down".to_owned()),
            (
                !core.store_ok,
                "the table service does not answer; non-idempotent requests are refused".to_owned(),
            ),
            (
                self.transport.is_none(),
                "no certificate is set, so the host does not join other hosts".to_owned(),
            ),
            (
                ejected > 0,
                format!("{ejected} backend servers are ejected"),
            ),
        ];
        let active = conditions.into_iter().filter(|(holds, _)| *holds);
        active.map(|(_, notice)| notice).collect()
    }

    pub(super) fn host_list(&self) -> HostList {
        let records = self.directory.records();
        HostList {
            hosts: records.iter().map(host_entry).collect(),
        }
    }

    pub(super) async fn pool_list(&self) -> Result<PoolList, AdminError> {
        let core = self.core.status().await.ok_or(AdminError::Unavailable)?;
        let status_by_server: SortedMap<ServerId, hollywheel_policy::ServerStatus> = core
            .servers
            .into_iter()
            .map(|status| (status.server.clone(), status))
            .collect();
        let published = self.config.get();
        let pools = published.iter().flat_map(|published| &published.set.pools);
        Ok(PoolList {
            pools: pools
                .map(|pool| self.pool_entry(pool, &status_by_server))
                .collect(),
        })
    }

    fn pool_entry(
        &self,
        pool: &PoolObject,
        status_by_server: &SortedMap<ServerId, hollywheel_policy::ServerStatus>,
    ) -> PoolEntry {
        let servers = pool.servers.iter().map(|server| {
            let status = status_by_server.get(&server.name);
            let last = self.reports.last(&server.name);
            let age = status.and_then(|status| status.report_age);
            ServerStatus {
                server: server.name.clone(),
                domain: server.domain.clone(),
                state: condition_name(status).to_owned(),
                in_flight: status.map_or(0, |status| status.in_flight),
                reported_running: last.map_or(0, |last| last.running),
                reported_queued: last.map_or(0, |last| last.queued),
                report_age_ms: age
                    .map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            }
        });
        PoolEntry {
            pool: pool.name.clone(),
            servers: servers.collect(),
        }
    }
}

fn to_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn condition_name(status: Option<&hollywheel_policy::ServerStatus>) -> &'static str {
    match status.map(|status| status.condition) {
        Some(ServerCondition::Ejected) => "ejected",
        Some(ServerCondition::Trial) => "probing",
        Some(ServerCondition::Leaving) => "leaving",
        Some(ServerCondition::Serving) | None => "available",
    }
}

fn host_entry(record: &MemberRecord) -> HostEntry {
    HostEntry {
        host: record.host.clone(),
        incarnation: record.incarnation,
        domain: record.domain.clone(),
        region: record.region.clone(),
        state: match record.state {
            MemberState::Alive => HostState::Alive,
            MemberState::Suspect => HostState::Suspect,
            MemberState::Leaving => HostState::Leaving,
            MemberState::Dead => HostState::Dead,
        },
        config_version: record.config_version,
    }
}

fn stage_costs(core: &CoreStatus) -> Vec<StageCost> {
    let millis = |span: std::time::Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    let costs = core.costs.stages.iter().map(|cost| StageCost {
        stage: cost.stage.clone(),
        class: cost.class,
        useful_ms: millis(cost.split.useful),
        retried_ms: millis(cost.split.retried),
        hedged_ms: millis(cost.split.hedged),
        cancelled_ms: millis(cost.split.cancelled),
        late_ms: millis(cost.split.late),
    });
    costs.collect()
}
