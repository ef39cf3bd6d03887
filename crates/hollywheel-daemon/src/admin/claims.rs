//! Claims as operators see and resolve them.

use std::time::Duration;

use hollywheel_admin::{ClaimEntry, ClaimList, ClaimResolution};
use hollywheel_claims::{
    ClaimKey, ClaimRow, ClaimState, list_request, parse_claim_key, read_request, resolve_request,
};
use hollywheel_platform::PlatformService;
use hollywheel_store::{RowOutcome, StoreReply, StoreRequest, StoreRow};
use hollywheel_types::ExecutionVerdict;

use super::fault::AdminFault;
use super::state::AdminState;
use crate::events::{EventContext, LogEvent, log_event};

const STORE_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_LIMIT: u32 = 100;
/// Bounds the rows that one call reads while it looks for claims that are not settled.
const MAX_SCANNED: usize = 10_000;
const SCAN_LIMIT: u32 = 1000;

impl AdminState {
    async fn call_table(&self, request: StoreRequest) -> Result<StoreReply, AdminFault> {
        self.platform
            .table(request, STORE_TIMEOUT)
            .await
            .map_err(AdminFault::Store)
    }

    async fn read_rows(&self, request: StoreRequest) -> Result<Vec<StoreRow>, AdminFault> {
        match self.call_table(request).await? {
            StoreReply::Rows { rows } => Ok(rows),
            StoreReply::Txn { .. } => Err(AdminFault::Unavailable),
        }
    }

    /// Lists claims after a key; only those without a final verdict unless all are wanted.
    pub(super) async fn list_claims(
        &self,
        after: &str,
        limit: Option<u32>,
        all: bool,
    ) -> Result<ClaimList, AdminFault> {
        let limit = limit.unwrap_or(DEFAULT_LIMIT).clamp(1, SCAN_LIMIT) as usize;
        let mut after = after.to_owned();
        let mut claims = Vec::new();
        let mut scanned = 0;
        while claims.len() < limit && scanned < MAX_SCANNED {
            let rows = self.read_rows(list_request(&after, SCAN_LIMIT)).await?;
            scanned += rows.len();
            let Some(last) = rows.last() else {
                break;
            };
            after.clone_from(&last.key);
            let whole = rows.len() < SCAN_LIMIT as usize;
            let wanted = rows.iter().filter_map(|row| read_claim(row, all));
            claims.extend(wanted.take(limit - claims.len()));
            if whole {
                break;
            }
        }
        Ok(ClaimList { claims })
    }

    /// Settles a claim that a dead process left.
    pub(super) async fn resolve_claim(
        &self,
        resolution: ClaimResolution,
    ) -> Result<ClaimEntry, AdminFault> {
        let key = ClaimKey {
            workspace: resolution.workspace,
            key: resolution.key,
        };
        let not_found = || AdminFault::NotFound {
            what: format!("claim {key}"),
            place: "to the table service",
        };
        let rows = self.read_rows(read_request(&key)).await?;
        let row = rows.into_iter().next().ok_or_else(not_found)?;
        let claim = ClaimRow::read(&row).ok_or_else(not_found)?;
        if self.directory.may_be_alive(&claim.host, claim.incarnation) {
            return Err(AdminFault::ClaimantAlive {
                host: claim.host.to_string(),
            });
        }
        let request = resolve_request(&row, resolution.verdict).map_err(AdminFault::Resolve)?;
        let reply = self.call_table(request).await?;
        if !is_applied(&reply) {
            return Err(AdminFault::ClaimChanged);
        }
        let detail = format!("{key} as {} by {}", resolution.verdict, resolution.operator);
        log_event(LogEvent::ClaimResolved, &EventContext::default(), &detail);
        let rows = self.read_rows(read_request(&key)).await?;
        let entry = rows.first().and_then(|row| read_claim(row, true));
        entry.ok_or_else(not_found)
    }
}

fn is_applied(reply: &StoreReply) -> bool {
    match reply {
        StoreReply::Txn { outcomes } => outcomes
            .iter()
            .all(|outcome| matches!(outcome, RowOutcome::Applied { .. })),
        StoreReply::Rows { .. } => false,
    }
}

fn read_claim(row: &StoreRow, all: bool) -> Option<ClaimEntry> {
    let key = parse_claim_key(&row.key)?;
    let claim = ClaimRow::read(row)?;
    let undecided = match claim.state {
        ClaimState::Open => true,
        ClaimState::Released => false,
        ClaimState::Settled => claim.verdict == ExecutionVerdict::MayHaveRun,
    };
    (all || undecided).then(|| ClaimEntry {
        workspace: key.workspace,
        key: key.key,
        host: claim.host,
        incarnation: claim.incarnation,
        verdict: claim.verdict,
        state: claim.state.name().to_owned(),
        claimed_at: claim.claimed_at,
    })
}
