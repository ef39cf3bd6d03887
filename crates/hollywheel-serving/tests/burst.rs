//! Replays bursts beyond what a pool carries, and clumps of pieces.

mod support;

use std::time::Duration;

use hollywheel_serving::{
    CallPlan, CallerAttempt, GroupRequest, GroupVerdict, PieceResult, PoolBatcher, RequestRank,
};
use support::{at, batcher, group, made, tickets};

fn ranked(ticket: u64, pieces: usize, due: u64, pipeline: u8) -> GroupRequest {
    GroupRequest {
        rank: RequestRank::new(None, pipeline),
        ..group(ticket, pieces, due, due + 8000)
    }
}

/// Runs one server until its queue is empty; returns the end of each group.
fn run_server(batcher: &mut PoolBatcher, start: u64) -> Vec<(u64, u64)> {
    let mut ends = Vec::new();
    let mut now = start;
    while batcher.waiting() > 0 {
        let Some(plan) = batcher.next_call(at(now)) else {
            now += 5;
            continue;
        };
        now += 150 + 9 * u64::try_from(plan.pieces.len()).unwrap();
        for delivery in batcher.finish_call(at(now), plan.call, made(&plan)) {
            ends.push((delivery.piece.ticket.0, now));
            if let PieceResult::Made(handle) = delivery.result {
                let _ = batcher.release(at(now), &[handle]);
            }
        }
        for (server, handles) in batcher.take_unneeded(at(now + 200)) {
            batcher.confirm_freed(&server, &handles);
        }
    }
    ends
}

/// A burst of half again what one server carries until the objectives: by their points alone
/// every group of the second half would be late.
#[test]
fn in_a_burst_the_least_urgent_give_way() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 0..12 {
        let urgent = ticket % 2 == 0;
        let rank = if urgent { 0 } else { 2 };
        batcher.offer(at(0), ranked(ticket, 7, 900 + ticket, rank));
    }
    let ends = run_server(&mut batcher, 0);
    let in_time = |ticket: u64| {
        let last = ends.iter().filter(|(known, _)| *known == ticket).max();
        last.is_some_and(|(_, end)| *end <= 900 + ticket)
    };
    let urgent: Vec<u64> = (0..12).filter(|ticket| ticket % 2 == 0).collect();
    assert!(urgent.iter().all(|ticket| in_time(*ticket)), "{ends:?}");
    assert_eq!(ends.len(), 12 * 7, "what gave way is made later");
}

/// Refused callers come back into the burst, with new ones and with requests that were late at
/// their first attempt.
#[test]
fn returned_callers_go_after_those_in_time_and_before_other_late_work() {
    let mut batcher = batcher(&[("s1", "a")]);
    let returned = GroupRequest {
        rank: RequestRank {
            attempt: CallerAttempt::Retry,
            ..RequestRank::new(None, 2)
        },
        ..group(1, 14, 1000, 9000)
    };
    batcher.offer(at(1001), group(2, 14, 900, 9000));
    batcher.offer(at(1001), returned);
    batcher.offer(at(1001), group(3, 14, 5000, 9000));
    let mut order: Vec<u64> = run_server(&mut batcher, 1001)
        .iter()
        .map(|(ticket, _)| *ticket)
        .collect();
    order.dedup();
    assert_eq!(order, [3, 1, 2]);
}

/// A caller that has come back does not ask a third time.
#[test]
fn a_returned_caller_is_refused_only_where_it_is_hopeless() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 0..6 {
        batcher.offer(at(1001), group(ticket, 14, 900, 60_000));
    }
    let first = group(10, 14, 900, 60_000);
    let returned = |expires| GroupRequest {
        rank: RequestRank {
            attempt: CallerAttempt::Retry,
            ..RequestRank::default()
        },
        ..group(11, 14, 900, expires)
    };
    let refused = |verdict| matches!(verdict, GroupVerdict::Refused { .. });
    assert!(refused(batcher.offer(at(1001), first)));
    assert!(!refused(batcher.offer(at(1001), returned(60_000))));
    assert!(refused(batcher.offer(at(1001), returned(1250))));
}

/// All requests have two more stages before them; who waits here until its latest finish is late
/// at one of those.
#[test]
fn groups_that_keep_their_goals_go_before_those_that_only_keep_their_objective() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 0..6 {
        let group = GroupRequest {
            goal: at(600 + ticket),
            ..group(ticket, 14, 1500 + ticket, 9000)
        };
        batcher.offer(at(0), group);
    }
    let ends = run_server(&mut batcher, 0);
    let last = |ticket| ends.iter().filter(|end| end.0 == ticket).max().unwrap().1;
    let kept = (0..6).filter(|ticket| last(*ticket) <= 600 + ticket);
    assert_eq!(kept.count(), 2, "{ends:?}");
    let in_time = (0..6).filter(|ticket| last(*ticket) <= 1500 + ticket);
    assert_eq!(in_time.count(), 5, "the others are not given up: {ends:?}");
}

