//! Tests of identifiers, sizes and the verdict.

use hollywheel_types::{
    ByteSize, ExecutionVerdict, IdempotencyKey, Percent, RequestClass, RequestId, RequestRate,
    SortedMap, WallTime, WorkspaceId,
};

#[test]
fn verdict_join_is_commutative_and_never_lowers_a_verdict() {
    let verdicts = [
        ExecutionVerdict::NotRun,
        ExecutionVerdict::MayHaveRun,
        ExecutionVerdict::Ran,
    ];
    for left in verdicts {
        for right in verdicts {
            assert_eq!(left.join(right), right.join(left));
            assert!(left.join(right) >= left);
        }
    }
    assert!(!ExecutionVerdict::MayHaveRun.allows_retry());
}

#[test]
fn displayed_values_match_their_parsed_form() {
    let id = RequestId(0xab);
    assert_eq!(id.to_string().parse(), Ok(id));
    for class in RequestClass::ALL {
        assert_eq!(class.to_string().parse(), Ok(class));
    }
    let size: ByteSize = "64MiB".parse().unwrap();
    assert_eq!(size.to_string(), "64MiB");
    let share: Percent = "34%".parse().unwrap();
    assert_eq!(share.to_string().parse(), Ok(share));
    let rate: RequestRate = "2.5/s".parse().unwrap();
    assert_eq!(rate.to_string(), "2.5/s");
}

#[test]
fn parse_errors_name_the_kind_and_the_limit() {
    let empty = "".parse::<WorkspaceId>().unwrap_err();
    let long = "x".repeat(200).parse::<IdempotencyKey>().unwrap_err();
    let slash = "a/b".parse::<WorkspaceId>().unwrap_err();
    let share = "101".parse::<Percent>().unwrap_err();
    insta::assert_snapshot!(format!("{empty}\n{long}\n{slash}\n{share}"), @r#"
    workspace is empty
    idempotency key has 200 bytes; the limit is 128
    workspace "a/b" holds '/'; letters, digits, '-', '_', '.' and ':' are allowed
    share "101" is not valid; expected a whole number of percent from 0 to 100
    "#);
}

#[test]
fn sorted_map_keeps_the_last_of_equal_keys() {
    let map: SortedMap<u32, char> = [(2, 'a'), (1, 'b'), (2, 'c')].into_iter().collect();
    let entries: Vec<(u32, char)> = map.iter().map(|(key, value)| (*key, *value)).collect();
    assert_eq!(entries, [(1, 'b'), (2, 'c')]);
}

#[test]
fn wall_time_is_displayed_as_rfc_3339_in_utc() {
    let time = WallTime(1_796_339_661_678);
    assert_eq!(time.to_string(), "2026-12-03T23:14:21.678Z");
    assert_eq!(WallTime(u64::MAX).to_string(), "18446744073709551615ms");
}
