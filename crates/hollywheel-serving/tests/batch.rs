//! Tests of the batcher in virtual time: order of service, admission, result memory and retries.

mod support;

use std::time::Duration;

use hollywheel_serving::{
    CallOutcome, CallPlan, GroupRequest, GroupTicket, GroupVerdict, PieceDelivery, PieceResult,
};
use hollywheel_types::{DomainId, MonoTime, RequestRate, ServerId};
use support::{at, batcher, executed, group, tickets};

/// Returns the failure domain with a name, as the preference of a group.
fn domain(name: &str) -> Option<DomainId> {
    Some(name.parse().unwrap())
}

#[test]
fn pieces_of_many_requests_share_a_call() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 2, 5000, 8000));
    let first = batcher.next_call(at(0)).unwrap();
    assert_eq!(tickets(&first), [1]);
    for ticket in 2..=6 {
        batcher.offer(at(10), group(ticket, 2, 5000 + ticket, 8000));
    }
    assert_eq!(
        batcher.next_call(at(10)),
        None,
        "a server runs one call at a time"
    );
    batcher.finish_call(at(170), first.call, executed(&first));
    let second = batcher.next_call(at(170)).unwrap();
    assert_eq!(tickets(&second), [2, 3, 4, 5, 6]);
}

/// Fifty requests per second arrive at two servers, which could serve thirteen per second with one
/// request per call.
#[test]
fn batching_sustains_more_load_than_calls_with_one_request() {
    let mut batcher = batcher(&[("s1", "a"), ("s2", "a")]);
    let mut running: Vec<(MonoTime, CallPlan)> = Vec::new();
    let mut delivered = 0;
    let mut latest = Duration::ZERO;
    for tick in 0..4000 {
        let now = at(tick);
        if tick % 20 == 0 {
            batcher.offer(now, group(tick + 1, 1, tick + 800, tick + 8000));
        }
        let ended: Vec<(MonoTime, CallPlan)> =
            running.extract_if(.., |(end, _)| *end <= now).collect();
        for (_, plan) in ended {
            for delivery in batcher.finish_call(now, plan.call, executed(&plan)) {
                delivered += 1;
                let arrived = at(delivery.piece.ticket.0 - 1);
                latest = latest.max(now.since(arrived));
                if let PieceResult::Made(handle) = delivery.result {
                    assert!(batcher.release(now, &[handle]).is_empty());
                }
            }
            for (server, handles) in batcher.take_unneeded(now) {
                batcher.confirm_freed(&server, &handles);
            }
        }
        while let Some(plan) = batcher.next_call(now) {
            let pieces = u64::try_from(plan.pieces.len()).unwrap();
            running.push((at(tick + 150 + 9 * pieces), plan));
        }
    }
    assert!(delivered > 180, "{delivered} of 200 results were delivered");
    assert!(
        latest < Duration::from_millis(600),
        "the slowest group took {latest:?}"
    );
}

#[test]
fn timely_work_is_served_before_late_work() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(1000), group(1, 1, 900, 9000));
    batcher.offer(at(1000), group(2, 1, 3000, 9000));
    batcher.offer(at(1000), group(3, 1, 2000, 9000));
    let plan = batcher.next_call(at(1000)).unwrap();
    assert_eq!(tickets(&plan), [3, 2, 1]);
}

/// After a burst, late work is still queued. It must not lengthen calls with timely work much.
#[test]
fn late_work_is_added_only_while_the_call_stays_short() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(1000), group(1, 13, 900, 9000));
    batcher.offer(at(1000), group(2, 1, 3000, 9000));
    let plan = batcher.next_call(at(1000)).unwrap();
    assert_eq!(plan.pieces[0].ticket, GroupTicket(2));
    assert_eq!(plan.pieces.len(), 8, "at most 75 ms with 9 ms per piece");
}

#[test]
fn late_work_that_holds_results_is_served_before_other_late_work() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(1000), group(1, 1, 900, 9000));
    let holding = GroupRequest {
        holding: true,
        ..group(2, 1, 950, 9000)
    };
    batcher.offer(at(1001), holding);
    let plan = batcher.next_call(at(1001)).unwrap();
    assert_eq!(tickets(&plan), [2, 1]);
}

