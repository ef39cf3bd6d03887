//! Tests of the detection of prompt parts that crash servers.

use std::time::Duration;

use hollywheel_serving::{
    AnswerProof, CrashCause, CrashEvidence, CrashTable, CrashVerdict, EARLY_CRASH_TIME, ServerStart,
};
use hollywheel_types::MonoTime;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

/// Parts: one that crashes servers, one that comes with it, and others.
const CRASHING: CrashCause = CrashCause::Part(0xdead);
const PARENT: CrashCause = CrashCause::Part(0xaa);
const OTHER: CrashCause = CrashCause::Part(0xbb);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn server(number: u64) -> ServerStart {
    ServerStart {
        server: format!("m{number}").parse().unwrap(),
        born: Some(1),
    }
}

/// Returns a table with crashes of different servers, a second apart, under the given parts.
fn crashed(crashes: u64, parts: &[CrashCause]) -> CrashTable {
    let mut table = CrashTable::new();
    for number in 0..crashes {
        table.note_crash(
            at(1000 * number),
            &server(number),
            Duration::ZERO,
            parts.iter().copied(),
        );
    }
    table
}

fn is_blocked(table: &CrashTable, now: MonoTime, parts: &[CrashCause]) -> bool {
    matches!(table.verdict(now, parts), CrashVerdict::Blocked { .. })
}

#[test]
fn third_crash_blocks_a_part() {
    assert!(!is_blocked(&crashed(2, &[CRASHING]), at(3000), &[CRASHING]));
    let table = crashed(3, &[CRASHING]);
    assert!(is_blocked(&table, at(3000), &[OTHER, CRASHING]));
    assert!(!is_blocked(&table, at(3000), &[OTHER]));
    assert_eq!(table.crashing_causes(), [CRASHING]);
}

/// A failure domain or a switch takes many servers with it.
#[test]
fn servers_lost_at_once_block_no_part() {
    let mut table = CrashTable::new();
    for number in 0..20 {
        table.note_crash(
            at(1000 + number * 20),
            &server(number),
            Duration::ZERO,
            [OTHER],
        );
    }
    assert!(!is_blocked(&table, at(2000), &[OTHER]));
}

#[test]
fn part_that_is_answered_completely_is_sound() {
    let mut table = crashed(3, &[CRASHING]);
    let withdrawn = table.note_proof(at(3000), AnswerProof::Complete, [CRASHING]);
    assert_eq!(withdrawn.len(), 3);
    assert!(withdrawn.iter().all(|evidence| evidence.withdrawn));
    assert!(!is_blocked(&table, at(3000), &[CRASHING]));
}

#[test]
fn server_that_answers_later_did_not_crash() {
    let mut table = crashed(3, &[CRASHING]);
    assert!(
        table
            .note_server_alive(at(9500), &server(1), at(900))
            .is_empty(),
        "sent before"
    );
    let restarted = ServerStart {
        born: Some(2),
        ..server(1)
    };
    assert!(
        table
            .note_server_alive(at(9500), &restarted, at(9000))
            .is_empty(),
        "restarted"
    );
    assert_eq!(
        table
            .note_server_alive(at(9500), &server(1), at(1001))
            .len(),
        1
    );
    assert!(!is_blocked(&table, at(9000), &[CRASHING]));
}

/// Parts of a prompt come in chains: a part seldom comes without the one before it.
#[test]
fn parent_of_a_crashing_part_blocks_sound_requests() {
    let mut table = crashed(3, &[PARENT, CRASHING]);
    assert!(is_blocked(&table, at(3000), &[PARENT, CRASHING]));
    assert!(
        !is_blocked(&table, at(3000), &[PARENT, OTHER]),
        "either may be the cause"
    );
    let mut sound = table.clone();
    sound.note_proof(at(3000), AnswerProof::Complete, [PARENT, OTHER]);
    assert!(is_blocked(&sound, at(3000), &[PARENT, CRASHING]));
    assert_eq!(sound.crashing_causes(), [CRASHING]);
    table.note_crash(at(3000), &server(9), Duration::ZERO, [PARENT, OTHER]);
    assert!(
        is_blocked(&table, at(3000), &[PARENT, OTHER]),
        "the parent is the cause"
    );
}