/// A burst of some seconds fills every call with timely work; late work that would wait for it
/// until its caller leaves is refused at once.
#[test]
fn late_work_is_refused_while_timely_work_fills_the_calls() {
    let mut batcher = batcher(&[("s1", "a")]);
    let late = |ticket, expires| GroupRequest {
        holding: true,
        ..group(ticket, 14, 900, expires)
    };
    let refused = |verdict| matches!(verdict, GroupVerdict::Refused { .. });
    for ticket in 0..3 {
        assert!(!refused(batcher.offer(at(1000), late(ticket, 6000))));
    }
    let mut dropped = 0;
    let mut now = 1000;
    for ticket in 10..21 {
        batcher.offer(at(now), group(ticket, 14, now + 400, now + 6000));
        let plan = batcher.next_call(at(now)).unwrap();
        assert_eq!(tickets(&plan), [ticket], "timely work goes first");
        now += 276;
        for delivery in batcher.finish_call(at(now), plan.call, made(&plan)) {
            if let PieceResult::Made(handle) = delivery.result {
                let _ = batcher.release(at(now), &[handle]);
            }
        }
        for (server, handles) in batcher.take_unneeded(at(now + 200)) {
            batcher.confirm_freed(&server, &handles);
        }
        dropped += batcher.drop_expired(at(now)).len();
    }
    assert_eq!(dropped, 14, "the last of three is hopeless");
    assert!(refused(batcher.offer(at(now), late(30, now + 1500))));
}

/// The rank of the workspace goes before that of the pipeline.
#[test]
fn a_workspace_that_ranks_first_goes_first() {
    let mut ranks = [
        RequestRank::new(Some(1), 0),
        RequestRank::new(Some(0), 2),
        RequestRank::new(None, 1),
        RequestRank::new(Some(1), 2),
    ];
    ranks.sort();
    let workspaces = ranks.map(|rank| (rank.workspace, rank.pipeline));
    assert_eq!(workspaces, [(0, 2), (1, 0), (1, 1), (1, 2)]);
}

/// Results of three megabytes keep the room of a server longer than they take to be made.
#[test]
fn where_room_is_short_more_gives_way_than_calls_alone_would_ask() {
    let yielded = |result_bytes| {
        let mut batcher = batcher(&[("s1", "a")]);
        for ticket in 0..6 {
            let large = GroupRequest {
                result_bytes,
                ..ranked(ticket, 7, 1000, u8::try_from(ticket % 2).unwrap())
            };
            batcher.offer(at(0), large);
        }
        let first = batcher.next_call(at(0)).unwrap();
        tickets(&first)
    };
    assert_eq!(yielded(1000), [0, 1], "six groups are made in 830 ms");
    assert_eq!(yielded(9_000_000), [0], "nine results fill the room");
}

/// Results that are held for half a second let a server make less than its calls could.
#[test]
fn what_is_told_of_a_wait_counts_the_room() {
    let wait = |result_bytes| {
        let mut batcher = batcher(&[("s1", "a")]);
        for ticket in 0..4 {
            let group = GroupRequest {
                result_bytes,
                ..group(ticket, 14, 20_000, 30_000)
            };
            batcher.offer(at(0), group);
        }
        batcher.forecast(at(0))
    };
    let is_near = |wait: Duration, millis| {
        wait.abs_diff(Duration::from_millis(millis)) < Duration::from_millis(1)
    };
    assert!(is_near(wait(1000), 4 * (150 + 14 * 9)), "{:?}", wait(1000));
    // Nine results fit, and each is held for 450 ms until more is known.
    let wait = wait(9_000_000);
    assert!(is_near(wait, 56 * 450 / 9), "{wait:?}");
}

/// A request waits for the last of its pieces.
#[test]
fn a_group_that_does_not_fit_waits_for_a_call_that_holds_it() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 9, 5000, 8000));
    batcher.offer(at(0), group(2, 8, 5001, 8000));
    batcher.offer(at(0), group(3, 5, 5002, 8000));
    let first = batcher.next_call(at(0)).unwrap();
    assert_eq!(tickets(&first), [1, 3]);
    batcher.finish_call(at(300), first.call, made(&first));
    let second = batcher.next_call(at(300)).unwrap();
    assert_eq!((tickets(&second), second.pieces.len()), (vec![2], 8));
}

