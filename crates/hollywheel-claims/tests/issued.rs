//! Claims of idempotency keys that a process issued.

use std::time::Duration;

use hollywheel_claims::{
    ClaimDenial, ClaimKey, ClaimOutput, ClaimRequest, ClaimSettings, ClaimTable, IssuedKey,
    KeyAuthority,
};
use hollywheel_types::{
    AttemptNonce, BodyDigest, ExecutionVerdict, HostId, IdempotencyKey, Incarnation, MonoTime,
    RequestId, WallTime, WorkspaceId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const HISTORY_COUNT: u64 = 2000;

fn workspace() -> WorkspaceId {
    "clerks".parse().unwrap()
}

fn claim_request(request: u128, key: &IdempotencyKey) -> ClaimRequest {
    ClaimRequest {
        request: RequestId(request),
        key: ClaimKey {
            workspace: workspace(),
            key: key.clone(),
        },
        digest: BodyDigest(1),
        nonce: AttemptNonce(request),
        claimed_at: WallTime(0),
        deadline: MonoTime::from_millis(u64::MAX / 10_000),
    }
}

fn table_with_limit(max_issued_keys: usize) -> ClaimTable {
    ClaimTable::new(ClaimSettings {
        max_issued_keys,
        issued_ttl: Duration::from_secs(4),
        issued_retention: Duration::from_secs(8),
        ..ClaimSettings::default()
    })
}

#[test]
fn longest_issued_key_is_within_the_length_limit_and_parses_back() {
    let key = IssuedKey {
        host: "h".repeat(64).parse::<HostId>().unwrap(),
        incarnation: Incarnation(u64::MAX),
        issue_second: u32::MAX,
        random: u128::MAX,
    };
    assert_eq!(key.key().as_str().len(), 128);
    assert_eq!(IssuedKey::read(&key.key()), Some(key));
    let caller_keys = [
        "k1",
        "issue:a:1:00",
        "issue:a:01:0000000000000000000000000000000000000001",
    ];
    for text in caller_keys {
        let key = text.parse().unwrap();
        assert_eq!(
            table_with_limit(1).authority_of(&key),
            KeyAuthority::ClaimRow,
            "{text}"
        );
    }
}

#[test]
fn full_table_issues_no_key_and_evicts_none_in_use() {
    let mut table = table_with_limit(2);
    let start = MonoTime::from_millis(0);
    let used_key = table.issue(start, &workspace(), 1).unwrap();
    table.issue(start, &workspace(), 2).unwrap();
    let outputs = table.claim(start, claim_request(1, &used_key));
    assert_eq!(outputs.len(), 1);
    assert!(table.issue(start, &workspace(), 3).is_err());
    let later = start + Duration::from_secs(5);
    table.issue(later, &workspace(), 4).unwrap();
    // A key in use is never evicted, however long its request takes.
    let much_later = start + Duration::from_secs(500);
    let joined = table.claim(much_later, claim_request(2, &used_key));
    assert_eq!(joined, Vec::new());
}

/// Guards against double execution under issued keys. A key is granted to one request at a time
/// and never after something was sent under it; a claim is denied as expired only if nothing was
/// sent under the key, and such a key is never granted afterwards.
#[test]
fn random_histories_run_each_issued_key_at_most_once() {
    for seed in 0..HISTORY_COUNT {
        run_history(seed);
    }
}

#[derive(Default)]
struct KeyModel {
    key: Option<IdempotencyKey>,
    running: Option<RequestId>,
    sent: bool,
    refused: bool,
}

fn run_history(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut table = table_with_limit(6);
    let mut models: Vec<KeyModel> = Vec::new();
    let mut now = MonoTime::from_millis(0);
    for step in 1..120u128 {
        now = now + Duration::from_millis(random.random_range(0..1500));
        let action = random.random_range(0..6);
        if action == 0 || models.is_empty() {
            let key = table.issue(now, &workspace(), step).ok();
            models.extend(key.map(|key| KeyModel {
                key: Some(key),
                ..KeyModel::default()
            }));
            continue;
        }
        let index = random.random_range(0..models.len());
        let running = models[index].running;
        let outputs = match (action, running) {
            (1, Some(request)) => {
                models[index].running = None;
                table.withdraw(now, request)
            }
            (2, Some(request)) => {
                models[index].running = None;
                models[index].sent = true;
                table.finish(now, request, ExecutionVerdict::MayHaveRun, None)
            }
            (3, Some(request)) => {
                models[index].running = None;
                models[index].sent = true;
                let output = Some("paid".to_owned());
                table.finish(now, request, ExecutionVerdict::Ran, output)
            }
            _ => table.claim(
                now,
                claim_request(step, models[index].key.as_ref().unwrap()),
            ),
        };
        for output in outputs {
            check_output(seed, &mut models[index], output);
        }
    }
}

fn check_output(seed: u64, model: &mut KeyModel, output: ClaimOutput) {
    match output {
        ClaimOutput::Granted { request } => {
            assert!(
                model.running.is_none(),
                "seed {seed}: granted while another request holds the key"
            );
            assert!(
                !model.sent && !model.refused,
                "seed {seed}: granted after it ran or was denied as expired"
            );
            model.running = Some(request);
        }
        ClaimOutput::Denied {
            denial: ClaimDenial::Expired,
            ..
        } => {
            assert!(!model.sent, "seed {seed}: denied as expired after it ran");
            model.refused = true;
        }
        ClaimOutput::Replayed { .. } => assert!(model.sent, "seed {seed}: replayed before it ran"),
        ClaimOutput::Denied { denial, .. } => {
            assert!(
                matches!(denial, ClaimDenial::Taken(_)),
                "seed {seed}: unexpected denial {denial:?}"
            );
        }
        ClaimOutput::Store { .. } | ClaimOutput::AskHost { .. } => {
            panic!("seed {seed}: an issued key must not use the table service or other hosts");
        }
    }
}