#[test]
fn one_request_is_let_through_after_the_block() {
    let mut table = crashed(3, &[CRASHING]);
    let Some(CrashVerdict::Blocked { wait }) = Some(table.verdict(at(3000), &[CRASHING])) else {
        panic!("not blocked");
    };
    let ends_at = at(3000) + wait;
    let probe = CrashVerdict::Probe { cause: CRASHING };
    assert_eq!(table.verdict(ends_at, &[CRASHING]), probe);
    table.note_probe(ends_at, CRASHING);
    assert!(
        is_blocked(&table, ends_at, &[CRASHING]),
        "the probe is under way"
    );
    table.note_crash(
        ends_at + Duration::from_secs(1),
        &server(9),
        Duration::ZERO,
        [CRASHING],
    );
    assert!(is_blocked(&table, ends_at + wait, &[CRASHING]));
}

/// A host learns of a crash after it has seen the part begin.
#[test]
fn host_that_saw_a_part_begin_answers_evidence_with_its_withdrawal() {
    let mut table = CrashTable::new();
    table.note_proof(at(1500), AnswerProof::Complete, [OTHER]);
    let evidence = CrashEvidence {
        cause: OTHER,
        server: server(1),
        at: at(1000),
        weak: false,
        withdrawn: false,
    };
    let withdrawn = table.apply(&evidence).unwrap();
    assert!(withdrawn.withdrawn);
    assert_eq!(table.apply(&evidence), None, "told once");
    let later = CrashEvidence {
        at: at(2000),
        server: server(2),
        ..evidence
    };
    assert_eq!(table.apply(&later), None);
    assert_eq!(
        table
            .changes_after(0)
            .filter(|known| !known.withdrawn)
            .count(),
        1
    );
}

/// Evidence and its withdrawal reach hosts in any order, and more than once.
#[test]
fn hosts_agree_whatever_the_order_of_the_news() {
    let mut random = StdRng::seed_from_u64(7);
    for _ in 0..200 {
        let mut news: Vec<CrashEvidence> = (0..random.random_range(1..12))
            .map(|_| CrashEvidence {
                cause: CrashCause::Part(random.random_range(0..3)),
                server: server(random.random_range(0..4)),
                at: at(1000),
                weak: random.random_bool(0.4),
                withdrawn: random.random_bool(0.4),
            })
            .collect();
        let mut first = CrashTable::new();
        news.iter().for_each(|evidence| {
            first.apply(evidence);
        });
        news.shuffle(&mut random);
        let mut second = CrashTable::new();
        for evidence in news.iter().chain(&news) {
            second.apply(evidence);
        }
        let known = |table: &CrashTable| table.changes_after(0).collect::<Vec<_>>();
        assert_eq!(known(&first), known(&second));
    }
}

/// Returns a table with crashes of different servers, a second apart, that had been writing on a part
/// for a time.
fn crashed_after(crashes: u64, written: Duration, part: CrashCause) -> CrashTable {
    let mut table = CrashTable::new();
    for number in 0..crashes {
        table.note_crash(at(1000 * number), &server(number), written, [part]);
    }
    table
}

const LONG: Duration = Duration::from_millis(1500);

/// Servers may write for seconds before they crash.
#[test]
fn part_that_crashes_servers_late_is_never_blocked() {
    assert!(LONG > EARLY_CRASH_TIME);
    assert!(!is_blocked(
        &crashed_after(4, LONG, CRASHING),
        at(4000),
        &[CRASHING]
    ));
    let mut table = crashed_after(5, LONG, CRASHING);
    table.note_proof(at(4500), AnswerProof::Outlasted, [CRASHING]);
    assert!(is_blocked(&table, at(5000), &[CRASHING]));
}

