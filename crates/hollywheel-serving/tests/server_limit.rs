//! Tests of limits on requests that servers name, with many hosts in virtual time.

use std::time::Duration;

use hollywheel_serving::{
    LimitChange, LimitNotice, LimitStatement, LimitTable, PermitLedger, PermitVerdict,
};
use hollywheel_types::{MonoTime, RequestRate, ServerId};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn server() -> ServerId {
    "s1".parse().unwrap()
}

fn named(rate: f64, millis: u64) -> LimitNotice {
    LimitNotice {
        rate: Some(RequestRate::per_second(rate)),
        at: at(millis),
    }
}

fn ended(millis: u64) -> LimitNotice {
    LimitNotice {
        rate: None,
        at: at(millis),
    }
}

/// Returns pseudo-random numbers below a bound.
fn random_numbers(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed;
    move |bound| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % bound
    }
}

/// Returns the largest number of points in any window of the given length.
fn most_in_window(points: &[MonoTime], window: Duration) -> usize {
    let mut most = 0;
    let mut first = 0;
    for last in 0..points.len() {
        while points[last].since(points[first]) >= window {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

/// Whatever hosts ask for and when, the granted places stay within the limit in every window.
#[test]
fn granted_places_stay_within_the_limit_in_every_window() {
    for seed in 1..=200 {
        let mut random = random_numbers(seed);
        let rate = RequestRate::per_second(0.2 + random(400) as f64 / 20.0);
        let mut ledger = PermitLedger::new();
        let mut places = Vec::new();
        let mut now = at(1000);
        for _ in 0..3000 {
            // Bursts of requests, and pauses in which places are left free.
            now = now
                + match random(20) {
                    0 => Duration::from_millis(random(3000)),
                    _ => Duration::from_millis(random(8)),
                };
            let patience = Duration::from_millis([0, 40, 150, 10_000][random(4) as usize]);
            if let PermitVerdict::Granted { wait } = ledger.take(now, &server(), rate, patience) {
                assert!(wait <= patience, "seed {seed}");
                places.push(now + wait);
            }
        }
        places.sort_unstable();
        for seconds in [1, 4, 20] {
            let window = Duration::from_secs(seconds);
            let allowed = rate.over(window) + 2.0;
            let most = most_in_window(&places, window);
            assert!(
                most as f64 <= allowed,
                "seed {seed}: {most} in {window:?} at {rate}, allowed {allowed}"
            );
        }
    }
}

/// Under steady demand no place is left free.
#[test]
fn all_places_are_granted_while_requests_wait() {
    let rate = RequestRate::per_second(1.5);
    let mut ledger = PermitLedger::new();
    let granted = (0..20_000).filter(|step| {
        let now = at(step * 5);
        let verdict = ledger.take(now, &server(), rate, Duration::ZERO);
        matches!(verdict, PermitVerdict::Granted { .. })
    });
    let count = granted.count() as f64;
    let accepted = rate.over(Duration::from_secs(100));
    assert!(count >= 0.98 * accepted, "{count} of {accepted}");
}

#[test]
fn denied_permit_tells_the_next_free_place() {
    let rate = RequestRate::per_second(2.0);
    let mut ledger = PermitLedger::new();
    let mut take = |millis, patience| {
        ledger.take(at(millis), &server(), rate, Duration::from_millis(patience))
    };
    let verdicts = [
        take(1000, 0),
        take(1200, 0),
        take(1400, 150),
        take(1500, 0),
        take(1999, 0),
        take(2000, 0),
    ];
    insta::assert_debug_snapshot!(verdicts);
}

/// A limit below one request in 10 s would keep its end from being seen.
#[test]
fn server_that_accepts_nothing_still_gets_a_request_now_and_then() {
    let mut ledger = PermitLedger::new();
    let rate = RequestRate::per_second(0.0);
    let places = (0..60).filter(|second| {
        let verdict = ledger.take(at(second * 1000), &server(), rate, Duration::ZERO);
        matches!(verdict, PermitVerdict::Granted { .. })
    });
    assert_eq!(places.collect::<Vec<u64>>(), [10, 20, 30, 40, 50]);
}

/// A host that gets the duty while another one still grants permits: each keeps to the limit, and
/// the new one starts without a free place.
#[test]
fn handover_of_the_permits_gives_at_most_the_limit_once_more_while_both_grant() {
    let rate = RequestRate::per_second(1.5);
    let (mut old, mut new) = (PermitLedger::new(), PermitLedger::new());
    let (joined, learned) = (at(10_000), at(11_000));
    let mut places = Vec::new();
    for step in 0..4000 {
        let now = at(step * 5);
        let uses_old = now < joined || (now < learned && step % 2 == 0);
        let ledger = if uses_old { &mut old } else { &mut new };
        if let PermitVerdict::Granted { wait } = ledger.take(now, &server(), rate, Duration::ZERO) {
            places.push(now + wait);
        }
    }
    let window = Duration::from_secs(4);
    let overlap = learned.since(joined);
    let allowed = rate.over(window) + 2.0 + rate.over(overlap);
    let most = most_in_window(&places, window) as f64;
    assert!(most <= allowed, "{most}, allowed {allowed}");
}

/// A response to a request from before the limit was named may be older than the limit.
#[test]
fn limit_is_ended_only_by_a_response_to_a_later_request() {
    let mut table = LimitTable::new();
    assert_eq!(table.apply(&server(), ended(500)), None);
    let first = table.apply(&server(), named(1.5, 1000));
    assert!(matches!(
        first,
        Some(LimitChange::Named { before: None, .. })
    ));
    assert_eq!(table.apply(&server(), ended(900)), None);
    assert!(table.limit(&server()).is_some());
    let end = table.apply(&server(), ended(1100));
    let lasted = Duration::from_millis(100);
    assert!(matches!(end, Some(LimitChange::Ended { lasted: known, .. }) if known == lasted));
    assert_eq!(table.limit(&server()), None);
    assert_eq!(table.limited_count(), 0);
}

/// Notices reach hosts by several paths and in any order; all hosts end with the latest one.
#[test]
fn hosts_agree_on_the_latest_notice_in_whatever_order_they_arrive() {
    let notices = [
        named(1.5, 1000),
        named(2.5, 1400),
        ended(1800),
        named(0.5, 2200),
        named(0.5, 2600),
    ];
    for seed in 1..=100 {
        let mut random = random_numbers(seed);
        let mut table = LimitTable::new();
        for _ in 0..3 {
            for _ in 0..10 {
                let notice = notices[random(notices.len() as u64) as usize];
                table.apply(&server(), notice);
            }
        }
        for notice in notices {
            table.apply(&server(), notice);
        }
        assert_eq!(table.notice(&server()), Some(notices[4]), "seed {seed}");
    }
}

/// Followers that ask for the changes after the last one that they know get each change once, and
/// none for a server that only repeats its limit.
#[test]
fn repeated_limit_is_no_change_for_followers() {
    let mut table = LimitTable::new();
    table.apply(&server(), named(1.5, 1000));
    let known = table.change();
    table.apply(&server(), named(1.5, 1500));
    assert_eq!(table.change(), known);
    assert_eq!(table.changes_after(known).count(), 0);
    assert_eq!(table.changes_after(0).count(), 1);
    table.apply(&server(), ended(1600));
    let changed: Vec<LimitNotice> = table
        .changes_after(known)
        .map(|(_, notice)| notice)
        .collect();
    assert_eq!(changed, [ended(1600)]);
}

/// Rejected callers are told successive places of this host's share, up to an upper bound.
#[test]
fn rejected_callers_are_told_different_places() {
    let mut table = LimitTable::new();
    table.apply(&server(), named(10.0, 1000));
    table.note_next_place(&server(), at(1080));
    let waits: Vec<Option<Duration>> = (0..8)
        .map(|_| {
            let wait = table.announced_wait(at(1000), &server());
            table.announce_place(at(1000), &server(), 5);
            wait
        })
        .collect();
    insta::assert_debug_snapshot!(waits);
    let other: ServerId = "s2".parse().unwrap();
    assert_eq!(table.announced_wait(at(1000), &other), None);
}

/// The entry of a server may be missing for some seconds; its limit is kept for that time.
#[test]
fn limit_outlives_a_short_absence_of_its_server() {
    let mut table = LimitTable::new();
    table.apply(&server(), named(1.5, 1000));
    table.retain(at(5000), |_| false);
    assert!(table.limit(&server()).is_some());
    table.retain(at(60_000), |_| true);
    assert!(table.limit(&server()).is_some());
    table.retain(at(60_000), |_| false);
    assert_eq!(table.limit(&server()), None);
}

#[test]
fn absence_of_a_limit_is_only_believed_of_the_server_itself() {
    let limited = LimitStatement::Limited(RequestRate::per_second(1.5));
    let cases = [limited, LimitStatement::Unlimited, LimitStatement::Unknown];
    let trusted = cases.map(|said| said.trusted_if(true));
    assert_eq!(trusted, cases);
    let untrusted = cases.map(|said| said.trusted_if(false));
    assert_eq!(
        untrusted,
        [limited, LimitStatement::Unknown, LimitStatement::Unknown]
    );
}
