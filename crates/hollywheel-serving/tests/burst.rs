//! Tests of the batcher during bursts above the capacity of a pool, in virtual time.

mod support;

use std::time::Duration;

use hollywheel_serving::{
    CallPlan, CallerAttempt, GroupRequest, GroupVerdict, PieceResult, PoolBatcher, RequestRank,
};
use support::{at, batcher, executed, group, tickets};

/// Returns a group of a pipeline with a priority; it expires 8 s after `due`.
fn group_with_priority(ticket: u64, pieces: usize, due: u64, pipeline: u8) -> GroupRequest {
    GroupRequest {
        rank: RequestRank::new(None, pipeline),
        ..group(ticket, pieces, due, due + 8000)
    }
}

/// Runs one server until the queue is empty; returns the ticket and finish time of each piece.
fn run_server(batcher: &mut PoolBatcher, start: u64) -> Vec<(u64, u64)> {
    let mut ends = Vec::new();
    let mut now = start;
    while batcher.waiting() > 0 {
        let Some(plan) = batcher.next_call(at(now)) else {
            now += 5;
            continue;
        };
        now += 150 + 9 * u64::try_from(plan.pieces.len()).unwrap();
        for delivery in batcher.finish_call(at(now), plan.call, executed(&plan)) {
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

/// A burst brings one and a half times the work that one server can do before the objectives. In
/// earliest-deadline-first order every group of the second half would be late.
#[test]
fn in_a_burst_the_lowest_ranked_groups_are_deferred() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 0..12 {
        let urgent = ticket % 2 == 0;
        let rank = if urgent { 0 } else { 2 };
        batcher.offer(at(0), group_with_priority(ticket, 7, 900 + ticket, rank));
    }
    let ends = run_server(&mut batcher, 0);
    let in_time = |ticket: u64| {
        let last = ends.iter().filter(|(known, _)| *known == ticket).max();
        last.is_some_and(|(_, end)| *end <= 900 + ticket)
    };
    let urgent: Vec<u64> = (0..12).filter(|ticket| ticket % 2 == 0).collect();
    assert!(urgent.iter().all(|ticket| in_time(*ticket)), "{ends:?}");
    assert_eq!(ends.len(), 12 * 7, "deferred pieces are executed later");
}

/// Refused callers retry during the burst, together with new requests and with requests that missed
/// their objective on the first attempt.
#[test]
fn retries_are_served_after_timely_work_and_before_other_late_work() {
    let mut batcher = batcher(&[("s1", "a")]);
    let retry = GroupRequest {
        rank: RequestRank {
            attempt: CallerAttempt::Retry,
            ..RequestRank::default()
        },
        ..group(1, 14, 1000, 9000)
    };
    batcher.offer(at(1001), group(2, 14, 900, 9000));
    batcher.offer(at(1001), retry);
    batcher.offer(at(1001), group(3, 14, 5000, 9000));
    let mut order: Vec<u64> = run_server(&mut batcher, 1001)
        .iter()
        .map(|(ticket, _)| *ticket)
        .collect();
    order.dedup();
    assert_eq!(order, [3, 1, 2]);
}

/// Guards against late work of a less urgent kind that goes first because its caller was refused before
/// or because its request holds results.
#[test]
fn late_work_of_the_most_urgent_priority_is_served_first() {
    let mut batcher = batcher(&[("s1", "a")]);
    let late = |ticket, pipeline, attempt, holding| GroupRequest {
        rank: RequestRank {
            attempt,
            ..RequestRank::new(None, pipeline)
        },
        holding,
        ..group(ticket, 14, 1000, 9000)
    };
    batcher.offer(at(1001), late(1, 1, CallerAttempt::Retry, false));
    batcher.offer(at(1001), late(2, 1, CallerAttempt::First, true));
    batcher.offer(at(1001), late(3, 0, CallerAttempt::First, false));
    batcher.offer(at(1001), late(4, 0, CallerAttempt::First, true));
    let mut order: Vec<u64> = run_server(&mut batcher, 1001)
        .iter()
        .map(|(ticket, _)| *ticket)
        .collect();
    order.dedup();
    assert_eq!(order, [4, 3, 2, 1]);
}

/// A request with later stages has missed its goal by the time at which a server is free, but not yet
/// its objective; less urgent work with one stage waits beside it. Guards against deferring the urgent
/// request behind all of that, where it becomes late.
#[test]
fn urgent_work_behind_its_goal_does_not_give_way_to_less_urgent_work() {
    let first_call = |priority| {
        let mut batcher = batcher(&[("s1", "a")]);
        for ticket in 1..=3 {
            batcher.offer(at(0), group_with_priority(ticket, 14, 1200 + ticket, 1));
        }
        let chained = GroupRequest {
            goal: at(150),
            ..group_with_priority(4, 2, 500, priority)
        };
        batcher.offer(at(0), chained);
        tickets(&batcher.next_call(at(0)).unwrap())[0]
    };
    assert_eq!(first_call(0), 4);
    assert_eq!(first_call(1), 1, "equally urgent work keeps its goals");
}

/// A caller that is refused on its retry does not send the request a third time; the same holds for a
/// first attempt whose caller waits for longer than the backlog lasts.
#[test]
fn late_work_is_refused_only_if_it_would_expire() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 0..6 {
        batcher.offer(at(1001), group(ticket, 14, 900, 60_000));
    }
    let late = |attempt, expires| GroupRequest {
        rank: RequestRank {
            attempt,
            ..RequestRank::default()
        },
        ..group(11, 14, 900, expires)
    };
    let refused = |verdict| matches!(verdict, GroupVerdict::Refused { .. });
    assert!(refused(
        batcher.offer(at(1001), late(CallerAttempt::First, 2500))
    ));
    assert!(!refused(
        batcher.offer(at(1001), late(CallerAttempt::First, 60_000))
    ));
    assert!(!refused(
        batcher.offer(at(1001), late(CallerAttempt::Retry, 60_000))
    ));
    assert!(refused(
        batcher.offer(at(1001), late(CallerAttempt::Retry, 1250))
    ));
}

/// A burst of 4 s brings 1.6 times what the pool executes; callers wait for 6 s, and the pool is idle
/// soon after. Guards against rejections of requests that would have been served before their deadlines
/// (648 of 7,137 in one such burst), against late work that delays timely work, and against estimates that
/// leave out the other pieces of a call, by which only 75 groups were in time, the others just late.
#[test]
fn a_burst_that_ends_before_the_deadlines_leaves_no_request_without_results() {
    let mut batcher = batcher(&[("s1", "a"), ("s2", "a"), ("s3", "b")]);
    let mut running: Vec<(u64, CallPlan)> = Vec::new();
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let (mut offered, mut refused, mut dropped) = (0, 0, 0);
    for now in (0..10_000).step_by(5) {
        // 240 pieces per second; three servers execute about 140 in calls of 12 pieces.
        let arrivals = if now < 4000 && now % 25 == 0 { 2 } else { 0 };
        for arrival in 0..arrivals {
            offered += 1;
            let verdict =
                batcher.offer(at(now), group(2 * now + arrival, 3, now + 800, now + 6000));
            refused += usize::from(matches!(verdict, GroupVerdict::Refused { .. }));
        }
        for (_, plan) in running.extract_if(.., |(end, _)| *end <= now) {
            for delivery in batcher.finish_call(at(now), plan.call, executed(&plan)) {
                ends.push((delivery.piece.ticket.0, now));
                if let PieceResult::Made(handle) = delivery.result {
                    let _ = batcher.release(at(now), &[handle]);
                }
            }
        }
        for (server, handles) in batcher.take_unneeded(at(now)) {
            batcher.confirm_freed(&server, &handles);
        }
        dropped += batcher.drop_expired(at(now)).len();
        while let Some(plan) = batcher.next_call(at(now)) {
            let pieces = u64::try_from(plan.pieces.len()).unwrap();
            running.push((now + 150 + 9 * pieces, plan));
        }
    }
    let in_time = ends.iter().filter(|(ticket, end)| *end <= ticket / 2 + 800);
    let in_time = in_time.count() / 3;
    assert_eq!((refused, dropped), (0, 0), "{in_time} in time");
    assert_eq!(ends.len(), 3 * offered);
    assert!(in_time >= 190, "{in_time} of {offered} in time");
    let latest = ends.iter().map(|(ticket, end)| end - ticket / 2).max();
    assert!(latest.is_some_and(|latest| latest <= 6000), "{latest:?}");
}

/// All requests have two later stages. A group that is served only by its latest finish time would
/// be late in one of those.
#[test]
fn groups_that_can_meet_their_goals_are_served_first() {
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
    let goals_met = (0..6).filter(|ticket| last(*ticket) <= 600 + ticket);
    assert_eq!(goals_met.count(), 2, "{ends:?}");
    let in_time = (0..6).filter(|ticket| last(*ticket) <= 1500 + ticket);
    assert_eq!(
        in_time.count(),
        5,
        "some others meet their objective: {ends:?}"
    );
}

/// A burst of some seconds fills every call with timely work. Late work that would expire behind it
/// is refused at once.
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
        assert_eq!(tickets(&plan), [ticket], "timely work is served first");
        now += 276;
        for delivery in batcher.finish_call(at(now), plan.call, executed(&plan)) {
            if let PieceResult::Made(handle) = delivery.result {
                let _ = batcher.release(at(now), &[handle]);
            }
        }
        for (server, handles) in batcher.take_unneeded(at(now + 200)) {
            batcher.confirm_freed(&server, &handles);
        }
        dropped += batcher.drop_expired(at(now)).len();
    }
    assert_eq!(
        dropped, 14,
        "the last of the three late groups would expire"
    );
    assert!(refused(batcher.offer(at(now), late(30, now + 1500))));
}

