//! Checks the outcomes of calls against a TCP listener with scripted reactions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hollywheel_platform::{PlatformClient, PlatformError, PlatformService, PlatformSettings};
use hollywheel_store::{StoreFailure, StoreRequest, TableName};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

const TIMEOUT: Duration = Duration::from_millis(500);

/// What the listener does with a request.
#[derive(Clone, Copy)]
enum Reaction {
    /// Sends a response.
    Respond(&'static str),
    /// Closes the connection.
    Close,
    /// Sends nothing and keeps the connection open.
    Ignore,
}

/// Starts a listener that applies the reactions to the requests in order of arrival and closes the
/// connection once they are used up. Returns its address and the number of received requests.
async fn start_listener(reactions: Vec<Reaction>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let request_count = Arc::new(AtomicUsize::new(0));
    let received_requests = Arc::clone(&request_count);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let received_requests = Arc::clone(&received_requests);
            let reactions = reactions.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                    let index = received_requests.fetch_add(1, Ordering::SeqCst);
                    match reactions.get(index).copied().unwrap_or(Reaction::Close) {
                        Reaction::Respond(text) => stream.write_all(text.as_bytes()).await.unwrap(),
                        Reaction::Close => return,
                        Reaction::Ignore => {}
                    }
                }
            });
        }
    });
    (address, request_count)
}

fn new_client(address: SocketAddr) -> PlatformClient {
    PlatformClient::new(PlatformSettings {
        address,
        ..PlatformSettings::default()
    })
}

fn read_config_head() -> StoreRequest {
    StoreRequest::Read {
        table: TableName::ConfigHead,
        keys: vec!["head".to_owned()],
    }
}

#[tokio::test]
async fn table_call_outcomes_are_classified() {
    let rows = "HTTP/1.1 200 OK\r\ncontent-length: 26\r\n\r\n{\"reply\":\"rows\",\"rows\":[]}";
    let rejected = "HTTP/1.1 503 Busy\r\nhollywheel-not-run: true\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n";
    let failed = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n{\"re";
    let cases = [
        ("response", Reaction::Respond(rows)),
        ("rejected as not run", Reaction::Respond(rejected)),
        ("server error", Reaction::Respond(failed)),
        ("truncated body", Reaction::Respond(truncated)),
        ("connection closed", Reaction::Close),
        ("time-out", Reaction::Ignore),
    ];
    let mut lines = Vec::new();
    for (name, reaction) in cases {
        let (address, _) = start_listener(vec![reaction]).await;
        let result = new_client(address).table(read_config_head(), TIMEOUT).await;
        lines.push(format!("{name}: {result:?}"));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test]
async fn refused_connection_is_reported_as_no_effect() {
    // A socket that does not listen refuses connections and keeps its port from other tests.
    let unused = TcpSocket::new_v4().unwrap();
    unused.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = unused.local_addr().unwrap();
    assert!(TcpListener::bind(address).await.is_err());
    let result = new_client(address).table(read_config_head(), TIMEOUT).await;
    assert!(matches!(result, Err(StoreFailure::Refused { .. })));
}

#[tokio::test]
async fn call_on_a_closed_pooled_connection_is_not_retried() {
    let rows = "HTTP/1.1 200 OK\r\ncontent-length: 26\r\n\r\n{\"reply\":\"rows\",\"rows\":[]}";
    let (address, request_count) =
        start_listener(vec![Reaction::Respond(rows), Reaction::Close]).await;
    let client = new_client(address);
    assert!(client.table(read_config_head(), TIMEOUT).await.is_ok());
    let second_result = client.table(read_config_head(), TIMEOUT).await;
    assert_eq!(second_result, Err(StoreFailure::Unknown));
    assert_eq!(request_count.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn missing_object_error_names_the_object() {
    let missing = "HTTP/1.1 404 Missing\r\ncontent-length: 0\r\n\r\n";
    let (address, _) = start_listener(vec![Reaction::Respond(missing)]).await;
    let result = new_client(address)
        .get_object("config/7".to_owned(), TIMEOUT)
        .await;
    assert_eq!(
        result,
        Err(PlatformError::Missing {
            name: "config/7".to_owned()
        })
    );
}