#[test]
fn a_group_that_would_expire_in_the_queue_is_refused_at_once() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 1..=40 {
        batcher.offer(at(0), group(ticket, 14, 400, 20_000));
    }
    let verdict = batcher.offer(at(0), group(99, 14, 400, 2000));
    let GroupVerdict::Refused { retry_after } = verdict else {
        panic!("{verdict:?}");
    };
    assert!(
        retry_after >= Duration::from_millis(40 * 276),
        "the pool needs this time for what waits: {retry_after:?}"
    );
    assert!(
        retry_after < Duration::from_millis(40 * 276 * 5 / 4),
        "{retry_after:?}"
    );
}

/// Guards against a fixed bound of the backlog: 1 s of late work was admitted although callers wait
/// for longer, and against late work that is admitted but expires.
#[test]
fn the_backlog_of_late_work_is_bounded_by_deadlines() {
    let mut batcher = batcher(&[("s1", "a")]);
    let admitted = (1..=40).filter(|ticket| {
        let verdict = batcher.offer(at(1000), group(*ticket, 14, 900, 7000));
        matches!(verdict, GroupVerdict::Queued { .. })
    });
    let admitted = admitted.count();
    assert_eq!(admitted, 21, "21 full calls of 276 ms end within 6 s");
    let mut now = 1000;
    let mut executed_pieces = 0;
    while batcher.waiting() > 0 {
        assert!(batcher.drop_expired(at(now)).is_empty(), "at {now} ms");
        let plan = batcher.next_call(at(now)).unwrap();
        now += 276;
        for delivery in batcher.finish_call(at(now), plan.call, executed(&plan)) {
            executed_pieces += 1;
            if let PieceResult::Made(handle) = delivery.result {
                let _ = batcher.release(at(now), &[handle]);
            }
        }
        for (server, handles) in batcher.take_unneeded(at(now + 200)) {
            batcher.confirm_freed(&server, &handles);
        }
    }
    assert_eq!(executed_pieces, 21 * 14);
    assert!(now <= 7000, "the last group ended at {now} ms");
}

/// Guards against a fixed retry delay of 2.5 s, after which the pool had been idle for seconds and
/// callers had given up, and against callers that all return in the same call.
#[test]
fn refused_callers_return_when_the_pool_has_executed_what_waits() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 1..=2 {
        batcher.offer(at(1000), group(ticket, 14, 900, 9000));
    }
    let delays = (3..=12).map(|ticket| {
        let verdict = batcher.offer(at(1000), group(ticket, 14, 900, 1500));
        match verdict {
            GroupVerdict::Refused { retry_after } => retry_after,
            GroupVerdict::Queued { .. } => panic!("{verdict:?}"),
        }
    });
    let mut delays: Vec<Duration> = delays.collect();
    delays.sort_unstable();
    let idle = Duration::from_millis(2 * 276);
    assert!(delays[0] >= idle && delays[9] < idle * 5 / 4, "{delays:?}");
    assert!(
        delays[9] - delays[0] > idle / 6,
        "ten callers are spread over a quarter of the delay: {delays:?}"
    );
}

#[test]
fn a_group_for_a_pool_without_servers_is_refused_at_once() {
    let mut batcher = batcher(&[]);
    let verdict = batcher.offer(at(0), group(1, 1, 1000, 2000));
    assert!(matches!(verdict, GroupVerdict::Refused { .. }));
}

#[test]
fn a_call_does_not_exceed_the_result_memory_of_its_server() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 1..=8 {
        let large = GroupRequest {
            result_bytes: 27_000_000,
            ..group(ticket, 1, 5000, 8000)
        };
        batcher.offer(at(0), large);
    }
    let plan = batcher.next_call(at(0)).unwrap();
    assert_eq!(plan.pieces.len(), 3);
    let deliveries = batcher.finish_call(at(200), plan.call, executed(&plan));
    assert_eq!(batcher.next_call(at(200)), None, "the memory is full");
    let PieceResult::Made(handle) = &deliveries[0].result else {
        panic!("{deliveries:?}");
    };
    assert!(
        batcher
            .release(at(200), std::slice::from_ref(handle))
            .is_empty()
    );
    let unneeded = batcher.take_unneeded(at(200));
    assert_eq!(
        batcher.next_call(at(201)),
        None,
        "the server has not confirmed the release yet"
    );
    batcher.confirm_freed(&unneeded[0].0, &unneeded[0].1);
    let next = batcher.next_call(at(202)).unwrap();
    assert_eq!(next.pieces.len(), 1);
}

