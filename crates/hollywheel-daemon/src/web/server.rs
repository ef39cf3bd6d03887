//! Running of a listener in its own threads.

use std::fmt;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::Duration;

use socket2::SockRef;
use tokio::sync::oneshot;
use xitca_server::Builder;

/// Closes connections whose peer takes no bytes of an answer.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Binds an address for listening. Connections whose peer acknowledges nothing, or reads nothing
/// of what waits for it, are closed by the system after 10 s.
///
/// # Errors
///
/// Returns the error of the system with the address.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
    listener.set_nonblocking(true)?;
    // Accepted connections inherit it from their listener.
    SockRef::from(&listener).set_tcp_user_timeout(Some(STALL_TIMEOUT))?;
    Ok(listener)
}

/// Ends the listening of a socket and of every copy of it, so that callers are refused at once
/// instead of waiting for a process that accepts no more.
pub fn close_listener(listener: TcpListener) {
    let socket = TcpStream::from(OwnedFd::from(listener));
    let _ = socket.shutdown(Shutdown::Both);
}

/// Orders a server to stop; the flag lets open connections finish.
type StopOrder = Box<dyn Fn(bool) + Send + Sync>;

/// Owns a running server. Dropping it stops the server without waiting.
pub struct WebServer {
    stop: StopOrder,
    ended: oneshot::Receiver<()>,
}

impl fmt::Debug for WebServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WebServer").finish_non_exhaustive()
    }
}

impl WebServer {
    /// Starts a server that has been given its listener.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the server cannot start.
    pub fn start(server: Builder) -> io::Result<Self> {
        let mut future = server.build();
        let handle = future.handle()?;
        let (sender, ended) = oneshot::channel();
        std::thread::Builder::new()
            .name("web-server".to_owned())
            .spawn(move || {
                let _ = future.wait();
                let _ = sender.send(());
            })?;
        Ok(Self {
            stop: Box::new(move |graceful| handle.stop(graceful)),
            ended,
        })
    }

    /// Waits until the server ends by itself, which is a failure.
    pub async fn ended(&mut self) {
        let _ = (&mut self.ended).await;
    }

    /// Stops accepting, lets open connections finish within the bound and says whether they did.
    pub async fn stop(mut self, bound: Duration) -> bool {
        (self.stop)(true);
        tokio::time::timeout(bound, &mut self.ended).await.is_ok()
    }
}

impl Drop for WebServer {
    fn drop(&mut self) {
        (self.stop)(false);
    }
}
