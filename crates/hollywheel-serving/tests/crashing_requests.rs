//! Tests of the detection of requests and pieces that crash servers, whatever their prompt.

use std::time::Duration;

use hollywheel_serving::{
    AnswerProof, CauseKind, CrashCause, CrashEvidence, CrashTable, CrashVerdict, RequestIdentity,
    ServerStart,
};
use hollywheel_types::MonoTime;

const CRASHING: CrashCause = CrashCause::Request(0xdead);
const SOUND: CrashCause = CrashCause::Request(0xaa);
const SHARED: CrashCause = CrashCause::Part(0xbb);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn server(number: u64) -> ServerStart {
    ServerStart {
        server: format!("p{number}").parse().unwrap(),
        born: Some(1),
    }
}

fn is_blocked(table: &CrashTable, now: MonoTime, causes: &[CrashCause]) -> bool {
    matches!(table.verdict(now, causes), CrashVerdict::Blocked { .. })
}

/// A caller's attempt is sent to two servers within milliseconds.
#[test]
fn crashes_of_one_request_count_however_close_they_are() {
    let mut table = CrashTable::new();
    for number in 0..3 {
        assert!(!is_blocked(&table, at(1000), &[CRASHING]));
        table.note_crash(
            at(1000 + number),
            &server(number),
            Duration::ZERO,
            [CRASHING],
        );
    }
    assert!(is_blocked(&table, at(1010), &[CRASHING]));
    assert!(!is_blocked(&table, at(1010), &[SOUND]));
}

/// A server that ends takes all requests with it that it runs.
#[test]
fn request_that_ran_beside_a_crashing_one_is_refused() {
    let mut table = CrashTable::new();
    for number in 0..3 {
        table.note_crash(
            at(1000 * number),
            &server(number),
            Duration::ZERO,
            [CRASHING, SOUND],
        );
    }
    assert!(!is_blocked(&table, at(3000), &[SOUND]), "either may be it");
    table.note_crash(at(3000), &server(3), Duration::ZERO, [CRASHING]);
    assert!(is_blocked(&table, at(3000), &[CRASHING]));
    assert!(!is_blocked(&table, at(3000), &[SOUND]));
}

/// The crashing request has all its parts in common with sound ones.
#[test]
fn parts_of_one_crashing_request_block_sound_requests() {
    let mut table = CrashTable::new();
    for number in 0..4 {
        table.note_crash(
            at(1000 * number),
            &server(number),
            Duration::ZERO,
            [SHARED, CRASHING],
        );
    }
    assert!(is_blocked(&table, at(4000), &[SHARED, CRASHING]));
    assert!(!is_blocked(&table, at(4000), &[SHARED, SOUND]));
    let other = CrashCause::Request(0xdeae);
    table.note_crash(at(4000), &server(9), Duration::ZERO, [SHARED, other]);
    assert!(
        is_blocked(&table, at(4000), &[SHARED, SOUND]),
        "no single request explains the crashes"
    );
}

#[test]
fn request_that_is_answered_is_sound() {
    let mut table = CrashTable::new();
    for number in 0..3 {
        table.note_crash(at(number), &server(number), Duration::ZERO, [CRASHING]);
    }
    assert_eq!(
        table
            .note_proof(at(10), AnswerProof::Complete, [CRASHING])
            .len(),
        3
    );
    assert!(!is_blocked(&table, at(10), &[CRASHING]));
}

/// One of two crashes of a server that are reported turns out to be none.
#[test]
fn answer_withdraws_only_what_was_before_it() {
    let mut table = CrashTable::new();
    table.note_crash(at(1000), &server(0), Duration::ZERO, [SOUND]);
    table.note_crash(at(3000), &server(0), Duration::ZERO, [CRASHING]);
    assert_eq!(
        table
            .note_server_alive(at(4000), &server(0), at(2000))
            .len(),
        1
    );
    assert_eq!(
        table
            .note_server_alive(at(4000), &server(0), at(2000))
            .len(),
        0
    );
    let withdrawn = table.note_server_alive(at(4000), &server(0), at(4000));
    assert_eq!(withdrawn.first().map(|known| known.cause), Some(CRASHING));
}

#[test]
fn evidence_grows_without_bound() {
    /// Evidence that is kept of one kind.
    const KEPT: usize = 4096;
    let mut table = CrashTable::new();
    table.note_crash(at(0), &server(0), Duration::ZERO, [SHARED]);
    for number in 0..3 * KEPT as u64 {
        let cause = CrashCause::Request(number);
        table.note_crash(
            at(1000 + number),
            &server(number % 7),
            Duration::ZERO,
            [cause],
        );
    }
    table.expire(at(20_000));
    let known: Vec<CrashEvidence> = table.changes_after(0).collect();
    assert_eq!(
        known.len(),
        KEPT + 1,
        "those of requests do not displace others"
    );
    assert!(table.has_evidence(CauseKind::Part));
    table.expire(at(20_000) + Duration::from_secs(600));
    assert_eq!(table.changes_after(0).count(), 0);
}

#[test]
fn requests_that_differ_in_one_field_are_taken_for_one() {
    let base = RequestIdentity {
        host: "h",
        target: "/pay/x",
        workspace: "office",
        parts: &[1, 2],
        body: b"body",
    };
    let others = [
        RequestIdentity { host: "h2", ..base },
        RequestIdentity {
            target: "/pay/y",
            ..base
        },
        RequestIdentity {
            workspace: "branch",
            ..base
        },
        RequestIdentity {
            parts: &[1, 3],
            ..base
        },
        RequestIdentity {
            body: b"bodies",
            ..base
        },
        RequestIdentity {
            host: "h/pay",
            target: "/x",
            ..base
        },
    ];
    assert_eq!(base.digest(), RequestIdentity { ..base }.digest());
    for other in others {
        assert_ne!(base.digest(), other.digest(), "{other:?}");
    }
}