/// The priority of the workspace takes precedence over that of the pipeline.
#[test]
fn workspace_priority_precedes_pipeline_priority() {
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

/// Large results occupy the memory of a server for longer than their calls occupy the server.
#[test]
fn scarce_result_memory_defers_more_groups() {
    let first_call_tickets = |result_bytes| {
        let mut batcher = batcher(&[("s1", "a")]);
        for ticket in 0..6 {
            let large = GroupRequest {
                result_bytes,
                ..group_with_priority(ticket, 7, 1000, u8::try_from(ticket % 2).unwrap())
            };
            batcher.offer(at(0), large);
        }
        let first = batcher.next_call(at(0)).unwrap();
        tickets(&first)
    };
    assert_eq!(
        first_call_tickets(1000),
        [0, 1],
        "six groups are executed in 830 ms"
    );
    assert_eq!(
        first_call_tickets(9_000_000),
        [0],
        "nine results fill the memory"
    );
}

/// Results that are stored for half a second limit a server to less than its calls could execute.
#[test]
fn the_forecast_accounts_for_result_memory() {
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
    // Nine results fit, and the initial estimate is that each is needed for 450 ms.
    let wait = wait(9_000_000);
    assert!(is_near(wait, 56 * 450 / 9), "{wait:?}");
}

/// A request waits for the last of its pieces, so splitting a group gains nothing.
#[test]
fn a_group_that_does_not_fit_waits_for_the_next_call() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 9, 5000, 8000));
    batcher.offer(at(0), group(2, 8, 5001, 8000));
    batcher.offer(at(0), group(3, 5, 5002, 8000));
    let first = batcher.next_call(at(0)).unwrap();
    assert_eq!(tickets(&first), [1, 3]);
    batcher.finish_call(at(300), first.call, executed(&first));
    let second = batcher.next_call(at(300)).unwrap();
    assert_eq!((tickets(&second), second.pieces.len()), (vec![2], 8));
}

