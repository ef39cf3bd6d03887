//! Measures the memory of issued keys and the time to issue, claim and settle one.

use std::time::{Duration, Instant};

use hollywheel_claims::{ClaimKey, ClaimRequest, ClaimSettings, ClaimTable};
use hollywheel_types::{
    AttemptNonce, BodyDigest, ExecutionVerdict, MonoTime, RequestId, WallTime, WorkspaceId,
};

const WORKSPACES: usize = 40;
const ANSWER_BYTES: usize = 64;

/// Virtual time between two keys: short enough that the table reaches its limit before the first
/// key is evicted.
const ISSUE_INTERVAL: Duration = Duration::from_millis(9);

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
}

fn main() {
    let settings = ClaimSettings::default();
    let max_keys = settings.max_issued_keys;
    let mut table = ClaimTable::new(settings);
    let workspaces: Vec<WorkspaceId> = (0..WORKSPACES)
        .map(|number| format!("workspace-{number}").parse().expect("a valid name"))
        .collect();
    let initial_bytes = resident_bytes();
    let mut now = MonoTime::from_millis(0);
    let mut slowest = Duration::ZERO;
    let start = Instant::now();
    let mut keys: u32 = 0;
    for number in 0..max_keys {
        now = now + ISSUE_INTERVAL;
        let begin = Instant::now();
        let workspace = &workspaces[number % WORKSPACES];
        let random = (number as u128).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
        let Ok(key) = table.issue(now, workspace, random) else {
            break;
        };
        let request = RequestId(number as u128);
        let claim = ClaimRequest {
            request,
            key: ClaimKey {
                workspace: workspace.clone(),
                key,
            },
            digest: BodyDigest(1),
            nonce: AttemptNonce(1),
            claimed_at: WallTime(0),
            deadline: now + Duration::from_secs(3),
        };
        table.claim(now, claim);
        let output = Some("x".repeat(ANSWER_BYTES));
        table.finish(now, request, ExecutionVerdict::Ran, output);
        slowest = slowest.max(begin.elapsed());
        keys += 1;
    }
    let total_time = start.elapsed();
    let bytes = resident_bytes().saturating_sub(initial_bytes);
    println!(
        "{keys} keys with answers of {ANSWER_BYTES} bytes: {} bytes a key, {:.1} us a key, slowest {:.0} us",
        bytes / u64::from(keys),
        total_time.as_secs_f64() * 1e6 / f64::from(keys),
        slowest.as_secs_f64() * 1e6,
    );
}
