//! The rule that decides which claims may be removed.

use std::time::Duration;

use hollywheel_claims::{ClaimRow, ClaimState};
use hollywheel_store::StoreRow;
use hollywheel_types::{ExecutionVerdict, WallTime};

/// Returns whether a row of the claim table may be removed: the claim was released or its request
/// ran, and it is older than `retention`. Rows that cannot be decoded are kept.
pub fn is_expired(row: &StoreRow, wall: WallTime, retention: Duration) -> bool {
    let Some(claim) = ClaimRow::read(row) else {
        return false;
    };
    let final_state = match claim.state {
        ClaimState::Open => false,
        ClaimState::Released => true,
        ClaimState::Settled => claim.verdict == ExecutionVerdict::Ran,
    };
    let age = Duration::from_millis(wall.0.saturating_sub(claim.claimed_at.0));
    final_state && age > retention
}
