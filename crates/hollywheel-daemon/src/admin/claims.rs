//! Listing and resolution of claims by operators.

use std::time::Duration;

use hollywheel_admin::{ClaimEntry, ClaimList, ClaimResolution};
use hollywheel_claims::{
    ClaimKey, ClaimRow, ClaimState, list_request, parse_claim_key, read_request, resolve_request,
};
use hollywheel_platform::PlatformService;
use hollywheel_store::{RowOutcome, StoreReply, StoreRequest, StoreRow};
use hollywheel_types::ExecutionVerdict;

use super::error::AdminError;
use super::state::AdminState;
use crate::events::{EventContext, LogEvent, log_event};

const STORE_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_LIMIT: u32 = 100;
/// Maximum number of rows that one call reads while it searches for unsettled claims.
const MAX_SCANNED_ROWS: usize = 10_000;
const SCAN_PAGE_ROWS: u32 = 1000;

impl AdminState {
    async fn call_table(&self, request: StoreRequest) -> Result<StoreReply, AdminError> {
        self.platform
            .table(request, STORE_TIMEOUT)
            .await
            .map_err(AdminError::Store)
    }

    async fn read_rows(&self, request: StoreRequest) -> Result<Vec<StoreRow>, AdminError> {
        match self.call_table(request).await? {
            StoreReply::Rows { rows } => Ok(rows),
            StoreReply::Txn { .. } => Err(AdminError::Unavailable),
        }
    }

    /// Lists the claims after a key: all of them, or only those without a final verdict.
    pub(super) async fn list_claims(
        &self,
        after: &str,
        limit: Option<u32>,
        all: bool,
    ) -> Result<ClaimList, AdminError> {
        let limit = limit.unwrap_or(DEFAULT_LIMIT).clamp(1, SCAN_PAGE_ROWS) as usize;
        let mut after = after.to_owned();
        let mut claims = Vec::new();
        let mut scanned = 0;
        while claims.len() < limit && scanned < MAX_SCANNED_ROWS {
            let rows = self.read_rows(list_request(&after, SCAN_PAGE_ROWS)).await?;
            scanned += rows.len();
            let Some(last) = rows.last() else {
                break;
            };
            after.clone_from(&last.key);
            let is_last_page = rows.len() < SCAN_PAGE_ROWS as usize;
            let selected = rows.iter().filter_map(|row| read_claim(row, all));
            claims.extend(selected.take(limit - claims.len()));
            if is_last_page {
                break;
            }
        }
        Ok(ClaimList { claims })
    }

    /// Settles the claim of a process that is dead or unknown.
    pub(super) async fn resolve_claim(
        &self,
        resolution: ClaimResolution,
    ) -> Result<ClaimEntry, AdminError> {
        let key = ClaimKey {
            workspace: resolution.workspace,
            key: resolution.key,
        };
        let not_found = || AdminError::NotFound {
            what: format!("claim {key}"),
            place: "to the table service",
        };
        let rows = self.read_rows(read_request(&key)).await?;
        let row = rows.into_iter().next().ok_or_else(not_found)?;
        let claim = ClaimRow::read(&row).ok_or_else(not_found)?;
        if self.directory.may_be_alive(&claim.host, claim.incarnation) {
            return Err(AdminError::ClaimantAlive {
                host: claim.host.to_string(),
            });
        }
        let request = resolve_request(&row, resolution.verdict).map_err(AdminError::Resolve)?;
        let reply = self.call_table(request).await?;
        if !is_applied(&reply) {
            return Err(AdminError::ClaimChanged);
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
    let is_unsettled = match claim.state {
        ClaimState::Open => true,
        ClaimState::Released => false,
        ClaimState::Settled => claim.verdict == ExecutionVerdict::MayHaveRun,
    };
    (all || is_unsettled).then(|| ClaimEntry {
        workspace: key.workspace,
        key: key.key,
        host: claim.host,
        incarnation: claim.incarnation,
        verdict: claim.verdict,
        state: claim.state.name().to_owned(),
        claimed_at: claim.claimed_at,
    })
}
