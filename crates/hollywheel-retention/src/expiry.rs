//! Which claims may be removed.

use std::time::Duration;

use hollywheel_claims::{ClaimRow, ClaimState};
use hollywheel_store::StoreRow;
use hollywheel_types::{ExecutionVerdict, WallTime};

/// Says whether a row of the claim table may be removed: it is a claim that was released, or that
/// ran, and it was made long ago. What cannot be read stays.
pub fn is_expired(row: &StoreRow, wall: WallTime, keep: Duration) -> bool {
    let Some(claim) = ClaimRow::read(row) else {
        return false;
    };
    let decided = match claim.state {
        ClaimState::Open => false,
        ClaimState::Released => true,
        ClaimState::Settled => claim.verdict == ExecutionVerdict::Ran,
    };
    let age = Duration::from_millis(wall.0.saturating_sub(claim.claimed_at.0));
    decided && age > keep
}