/// More pieces than any call holds, as a bound of 14 and a request of 20 have it.
#[test]
fn a_group_that_no_call_holds_is_made_in_parts() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 9, 5000, 8000));
    batcher.offer(at(0), group(2, 20, 5001, 8000));
    let first = batcher.next_call(at(0)).unwrap();
    assert_eq!((tickets(&first), first.pieces.len()), (vec![1, 2], 14));
}

/// The call of the stage before delivers a clump of pieces; single calls at once would occupy
/// every server for what comes next.
#[test]
fn small_calls_begin_evenly_spaced_when_servers_are_busy() {
    let mut batcher = batcher(&[("s1", "a"), ("s2", "a"), ("s3", "a"), ("s4", "a")]);
    let mut starts = Vec::new();
    for tick in 0..100 {
        if tick < 4 {
            batcher.offer(at(tick), group(tick, 1, 5000, 8000));
        }
        while batcher.next_call(at(tick)).is_some() {
            starts.push(tick);
        }
    }
    assert_eq!(starts.len(), 2, "the later three share a call: {starts:?}");
    assert!(starts[1] >= 9, "{starts:?}");
    batcher.offer(at(100), group(10, 7, 5000, 8000));
    assert!(batcher.next_call(at(100)).is_some(), "half of a call waits");
    batcher.offer(at(101), group(11, 1, 262, 8000));
    assert!(
        batcher.next_call(at(101)).is_some(),
        "it would be late after the pause"
    );
}

/// After a burst, what has lost its objective waits behind new requests and must not make the
/// plan of their whole path look hopeless.
#[test]
fn the_forecast_for_new_requests_leaves_out_what_goes_behind_them() {
    let mut batcher = batcher(&[("s1", "a")]);
    let _running = batcher.offer(at(1000), group(1, 1, 5000, 9000));
    let _call = batcher.next_call(at(1000)).unwrap();
    let idle = batcher.forecast(at(1001));
    for ticket in 2..=4 {
        batcher.offer(at(1001), group(ticket, 14, 900, 60_000));
    }
    assert_eq!(batcher.forecast(at(1001)), idle);
    for ticket in 5..=7 {
        batcher.offer(at(1001), group(ticket, 14, 8000, 60_000));
    }
    let loaded = batcher.forecast(at(1001));
    assert!(
        loaded >= idle + Duration::from_millis(700),
        "three full calls: {loaded:?}"
    );
}

/// The last server of a pool is lost while work waits for it.
#[test]
fn work_waits_for_a_pool_that_has_lost_its_servers() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 1..=3 {
        batcher.offer(at(0), group(ticket, 14, 2000, 4000));
    }
    batcher.set_servers([]);
    assert!(batcher.drop_expired(at(100)).is_empty());
    assert_eq!(batcher.next_call(at(100)), None);
    let expired = batcher.drop_expired(at(4000));
    assert_eq!(expired.len(), 42, "each piece is told that it is late");
}

/// Plays a burst of results of megabytes at two servers; each is held until so long after its
/// call. Returns the groups that were made in time.
fn made_in_time(hold_ms: u64) -> usize {
    let mut batcher = batcher(&[("s1", "a"), ("s2", "a")]);
    let mut running: Vec<(u64, CallPlan)> = Vec::new();
    let mut held: Vec<(u64, String)> = Vec::new();
    let mut in_time = 0;
    for now in (0..6000).step_by(5) {
        if now % 25 == 0 {
            let large = GroupRequest {
                result_bytes: 9_000_000,
                ..group(now, 1, now + 900, now + 4000)
            };
            batcher.offer(at(now), large);
        }
        for (_, plan) in running.extract_if(.., |(end, _)| *end <= now) {
            for delivery in batcher.finish_call(at(now), plan.call, made(&plan)) {
                in_time += usize::from(now <= delivery.piece.ticket.0 + 900);
                if let PieceResult::Made(handle) = delivery.result {
                    held.push((now + hold_ms, handle));
                }
            }
        }
        for (_, handle) in held.extract_if(.., |(until, _)| *until <= now) {
            let _ = batcher.release(at(now), &[handle]);
        }
        for (server, handles) in batcher.take_unneeded(at(now)) {
            batcher.confirm_freed(&server, &handles);
        }
        batcher.drop_expired(at(now));
        while let Some(plan) = batcher.next_call(at(now)) {
            let pieces = u64::try_from(plan.pieces.len()).unwrap();
            running.push((now + 150 + 9 * pieces, plan));
        }
    }
    in_time
}

/// Forty requests a second bring results of 9 MB; an engine that has other prompts to read gives
/// its first event 0.7 s later. Held until then, the results fill their servers.
#[test]
fn room_that_is_given_back_early_carries_a_burst() {
    let (early, late) = (made_in_time(100), made_in_time(700));
    assert!(early > 220, "nearly all of 240: {early}");
    assert!(4 * late < 3 * early, "{late} of {early}");
}
