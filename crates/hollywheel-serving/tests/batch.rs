//! Replays the loads that the batcher answers, in virtual time.

mod support;

use std::time::Duration;

use hollywheel_serving::{
    CallOutcome, CallPlan, GroupRequest, GroupTicket, GroupVerdict, PieceDelivery, PieceResult,
};
use hollywheel_types::{DomainId, MonoTime, ServerId};
use support::{at, batcher, group, made, tickets};

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
        "one call at a time for a server"
    );
    batcher.finish_call(at(170), first.call, made(&first));
    let second = batcher.next_call(at(170)).unwrap();
    assert_eq!(tickets(&second), [2, 3, 4, 5, 6]);
}

/// Fifty requests a second arrive at two servers; with one request a call they carry thirteen.
#[test]
fn a_load_beyond_single_calls_is_carried() {
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
            for delivery in batcher.finish_call(now, plan.call, made(&plan)) {
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
    assert!(delivered > 180, "{delivered} of 200 were delivered");
    assert!(
        latest < Duration::from_millis(600),
        "the latest took {latest:?}"
    );
}

#[test]
fn work_that_can_meet_its_objective_goes_before_work_that_lost_it() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(1000), group(1, 1, 900, 9000));
    batcher.offer(at(1000), group(2, 1, 3000, 9000));
    batcher.offer(at(1000), group(3, 1, 2000, 9000));
    let plan = batcher.next_call(at(1000)).unwrap();
    assert_eq!(tickets(&plan), [3, 2, 1]);
}

/// A burst leaves work that has lost its objective; the calls of timely work must stay short.
#[test]
fn late_work_rides_along_only_while_the_call_stays_short() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(1000), group(1, 13, 900, 9000));
    batcher.offer(at(1000), group(2, 1, 3000, 9000));
    let plan = batcher.next_call(at(1000)).unwrap();
    assert_eq!(plan.pieces[0].ticket, GroupTicket(2));
    assert_eq!(plan.pieces.len(), 8, "75 ms of pieces of 9 ms each");
}

#[test]
fn late_work_that_holds_results_goes_before_other_late_work() {
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
fn what_cannot_be_done_before_it_expires_is_refused_at_once() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 1..=40 {
        batcher.offer(at(0), group(ticket, 14, 400, 20_000));
    }
    let verdict = batcher.offer(at(0), group(99, 14, 400, 2000));
    let GroupVerdict::Refused { retry_after } = verdict else {
        panic!("{verdict:?}");
    };
    assert!(
        retry_after >= Duration::from_millis(2500),
        "a burst lasts for seconds: {retry_after:?}"
    );
    assert!(retry_after < Duration::from_secs(20), "{retry_after:?}");
}

#[test]
fn late_work_is_kept_up_to_a_bound() {
    let mut batcher = batcher(&[("s1", "a")]);
    let mut refused = 0;
    for ticket in 1..=20 {
        let verdict = batcher.offer(at(1000), group(ticket, 14, 900, 60_000));
        refused += usize::from(matches!(verdict, GroupVerdict::Refused { .. }));
    }
    assert_eq!(
        refused, 16,
        "the fifth finds four full calls of 276 ms, more than a second"
    );
}

#[test]
fn without_a_server_the_answer_comes_at_once() {
    let mut batcher = batcher(&[]);
    let verdict = batcher.offer(at(0), group(1, 1, 1000, 2000));
    assert!(matches!(verdict, GroupVerdict::Refused { .. }));
}

#[test]
fn a_server_is_not_sent_more_than_it_has_room_for() {
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
    let deliveries = batcher.finish_call(at(200), plan.call, made(&plan));
    assert_eq!(batcher.next_call(at(200)), None, "no room");
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
        "the server has not freed it yet"
    );
    batcher.confirm_freed(&unneeded[0].0, &unneeded[0].1);
    let next = batcher.next_call(at(202)).unwrap();
    assert_eq!(next.pieces.len(), 1);
}

/// After a batcher was lost the next one does not know what its servers hold.
#[test]
fn after_an_answer_without_room_a_server_is_filled_only_as_results_are_freed() {
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

/// After all batchers were lost their servers are full of results that the new ones don't know.
#[test]
fn a_piece_that_finds_no_room_waits_for_it() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 1, 5000, 8000));
    let mut now = 0;
    for _ in 0..6 {
        let plan = loop {
            now += 5;
            assert!(now < 7000, "no call");
            if let Some(plan) = batcher.next_call(at(now)) {
                break plan;
            }
        };
        let full = CallOutcome::Answered(vec![PieceResult::NoRoom]);
        let ends = batcher.finish_call(at(now + 2), plan.call, full);
        assert!(ends.is_empty(), "{ends:?}");
    }
    assert_eq!(batcher.waiting(), 1);
    let expired = batcher.drop_expired(at(7900));
    assert_eq!(expired[0].result, PieceResult::Late);
}

