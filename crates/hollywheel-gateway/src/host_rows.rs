//! This host's row in the store, through which the other hosts discover it.

use std::time::Duration;

use prost::Message;

use hollywheel_adapter::StoreCall;
use hollywheel_serving::StoreEra;

use crate::host::{Host, StopPhase};
use crate::store_client::{StoreConnection, StoreFailure};
use crate::store_feed::encode_host;

/// Time-out of a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// First and longest pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(3);
/// Time-out of the removal of the row when the host stops; after it the row stays.
const REMOVE_TIMEOUT: Duration = Duration::from_millis(800);

/// Time over which the hosts spread the writes of their rows after the store was restored from an
/// older copy, to avoid a burst; a start of all hosts is spread as much.
const REWRITE_SPREAD: Duration = Duration::from_millis(500);

/// Writes the host's row in each era of the store. Removes it when the graceful stop begins, so
/// that the other hosts stop selecting this one as a coordinator or reader.
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

/// Writes the row, and writes it again whenever a later era of the store becomes known.
async fn write_rows(host: &Host, connection: &mut StoreConnection) {
    loop {
        let era = write_row(host, connection).await;
        host.wait_for_later_era(era).await;
        let fraction = (host.next_tie_breaker() >> 32) as f64 / f64::from(u32::MAX);
        tokio::time::sleep(REWRITE_SPREAD.mul_f64(fraction)).await;
    }
}

/// Writes the host's row, with retries; returns the era of the store that has it.
async fn write_row(host: &Host, connection: &mut StoreConnection) -> StoreEra {
    let record = host.own_record();
    let call = StoreCall::SetHost {
        key: record.name.to_string(),
        value: encode_host(&record).encode_to_vec(),
    };
    let mut pause = RETRY_PAUSE;
    // The write is idempotent, so it is safe to repeat it after a lost answer.
    loop {
        if let Ok(answer) = connection.call(&call, WRITE_TIMEOUT).await {
            return answer.place.era;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

/// Removes the host's row with a single attempt.
async fn remove_row(host: &Host, connection: &mut StoreConnection) {
    let call = StoreCall::RemoveHost {
        key: host.settings().host.to_string(),
    };
    // A row that was not removed costs each other host one failed connection.
    let _: Result<_, StoreFailure> = connection.call(&call, REMOVE_TIMEOUT).await;
}