/// The group has 20 pieces and a call holds at most 14.
#[test]
fn a_group_larger_than_any_call_is_split() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 9, 5000, 8000));
    batcher.offer(at(0), group(2, 20, 5001, 8000));
    let first = batcher.next_call(at(0)).unwrap();
    assert_eq!((tickets(&first), first.pieces.len()), (vec![1, 2], 14));
}

/// A call of the preceding stage delivers several pieces almost at once. If each started a call of
/// its own, every server would be busy when the next pieces arrive.
#[test]
fn small_calls_start_evenly_spaced_when_servers_are_busy() {
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
    assert_eq!(starts.len(), 2, "the last three share a call: {starts:?}");
    assert!(starts[1] >= 9, "{starts:?}");
    batcher.offer(at(100), group(10, 7, 5000, 8000));
    assert!(
        batcher.next_call(at(100)).is_some(),
        "half of a full call is queued"
    );
    batcher.offer(at(101), group(11, 1, 262, 8000));
    assert!(
        batcher.next_call(at(101)).is_some(),
        "a delay would make the group late"
    );
}

/// After a burst, late work is served after new requests. It must not increase their forecast, or
/// they would be refused although they can meet their objectives.
#[test]
fn the_forecast_for_new_requests_excludes_late_work() {
    let mut batcher = batcher(&[("s1", "a")]);
    let _verdict = batcher.offer(at(1000), group(1, 1, 5000, 9000));
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
        "the forecast must include three full calls: {loaded:?}"
    );
}

/// The last server of a pool fails while work is queued.
#[test]
fn work_stays_queued_while_a_pool_has_no_servers() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 1..=3 {
        batcher.offer(at(0), group(ticket, 14, 2000, 4000));
    }
    batcher.set_servers([]);
    assert!(batcher.drop_expired(at(100)).is_empty());
    assert_eq!(batcher.next_call(at(100)), None);
    let expired = batcher.drop_expired(at(4000));
    assert_eq!(expired.len(), 42, "every piece is reported as late");
}

/// Runs a burst of groups with large results on two servers, where each result is needed for
/// `hold_ms` after its call. Returns the number of groups that met their objective.
fn timely_groups(hold_ms: u64) -> usize {
    let mut batcher = batcher(&[("s1", "a"), ("s2", "a")]);
    let mut running: Vec<(u64, CallPlan)> = Vec::new();
    let mut stored: Vec<(u64, String)> = Vec::new();
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
            for delivery in batcher.finish_call(at(now), plan.call, executed(&plan)) {
                in_time += usize::from(now <= delivery.piece.ticket.0 + 900);
                if let PieceResult::Made(handle) = delivery.result {
                    stored.push((now + hold_ms, handle));
                }
            }
        }
        for (_, handle) in stored.extract_if(.., |(until, _)| *until <= now) {
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

/// Forty requests per second produce results of 9 MB each. A busy model engine returns its first
/// event 0.7 s later; results that are goals_met until then fill the memory of their servers.
#[test]
fn early_release_of_results_sustains_a_burst() {
    let (early, late) = (timely_groups(100), timely_groups(700));
    assert!(early > 220, "only {early} of 240 groups were timely");
    assert!(
        4 * late < 3 * early,
        "{late} groups were timely with late release, {early} with early release"
    );
}
