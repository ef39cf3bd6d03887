//! Proxy on loopback that forwards connections at the rate of a slow link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until};

/// Most bytes forwarded at a time.
const CHUNK_BYTES: usize = 8 * 1024;

/// Link that carries a number of bytes per second in the order in which they arrive.
pub struct SlowLink {
    bytes_per_second: f64,
    /// Time at which the bytes sent so far have passed.
    free_at: Mutex<Instant>,
}

impl SlowLink {
    /// Creates a link with a rate in Mbit/s.
    pub fn new(mbps: f64) -> Arc<Self> {
        Arc::new(Self {
            bytes_per_second: mbps * 125_000.0,
            free_at: Mutex::new(Instant::now()),
        })
    }

    /// Waits until a number of bytes has passed the link.
    async fn pass(&self, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let passed_at = {
            let mut free_at = self.free_at.lock().await;
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(passed_at).await;
    }
}

/// Forwards bytes that have passed one link after another.
async fn forward(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    links: &[Arc<SlowLink>],
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        for link in links {
            link.pass(count).await;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}

/// Forwards connections to `target`; what it sends passes its own link and one of
/// `receiver_mbps` per connection. Returns the address of the proxy.
pub async fn serve_slow(
    target: SocketAddr,
    sender: Arc<SlowLink>,
    receiver_mbps: f64,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (client, _) = listener.accept().await.unwrap();
            let links = [Arc::clone(&sender), SlowLink::new(receiver_mbps)];
            tokio::spawn(async move {
                let Ok(server) = TcpStream::connect(target).await else {
                    return;
                };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let (mut client_read, client_write) = client.into_split();
                let (server_read, mut server_write) = server.into_split();
                // Either direction ends the connection, as a process that exits does.
                tokio::select! {
                    _ = copy(&mut client_read, &mut server_write) => {}
                    () = forward(server_read, client_write, &links) => {}
                }
            });
        }
    });
    address
}