#[test]
fn part_of_long_answers_is_blocked_by_other_crashes() {
    let mut table = CrashTable::new();
    table.note_proof(at(500), AnswerProof::Complete, [OTHER]);
    for number in 1..5 {
        let news = table.note_crash(at(1000 * number), &server(number), LONG, [OTHER]);
        assert!(news.iter().all(|evidence| evidence.withdrawn));
    }
    assert!(!is_blocked(&table, at(5000), &[OTHER]), "answered before");
    let mut table = crashed(3, &[OTHER]);
    table.note_proof(at(2500), AnswerProof::Outlasted, [OTHER]);
    assert!(!is_blocked(&table, at(3000), &[OTHER]), "outlasted since");
}

/// One host sees a server that has written on a part for long, another one that it has just begun.
#[test]
fn evidence_of_a_short_answer_counts_beside_a_long_one() {
    let mut table = crashed(1, &[OTHER]);
    let evidence = CrashEvidence {
        cause: OTHER,
        server: server(0),
        at: at(0),
        weak: true,
        withdrawn: false,
    };
    table.note_proof(at(0), AnswerProof::Complete, [CRASHING]);
    assert_eq!(table.apply(&evidence), None);
    let known: Vec<CrashEvidence> = table.changes_after(0).collect();
    assert_eq!(known, [evidence]);
}

#[test]
fn part_in_few_of_many_crashes_is_blocked() {
    let mut table = CrashTable::new();
    for number in 0..9 {
        let part = if number % 3 == 0 {
            OTHER
        } else {
            CrashCause::Part(number)
        };
        table.note_crash(at(1000 * number), &server(number), Duration::ZERO, [part]);
    }
    assert!(!is_blocked(&table, at(9000), &[OTHER]));
}

/// A request lost late beside the crashing one does not explain the crash as well as that one.
#[test]
fn part_of_a_long_answer_hides_the_crashing_part() {
    let mut table = CrashTable::new();
    for number in 0..3 {
        let (now, server) = (at(1000 * number), server(number));
        table.note_crash(now, &server, Duration::ZERO, [CRASHING]);
        table.note_crash(now, &server, LONG, [OTHER]);
    }
    assert!(is_blocked(&table, at(3000), &[CRASHING]));
    assert!(!is_blocked(&table, at(3000), &[OTHER]));
}

/// The end of the connection is the end of the answer, or a crash.
#[test]
fn crash_at_the_end_of_an_answer_is_taken_for_its_end() {
    let mut crashed = CrashTable::new();
    let mut survived = CrashTable::new();
    for number in 0..3 {
        let (now, server) = (1000 * number, server(number));
        for table in [&mut crashed, &mut survived] {
            table.note_end(at(now), &server, [CRASHING]);
        }
        crashed.note_gone(at(now + 800), &server);
        survived.note_server_alive(at(now + 300), &server, at(now + 200));
        survived.note_gone(at(now + 800), &server);
    }
    assert!(is_blocked(&crashed, at(3000), &[CRASHING]));
    assert!(!is_blocked(&survived, at(3000), &[CRASHING]));
    let mut late = CrashTable::new();
    late.note_end(at(0), &server(0), [CRASHING]);
    assert!(late.note_gone(at(3000), &server(0)).is_empty());
}

/// Servers of other pools crash under requests without parts.
#[test]
fn crashes_of_other_pools_hide_the_crashing_part() {
    let mut table = CrashTable::new();
    for number in 0..12 {
        let cause = if number % 4 == 0 {
            CRASHING
        } else {
            CrashCause::Request(number)
        };
        table.note_crash(at(1000 * number), &server(number), Duration::ZERO, [cause]);
    }
    assert!(is_blocked(&table, at(12_000), &[CRASHING]));
}
