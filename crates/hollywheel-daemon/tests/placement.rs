//! Tests of the placement of models on engines.

mod support;

use hollywheel_standins::{EngineSettings, LedgerEvent, start_engine};
use support::{TestHost, objects, wait_for};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_without_its_model_is_told_to_load_it_once() {
    let host = TestHost::start().await;
    let empty = start_engine(EngineSettings {
        name: "engine-1".to_owned(),
        ..EngineSettings::default()
    });
    let empty = empty.await.unwrap();
    let [encoder, service] = [&host.encoder, &host.service].map(|standin| standin.address());
    let text = objects(empty.address(), encoder, service);
    let published = host.publish(1, &text).await;
    assert_eq!(published.status, 200, "{}", published.text());
    wait_for("an accepted order", async || {
        let ledger = empty.ledger();
        ledger
            .iter()
            .any(|entry| entry.event == LedgerEvent::OrderAccepted)
    })
    .await;
    wait_for("a draft from the new engine", async || {
        host.post("summary", r#"{"input":"x"}"#).await.status == 200
    })
    .await;
    let ledger = empty.ledger();
    let orders = ledger
        .iter()
        .filter(|entry| entry.event == LedgerEvent::OrderAccepted);
    assert_eq!(orders.count(), 1);
    assert!(host.stop().await);
}
