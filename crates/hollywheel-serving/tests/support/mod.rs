//! Batchers, groups and call outcomes for the tests of the batcher.

use std::time::Duration;

use hollywheel_serving::{
    BatchPolicy, CallOutcome, CallPlan, GroupRequest, GroupTicket, PiecePool, PieceResult,
    PoolBatcher, RequestRank,
};
use hollywheel_types::MonoTime;

/// The maximum number of pieces in one call.
const MAX_PIECES: usize = 14;

/// Returns the limits of a pool whose full call takes 276 ms.
fn pool() -> PiecePool {
    PiecePool {
        slots: 1,
        batch: MAX_PIECES,
        call_time: Duration::from_millis(150),
        piece_time: Duration::from_millis(9),
        room_bytes: 81_000_000,
        result_lifetime: Duration::from_secs(4),
    }
}

/// Returns a batcher with servers, each given by its name and failure domain.
pub fn batcher(servers: &[(&str, &str)]) -> PoolBatcher {
    let mut batcher = PoolBatcher::new(BatchPolicy { pool: pool() });
    batcher.set_servers(
        servers
            .iter()
            .map(|(server, domain)| (server.parse().unwrap(), domain.parse().unwrap(), Some(1))),
    );
    batcher
}

/// Returns a time in milliseconds after the start of a test.
pub fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns a group with results of 1 MB; `due` and `expires` are in milliseconds.
pub fn group(ticket: u64, pieces: usize, due: u64, expires: u64) -> GroupRequest {
    GroupRequest {
        ticket: GroupTicket(ticket),
        kind: "draft/0".to_owned(),
        pieces,
        result_bytes: 1_000_000,
        goal: at(due),
        due: at(due),
        expires: at(expires),
        rank: RequestRank::default(),
        workspace: 0,
        holding: false,
        domain: None,
        pull_bytes: 0,
    }
}

/// Returns the numbers of the groups in a call, without adjacent repeats.
pub fn tickets(plan: &CallPlan) -> Vec<u64> {
    let mut tickets: Vec<u64> = plan.pieces.iter().map(|piece| piece.ticket.0).collect();
    tickets.dedup();
    tickets
}

/// Returns the outcome of a call whose pieces were all executed, each with a unique handle.
pub fn executed(plan: &CallPlan) -> CallOutcome {
    let pieces = plan.pieces.iter();
    let results = pieces.map(|piece| {
        PieceResult::Made(format!(
            "{}/{}-{}",
            plan.server, piece.ticket.0, piece.position
        ))
    });
    CallOutcome::Answered(results.collect())
}