/// A batcher that takes over from a failed one does not know which results its servers store.
#[test]
fn after_a_no_room_response_a_server_is_filled_only_as_results_are_freed() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 1..=3 {
        batcher.offer(at(0), group(ticket, 1, 5000, 8000));
    }
    let plan = batcher.next_call(at(0)).unwrap();
    let outcome = CallOutcome::Answered(vec![
        PieceResult::Made("s1/1".to_owned()),
        PieceResult::NoRoom,
        PieceResult::NoRoom,
    ]);
    let deliveries = batcher.finish_call(at(180), plan.call, outcome);
    assert_eq!(deliveries.len(), 1);
    assert_eq!(batcher.next_call(at(180)), None);
    let _ = batcher.release(at(180), &["s1/1".to_owned()]);
    for (server, handles) in batcher.take_unneeded(at(181)) {
        batcher.confirm_freed(&server, &handles);
    }
    assert_eq!(batcher.next_call(at(181)).unwrap().pieces.len(), 1);
}

/// After all batchers failed, their servers are full of results that the new batchers don't know.
#[test]
fn a_piece_without_room_for_its_result_is_retried_until_it_expires() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 1, 5000, 8000));
    let mut now = 0;
    for _ in 0..6 {
        let plan = loop {
            now += 5;
            assert!(now < 7000, "no call was started");
            if let Some(plan) = batcher.next_call(at(now)) {
                break plan;
            }
        };
        let full = CallOutcome::Answered(vec![PieceResult::NoRoom]);
        let deliveries = batcher.finish_call(at(now + 2), plan.call, full);
        assert!(deliveries.is_empty(), "{deliveries:?}");
    }
    assert_eq!(batcher.waiting(), 1);
    let expired = batcher.drop_expired(at(7900));
    assert_eq!(expired[0].result, PieceResult::Late);
}

#[test]
fn pieces_of_a_failed_call_are_retried_on_another_server() {
    let mut batcher = batcher(&[("s1", "a"), ("s2", "a")]);
    batcher.offer(at(0), group(1, 2, 5000, 8000));
    let first = batcher.next_call(at(0)).unwrap();
    assert!(
        batcher
            .finish_call(at(400), first.call, CallOutcome::Failed)
            .is_empty()
    );
    let second = batcher.next_call(at(400)).unwrap();
    assert_ne!(first.server, second.server);
    assert_eq!(second.pieces.len(), 2);
}

#[test]
fn a_piece_is_reported_failed_after_its_last_attempt() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 1, 90_000, 100_000));
    let mut now = 0;
    let mut deliveries: Vec<PieceDelivery> = Vec::new();
    while deliveries.is_empty() {
        now += 10;
        assert!(now < 60_000, "the piece was never reported as failed");
        if let Some(plan) = batcher.next_call(at(now)) {
            deliveries = batcher.finish_call(at(now + 5), plan.call, CallOutcome::Failed);
        }
    }
    assert_eq!(deliveries[0].result, PieceResult::Failed);
    assert_eq!(batcher.waiting(), 0);
}

#[test]
fn a_slow_server_gets_only_work_that_meets_its_objective_there() {
    let mut batcher = batcher(&[("s1", "a"), ("s2", "a")]);
    for round in 0..4 {
        batcher.offer(
            at(round * 2000),
            group(round + 1, 1, round * 2000 + 1900, 90_000),
        );
        let plan = batcher.next_call(at(round * 2100)).unwrap();
        let took = if plan.server.as_str() == "s1" {
            900
        } else {
            160
        };
        batcher.finish_call(at(round * 2000 + took), plan.call, executed(&plan));
    }
    batcher.offer(at(20_000), group(50, 1, 20_400, 30_000));
    assert_eq!(batcher.next_call(at(20_000)).unwrap().server.as_str(), "s2");
    batcher.offer(at(20_060), group(51, 1, 20_460, 30_000));
    assert_eq!(
        batcher.next_call(at(20_060)),
        None,
        "the busy s2 finishes the group before the slow s1 would"
    );
    batcher.offer(at(20_061), group(52, 1, 25_000, 30_000));
    assert_eq!(batcher.next_call(at(20_061)).unwrap().server.as_str(), "s1");
}