#[test]
fn a_call_that_failed_is_made_at_another_server() {
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
fn a_piece_is_given_up_after_some_tries() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 1, 90_000, 100_000));
    let mut now = 0;
    let mut ends: Vec<PieceDelivery> = Vec::new();
    while ends.is_empty() {
        now += 10;
        assert!(now < 60_000, "no end");
        if let Some(plan) = batcher.next_call(at(now)) {
            ends = batcher.finish_call(at(now + 5), plan.call, CallOutcome::Failed);
        }
    }
    assert_eq!(ends[0].result, PieceResult::Failed);
    assert_eq!(batcher.waiting(), 0);
}

#[test]
fn a_slow_server_gets_only_what_can_wait_for_it() {
    let mut batcher = batcher(&[("s1", "a"), ("s2", "a")]);
    for round in 0..4 {
        batcher.offer(
            at(round * 2000),
            group(round + 1, 1, round * 2000 + 1900, 90_000),
        );
        let plan = batcher.next_call(at(round * 2000)).unwrap();
        let took = if plan.server.as_str() == "s1" {
            900
        } else {
            160
        };
        batcher.finish_call(at(round * 2000 + took), plan.call, made(&plan));
    }
    batcher.offer(at(20_000), group(50, 1, 20_400, 30_000));
    assert_eq!(batcher.next_call(at(20_000)).unwrap().server.as_str(), "s2");
    batcher.offer(at(20_060), group(51, 1, 20_460, 30_000));
    assert_eq!(
        batcher.next_call(at(20_060)),
        None,
        "s2 ends earlier than s1 would"
    );
    batcher.offer(at(20_061), group(52, 1, 25_000, 30_000));
    assert_eq!(batcher.next_call(at(20_061)).unwrap().server.as_str(), "s1");
}

#[test]
fn pieces_wait_for_a_server_near_their_bytes_while_that_is_in_time() {
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
    assert_eq!(batcher.next_call(at(60)), None, "s1 is free in time");
    batcher.offer(at(61), near(3, 400));
    let urgent = batcher.next_call(at(61)).unwrap();
    assert_eq!(urgent.server.as_str(), "s2");
    assert_eq!(tickets(&urgent), [3]);
}

#[test]
fn results_of_a_request_that_left_are_freed() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 2, 5000, 8000));
    let plan = batcher.next_call(at(0)).unwrap();
    batcher.withdraw(GroupTicket(1));
    assert!(
        batcher
            .finish_call(at(170), plan.call, made(&plan))
            .is_empty()
    );
    assert!(
        batcher.take_unneeded(at(171)).is_empty(),
        "there is room for others"
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
fn a_server_born_again_holds_nothing() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 1, 5000, 8000));
    let plan = batcher.next_call(at(0)).unwrap();
    batcher.finish_call(at(170), plan.call, made(&plan));
    let server: ServerId = "s1".parse().unwrap();
    batcher.set_servers([(server, "a".parse().unwrap(), Some(2))]);
    let unknown = batcher.release(at(170), &["s1/1-0".to_owned()]);
    assert_eq!(unknown.len(), 1);
}

#[test]
fn groups_that_expire_while_they_wait_are_told() {
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

/// After a burst more late work waits than its callers wait for.
#[test]
fn late_work_without_hope_is_told_before_its_time_is_over() {
    let mut batcher = batcher(&[("s1", "a")]);
    for ticket in 1..=5 {
        batcher.offer(at(0), group(ticket, 14, 400 + ticket, 3000));
    }
    let _running = batcher.next_call(at(0)).unwrap();
    assert!(batcher.drop_expired(at(100)).is_empty());
    let dropped = batcher.drop_expired(at(1850));
    assert!(dropped.is_empty(), "four full calls end at 2954 ms");
    let dropped = batcher.drop_expired(at(1950));
    assert_eq!(dropped.len(), 14, "the last of them ends after 3 s");
    assert_eq!(batcher.waiting(), 42, "the first ones are kept");
}

/// A server that refuses a call may say for how long it wants no other one.
#[test]
fn a_server_that_asks_for_time_gets_no_call_until_then() {
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
        "a short pause otherwise"
    );
}

/// What can't be made in time while every server asks for time is refused at once.
#[test]
fn work_for_a_pool_that_asks_for_time_is_refused_at_once() {
    let mut batcher = batcher(&[("s1", "a")]);
    batcher.offer(at(0), group(1, 2, 5000, 8000));
    let first = batcher.next_call(at(0)).unwrap();
    let refused = CallOutcome::Refused {
        pause: Some(Duration::from_millis(4000)),
    };
    batcher.finish_call(at(5), first.call, refused);
    let hopeless = batcher.offer(at(10), group(2, 2, 500, 2000));
    assert!(
        matches!(hopeless, GroupVerdict::Refused { .. }),
        "{hopeless:?}"
    );
    let in_time = batcher.offer(at(10), group(3, 2, 5000, 8000));
    assert!(
        matches!(in_time, GroupVerdict::Queued { .. }),
        "{in_time:?}"
    );
}
