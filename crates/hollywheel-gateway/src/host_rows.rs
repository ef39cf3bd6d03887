//! The row by which the other hosts learn of this one.

use std::time::Duration;

use prost::Message;

use hollywheel_adapter::StoreCall;
use hollywheel_serving::StoreEra;

use crate::host::{Host, StopPhase};
use crate::store_client::{StoreConnection, StoreFailure};
use crate::store_feed::write_host;

/// The longest time to wait for the answer to a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The first pause after a failed write, and the longest one.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(3);
/// While the host stops, the row is removed within this time or stays.
const REMOVE_TIMEOUT: Duration = Duration::from_millis(800);

/// Once the store has come back older all hosts write their rows again, spread over this time, as
/// much as a start of all of them is spread.
const REWRITE_SPREAD: Duration = Duration::from_millis(500);

/// Writes the host's row in each era of the store, and removes it when the graceful stop begins,
/// so that no duty is given to this host any more.
pub(crate) async fn maintain_row(host: Host) {
    let mut connection = StoreConnection::new(&host);
    tokio::select! {
        () = write_rows(&host, &mut connection) => {}
        () = host.wait_for_stop(StopPhase::Leaving) => {}
    }
    host.wait_for_stop(StopPhase::Leaving).await;
    remove_row(&host, &mut connection).await;
    std::future::pending::<()>().await;
}

async fn write_rows(host: &Host, connection: &mut StoreConnection) {
    loop {
        let era = write_row(host, connection).await;
        host.wait_for_later_era(era).await;
        let fraction = (host.next_tie_breaker() >> 32) as f64 / f64::from(u32::MAX);
        tokio::time::sleep(REWRITE_SPREAD.mul_f64(fraction)).await;
    }
}

/// Writes the host's row; returns the era in which the store has it.
async fn write_row(host: &Host, connection: &mut StoreConnection) -> StoreEra {
    let record = host.own_record();
    let call = StoreCall::SetHost {
        key: record.name.to_string(),
        value: write_host(&record).encode_to_vec(),
    };
    let mut pause = RETRY_PAUSE;
    // The write has the same effect each time, so a lost answer is no reason not to repeat it.
    loop {
        if let Ok(answer) = connection.call(&call, WRITE_TIMEOUT).await {
            return answer.place.era;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

async fn remove_row(host: &Host, connection: &mut StoreConnection) {
    let call = StoreCall::RemoveHost {
        key: host.settings().host.to_string(),
    };
    // A row that stays costs the other hosts one failed connection.
    let _: Result<_, StoreFailure> = connection.call(&call, REMOVE_TIMEOUT).await;
}
