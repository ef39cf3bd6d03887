//! Groups, servers and answers for the tests of the batcher.

use std::time::Duration;

use hollywheel_serving::{
    BatchPolicy, CallOutcome, CallPlan, GroupRequest, GroupTicket, PiecePool, PieceResult,
    PoolBatcher, RequestRank,
};
use hollywheel_types::MonoTime;

const BATCH: usize = 14;

fn pool() -> PiecePool {
    PiecePool {
        slots: 1,
        batch: BATCH,
        call_time: Duration::from_millis(150),
        piece_time: Duration::from_millis(9),
        room_bytes: 81_000_000,
        result_lifetime: Duration::from_secs(4),
    }
}

pub fn batcher(servers: &[(&str, &str)]) -> PoolBatcher {
    let mut batcher = PoolBatcher::new(BatchPolicy { pool: pool() });
    batcher.set_servers(
        servers
            .iter()
            .map(|(server, domain)| (server.parse().unwrap(), domain.parse().unwrap(), Some(1))),
    );
    batcher
}

pub fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

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
        holding: false,
        domain: None,
        pull_bytes: 0,
    }
}

pub fn tickets(plan: &CallPlan) -> Vec<u64> {
    let mut tickets: Vec<u64> = plan.pieces.iter().map(|piece| piece.ticket.0).collect();
    tickets.dedup();
    tickets
}

pub fn made(plan: &CallPlan) -> CallOutcome {
    let pieces = plan.pieces.iter();
    let results = pieces.map(|piece| {
        PieceResult::Made(format!(
            "{}/{}-{}",
            plan.server, piece.ticket.0, piece.position
        ))
    });
    CallOutcome::Answered(results.collect())
}
