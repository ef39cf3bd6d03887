//! Keys that a process issued.

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

const HISTORIES: u64 = 2000;

fn workspace() -> WorkspaceId {
    "clerks".parse().unwrap()
}

fn order(request: u128, key: &IdempotencyKey) -> ClaimRequest {
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

fn table(max_issued: usize) -> ClaimTable {
    ClaimTable::new(ClaimSettings {
        max_issued,
        issued_ttl: Duration::from_secs(4),
        issued_retain: Duration::from_secs(8),
        ..ClaimSettings::default()
    })
}

#[test]
fn longest_key_is_within_the_limit_and_is_read_back() {
    let key = IssuedKey {
        host: "h".repeat(64).parse::<HostId>().unwrap(),
        incarnation: Incarnation(u64::MAX),
        second: u32::MAX,
        random: u128::MAX,
    };
    assert_eq!(key.key().as_str().len(), 128);
    assert_eq!(IssuedKey::read(&key.key()), Some(key));
    let own = [
        "k1",
        "issue:a:1:00",
        "issue:a:01:0000000000000000000000000000000000000001",
    ];
    for text in own {
        let key = text.parse().unwrap();
        assert_eq!(table(1).holder_of(&key), KeyAuthority::Row, "{text}");
    }
}

#[test]
fn full_table_issues_nothing_and_forgets_nothing() {
    let mut table = table(2);
    let start = MonoTime::from_millis(0);
    let used = table.issue(start, &workspace(), 1).unwrap();
    table.issue(start, &workspace(), 2).unwrap();
    let granted = table.claim(start, order(1, &used));
    assert_eq!(granted.len(), 1);
    assert!(table.issue(start, &workspace(), 3).is_err());
    let later = start + Duration::from_secs(5);
    table.issue(later, &workspace(), 4).unwrap();
    // The key in use is remembered however long it takes.
    let much_later = start + Duration::from_secs(500);
    let joined = table.claim(much_later, order(2, &used));
    assert_eq!(joined, Vec::new());
}

/// Checks a random history: a key is granted to one request at a time and never after something
/// was sent under it; "not run" is said of a key only while nothing was sent, and never after
/// `expired` was said is it granted.
#[test]
fn random_histories_run_each_key_once() {
    for seed in 0..HISTORIES {
        history(seed);
    }
}

#[derive(Default)]
struct KeyModel {
    key: Option<IdempotencyKey>,
    running: Option<RequestId>,
    sent: bool,
    refused: bool,
}

fn history(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut table = table(6);
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
        let at = random.random_range(0..models.len());
        let running = models[at].running;
        let outputs = match (action, running) {
            (1, Some(request)) => {
                models[at].running = None;
                table.withdraw(now, request)
            }
            (2, Some(request)) => {
                models[at].running = None;
                models[at].sent = true;
                table.finish(now, request, ExecutionVerdict::MayHaveRun, None)
            }
            (3, Some(request)) => {
                models[at].running = None;
                models[at].sent = true;
                let output = Some("paid".to_owned());
                table.finish(now, request, ExecutionVerdict::Ran, output)
            }
            _ => table.claim(now, order(step, models[at].key.as_ref().unwrap())),
        };
        for output in outputs {
            check(seed, &mut models[at], output);
        }
    }
}

fn check(seed: u64, model: &mut KeyModel, output: ClaimOutput) {
    match output {
        ClaimOutput::Granted { request } => {
            assert!(model.running.is_none(), "seed {seed}: granted twice");
            assert!(!model.sent && !model.refused, "seed {seed}: granted again");
            model.running = Some(request);
        }
        ClaimOutput::Denied {
            denial: ClaimDenial::Expired,
            ..
        } => {
            assert!(
                !model.sent,
                "seed {seed}: not-run was said of a key that ran"
            );
            model.refused = true;
        }
        ClaimOutput::Replayed { .. } => assert!(model.sent, "seed {seed}: replayed"),
        ClaimOutput::Denied { denial, .. } => {
            assert!(
                matches!(denial, ClaimDenial::Taken(_)),
                "seed {seed}: {denial:?}"
            );
        }
        ClaimOutput::Store { .. } | ClaimOutput::AskHost { .. } => {
            panic!("seed {seed}: an issued key needs nobody else");
        }
    }
}
