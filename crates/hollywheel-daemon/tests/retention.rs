//! Tests of the sweep of old rows over a connection to the platform.

mod support;

use std::sync::Arc;
use std::time::Duration;

use hollywheel_claims::{ClaimRow, ClaimState};
use hollywheel_daemon::metrics::DaemonMetrics;
use hollywheel_daemon::peers::HostDirectory;
use hollywheel_daemon::retention::RetentionTask;
use hollywheel_daemon::{HostClock, HostPhase};
use hollywheel_membership::{MemberRecord, MemberState};
use hollywheel_platform::{PlatformClient, PlatformService};
use hollywheel_retention::RetentionSettings;
use hollywheel_standins::{PlatformSettings, start_platform};
use hollywheel_store::{StoreOp, StoreReply, StoreRequest, TableName, TxnMode};
use hollywheel_types::{
    AttemptNonce, BodyDigest, ConfigVersion, ExecutionVerdict, Incarnation, RequestId, WallTime,
};
use support::wait_for;
use tokio::sync::watch;

const TIMEOUT: Duration = Duration::from_secs(5);

fn row(key: &str, state: ClaimState, claimed_at: WallTime) -> StoreOp {
    let claim = ClaimRow {
        nonce: AttemptNonce(1),
        host: "entry-1".parse().unwrap(),
        incarnation: Incarnation(1),
        request: RequestId(1),
        digest: BodyDigest(1),
        claimed_at,
        state,
        verdict: ExecutionVerdict::Ran,
        output: None,
    };
    StoreOp::Insert {
        table: TableName::Claim,
        key: key.to_owned(),
        value: claim.to_value(),
    }
}

fn record() -> MemberRecord {
    MemberRecord {
        host: "entry-1".parse().unwrap(),
        incarnation: Incarnation(1),
        refutation: 0,
        domain: "medeu".parse().unwrap(),
        region: "almaty".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: MemberState::Alive,
        config_version: ConfigVersion(0),
    }
}

async fn keys(platform: &PlatformClient) -> Vec<String> {
    let request = hollywheel_claims::list_request("", 100);
    match platform.table(request, TIMEOUT).await {
        Ok(StoreReply::Rows { rows }) => rows.into_iter().map(|row| row.key).collect(),
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn old_claims_are_removed_from_the_platform() {
    let standin = start_platform(PlatformSettings::default()).await.unwrap();
    let platform = PlatformClient::new(hollywheel_platform::PlatformSettings {
        address: standin.address(),
        ..hollywheel_platform::PlatformSettings::default()
    });
    let clock = HostClock::start();
    let old = WallTime(clock.wall().0 - 25 * 3_600_000);
    let ops = vec![
        row("w/old", ClaimState::Settled, old),
        row("w/open", ClaimState::Open, old),
        row("w/young", ClaimState::Settled, clock.wall()),
    ];
    let mode = TxnMode::Independent;
    platform
        .table(StoreRequest::Txn { mode, ops }, TIMEOUT)
        .await
        .unwrap();
    let directory = Arc::new(HostDirectory::default());
    directory.replace(vec![record()]);
    let metrics = Arc::new(DaemonMetrics::new());
    let (_phase, phase) = watch::channel(HostPhase::Serving);
    let task = RetentionTask {
        settings: RetentionSettings {
            host: "entry-1".parse().unwrap(),
            claim_retention: Duration::from_secs(24 * 3600),
            start_delay: Duration::ZERO,
            ..RetentionSettings::default()
        },
        clock,
        directory,
        platform: Arc::new(platform.clone()),
        metrics: Arc::clone(&metrics),
        phase,
    };
    let run = tokio::spawn(task.run());
    wait_for("the old claim gone", async || {
        keys(&platform).await == ["w/open", "w/young"]
    })
    .await;
    wait_for("the counts", async || {
        let text = metrics.text();
        text.contains("hollywheel_rows_removed_total{kind=\"claim\"} 1")
            && text.contains("hollywheel_claim_passes_total 1")
    })
    .await;
    run.abort();
}
