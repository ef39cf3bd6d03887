//! How calls end, told by a listener that answers as the test says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hollywheel_platform::{PlatformClient, PlatformError, PlatformService, PlatformSettings};
use hollywheel_store::{StoreFailure, StoreRequest, TableName};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_millis(500);

/// Says what the listener does with the n-th request of a connection.
#[derive(Clone, Copy)]
enum Reaction {
    Answer(&'static str),
    Cut,
    Silence,
}

async fn start_listener(reactions: Vec<Reaction>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let received = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let received = Arc::clone(&received);
            let reactions = reactions.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                    let at = received.fetch_add(1, Ordering::SeqCst);
                    match reactions.get(at).copied().unwrap_or(Reaction::Cut) {
                        Reaction::Answer(text) => stream.write_all(text.as_bytes()).await.unwrap(),
                        Reaction::Cut => return,
                        Reaction::Silence => {}
                    }
                }
            });
        }
    });
    (address, count)
}

fn client_of(address: SocketAddr) -> PlatformClient {
    PlatformClient::new(PlatformSettings {
        address,
        ..PlatformSettings::default()
    })
}

fn read_head() -> StoreRequest {
    StoreRequest::Read {
        table: TableName::ConfigHead,
        keys: vec!["head".to_owned()],
    }
}

#[tokio::test]
async fn each_end_of_a_table_call_is_told_apart() {
    let rows = "HTTP/1.1 200 OK\r\ncontent-length: 26\r\n\r\n{\"reply\":\"rows\",\"rows\":[]}";
    let refused = "HTTP/1.1 503 Busy\r\nhollywheel-not-run: true\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n";
    let failed = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
    let torn = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n{\"re";
    let cases = [
        ("answered", Reaction::Answer(rows)),
        ("refused as not run", Reaction::Answer(refused)),
        ("failed", Reaction::Answer(failed)),
        ("torn body", Reaction::Answer(torn)),
        ("cut", Reaction::Cut),
        ("silent", Reaction::Silence),
    ];
    let mut lines = Vec::new();
    for (name, reaction) in cases {
        let (address, _) = start_listener(vec![reaction]).await;
        let result = client_of(address).table(read_head(), TIMEOUT).await;
        lines.push(format!("{name}: {result:?}"));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test]
async fn a_refused_connection_had_no_effect() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let result = client_of(address).table(read_head(), TIMEOUT).await;
    assert!(matches!(result, Err(StoreFailure::Refused { .. })));
}

#[tokio::test]
async fn a_reused_connection_that_dies_is_not_used_again() {
    let rows = "HTTP/1.1 200 OK\r\ncontent-length: 26\r\n\r\n{\"reply\":\"rows\",\"rows\":[]}";
    let (address, count) = start_listener(vec![Reaction::Answer(rows), Reaction::Cut]).await;
    let client = client_of(address);
    assert!(client.table(read_head(), TIMEOUT).await.is_ok());
    let second = client.table(read_head(), TIMEOUT).await;
    assert_eq!(second, Err(StoreFailure::Unknown));
    assert_eq!(count.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn a_missing_object_is_named() {
    let missing = "HTTP/1.1 404 Missing\r\ncontent-length: 0\r\n\r\n";
    let (address, _) = start_listener(vec![Reaction::Answer(missing)]).await;
    let result = client_of(address)
        .get_object("config/7".to_owned(), TIMEOUT)
        .await;
    assert_eq!(
        result,
        Err(PlatformError::Missing {
            name: "config/7".to_owned()
        })
    );
}