#[test]
fn pieces_wait_for_a_server_in_their_domain_while_they_stay_timely() {
    let mut batcher = batcher(&[("s1", "a"), ("s2", "b")]);
    let near = |ticket, due| GroupRequest {
        domain: domain("a"),
        pull_bytes: 7_000_000,
        ..group(ticket, 1, due, 8000)
    };
    batcher.offer(at(0), near(1, 5000));
    let first = batcher.next_call(at(0)).unwrap();
    assert_eq!(first.server.as_str(), "s1");
    batcher.offer(at(60), near(2, 5000));
    assert_eq!(batcher.next_call(at(60)), None, "s1 becomes free in time");
    batcher.offer(at(61), near(3, 400));
    let urgent = batcher.next_call(at(61)).unwrap();
    assert_eq!(urgent.server.as_str(), "s2");
    assert_eq!(tickets(&urgent), [3]);
}

#[test]
fn results_of_a_withdrawn_group_are_freed() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 2, 5000, 8000));
    let plan = batcher.next_call(at(0)).unwrap();
    batcher.withdraw(GroupTicket(1));
    assert!(
        batcher
            .finish_call(at(170), plan.call, executed(&plan))
            .is_empty()
    );
    assert!(
        batcher.take_unneeded(at(171)).is_empty(),
        "enough memory is free, so the release is delayed"
    );
    for ticket in 2..=4 {
        let large = GroupRequest {
            result_bytes: 40_000_000,
            ..group(ticket, 1, 5000, 8000)
        };
        batcher.offer(at(172), large);
    }
    let _full = batcher.next_call(at(172)).unwrap();
    let unneeded = batcher.take_unneeded(at(173));
    assert_eq!(unneeded[0].1.len(), 2);
}

#[test]
fn a_restarted_server_stores_no_results() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 1, 5000, 8000));
    let plan = batcher.next_call(at(0)).unwrap();
    batcher.finish_call(at(170), plan.call, executed(&plan));
    let server: ServerId = "s1".parse().unwrap();
    batcher.set_servers([(server, "a".parse().unwrap(), Some(2))]);
    let unknown = batcher.release(at(170), &["s1/1-0".to_owned()]);
    assert_eq!(unknown.len(), 1);
}

#[test]
fn groups_that_expire_in_the_queue_are_reported_late() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 1, 300, 8000));
    let _running = batcher.next_call(at(0)).unwrap();
    batcher.offer(at(0), group(2, 1, 400, 700));
    assert!(batcher.drop_expired(at(100)).is_empty());
    let expired = batcher.drop_expired(at(600));
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].result, PieceResult::Late);
    assert_eq!(batcher.waiting(), 0);
}

/// After a burst, more late work is queued than can be executed before it expires.
#[test]
fn late_work_that_cannot_finish_is_reported_before_it_expires() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 1..=5 {
        batcher.offer(at(0), group(ticket, 14, 400 + ticket, 3000));
    }
    let _running = batcher.next_call(at(0)).unwrap();
    assert!(batcher.drop_expired(at(100)).is_empty());
    let dropped = batcher.drop_expired(at(1850));
    assert!(
        dropped.is_empty(),
        "the last of four full calls ends at 2954 ms"
    );
    let dropped = batcher.drop_expired(at(1950));
    assert_eq!(dropped.len(), 14, "the last full call would end after 3 s");
    assert_eq!(batcher.waiting(), 42, "the other three groups stay queued");
}

/// A server that refuses a call may say for how long it wants no further call.
#[test]
fn a_server_that_asked_for_a_pause_gets_no_call_before_it_ends() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 2, 5000, 8000));
    let first = batcher.next_call(at(0)).unwrap();
    let refused = CallOutcome::Refused {
        pause: Some(Duration::from_millis(1500)),
    };
    assert!(batcher.finish_call(at(5), first.call, refused).is_empty());
    for now in (10..1500).step_by(10) {
        assert_eq!(batcher.next_call(at(now)), None, "at {now} ms");
    }
    let again = batcher.next_call(at(1505)).unwrap();
    assert_eq!(tickets(&again), [1]);
    let refused = CallOutcome::Refused { pause: None };
    batcher.finish_call(at(1510), again.call, refused);
    assert!(
        batcher.next_call(at(1560)).is_some(),
        "a refusal without a duration causes only a short pause"
    );
}

/// The only server has asked for a pause of 4 s.
#[test]
fn work_that_would_expire_during_a_pause_of_the_pool_is_refused_at_once() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 2, 5000, 8000));
    let first = batcher.next_call(at(0)).unwrap();
    let refused = CallOutcome::Refused {
        pause: Some(Duration::from_millis(4000)),
    };
    batcher.finish_call(at(5), first.call, refused);
    let expiring = batcher.offer(at(10), group(2, 2, 500, 2000));
    assert!(
        matches!(expiring, GroupVerdict::Refused { .. }),
        "{expiring:?}"
    );
    let in_time = batcher.offer(at(10), group(3, 2, 5000, 8000));
    assert!(
        matches!(in_time, GroupVerdict::Queued { .. }),
        "{in_time:?}"
    );
}

/// A limit of one request in 2 s: the same pieces are planned again and again until a call is sent.
#[test]
fn calls_held_back_by_a_limit_use_up_the_attempts_of_a_piece() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 2, 20_000, 30_000));
    for round in 0..8 {
        let plan = batcher.next_call(at(round * 2100)).unwrap();
        let held_back = CallOutcome::AtLimit {
            wait: Duration::from_millis(2000),
        };
        let deliveries = batcher.finish_call(at(round * 2100 + 2), plan.call, held_back);
        assert!(deliveries.is_empty(), "round {round}: {deliveries:?}");
        assert_eq!(
            batcher.next_call(at(round * 2100 + 1000)),
            None,
            "round {round}"
        );
    }
    let plan = batcher.next_call(at(16_900)).unwrap();
    let deliveries = batcher.finish_call(at(17_080), plan.call, executed(&plan));
    assert_eq!(deliveries.len(), 2);
}

/// Two servers finish a full call in 276 ms; with a limit of one call a second each carries less
/// than a third of that.
#[test]
fn work_beyond_the_limits_of_a_pool_is_admitted() {
    let admitted = |limit: Option<f64>| {
        let mut batcher = batcher(&[("s1", "a"), ("s2", "a")]);
        batcher.set_limits(|_| limit.map(RequestRate::per_second));
        let offers = (1..=40).filter(|ticket| {
            let verdict = batcher.offer(at(0), group(*ticket, 14, 400, 2500));
            matches!(verdict, GroupVerdict::Queued { .. })
        });
        offers.count()
    };
    let (unlimited, limited) = (admitted(None), admitted(Some(1.0)));
    assert!(
        limited * 3 <= unlimited + 2,
        "{limited} groups with limits, {unlimited} without"
    );
    assert!(limited > 0);
}

/// A release of results takes the place of a call, so results with room to spare expire instead.
#[test]
fn releases_take_the_places_of_calls_at_a_server_with_a_limit() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.set_limits(|_| Some(RequestRate::per_second(1.0)));
    batcher.offer(at(0), group(1, 2, 5000, 8000));
    let plan = batcher.next_call(at(0)).unwrap();
    for delivery in batcher.finish_call(at(170), plan.call, executed(&plan)) {
        if let PieceResult::Made(handle) = delivery.result {
            let _ = batcher.release(at(170), &[handle]);
        }
    }
    assert!(batcher.take_unneeded(at(1000)).is_empty());
    batcher.set_limits(|_| None);
    let unneeded = batcher.take_unneeded(at(1250));
    assert_eq!(unneeded[0].1.len(), 2);
    // A release that had no permit is kept for the next place.
    let (server, handles) = unneeded.into_iter().next().unwrap();
    batcher.defer_unneeded(&server, handles);
    assert!(batcher.take_unneeded(at(1300)).is_empty());
    assert_eq!(batcher.take_unneeded(at(1600))[0].1.len(), 2);
}
