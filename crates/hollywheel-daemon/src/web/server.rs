//! HTTP servers that run on their own threads.

use std::fmt;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::Duration;

use socket2::SockRef;
use tokio::runtime;
use tokio::sync::{oneshot, watch};
use xitca_server::Builder;

/// Time after which a connection is closed if its peer acknowledges or reads no data.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Binds a listener. The operating system closes an accepted connection if its peer acknowledges
/// or reads none of the pending data for 10 s.
///
/// # Errors
///
/// Returns the operating system's error, with the address if binding failed.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
    listener.set_nonblocking(true)?;
    // Accepted connections inherit this option from their listener.
    SockRef::from(&listener).set_tcp_user_timeout(Some(STALL_TIMEOUT))?;
    Ok(listener)
}

/// Shuts down a listening socket and every duplicate of it, so that new connections are refused
/// at once instead of waiting in the backlog of a process that no longer accepts.
pub fn close_listener(listener: TcpListener) {
    let socket = TcpStream::from(OwnedFd::from(listener));
    let _ = socket.shutdown(Shutdown::Both);
}

/// How a server is told to shut down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownMode {
    /// No shutdown; the server keeps running.
    None,
    /// Stop accepting and let open connections finish.
    Finish,
    /// End at once.
    Abort,
}

/// Function that tells a server to shut down.
type ShutdownFn = Box<dyn Fn(ShutdownMode) + Send + Sync>;

/// Handle to a running server. Dropping it aborts the server.
pub struct WebServer {
    stop: ShutdownFn,
    ended: oneshot::Receiver<()>,
}

impl fmt::Debug for WebServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WebServer").finish_non_exhaustive()
    }
}

impl WebServer {
    /// Starts a server on a thread of its own. Its listener must already be configured.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the server cannot start.
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
            stop: Box::new(move |mode| handle.stop(mode == ShutdownMode::Finish)),
            ended,
        })
    }

    /// Starts a server that is a future, on worker threads of its own. The future must handle
    /// `ShutdownMode::Finish` itself; on `ShutdownMode::Abort` it is dropped.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the threads cannot start.
    pub fn start_task<F>(
        workers: usize,
        serve: impl FnOnce(watch::Receiver<ShutdownMode>) -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = io::Result<()>>,
    {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(workers)
            .enable_all()
            .build()?;
        let mode_sender = watch::Sender::new(ShutdownMode::None);
        let mut modes = mode_sender.subscribe();
        let (sender, ended) = oneshot::channel();
        std::thread::Builder::new()
            .name("web-server".to_owned())
            .spawn(move || {
                let server = serve(modes.clone());
                runtime.block_on(async {
                    tokio::select! {
                        _ = server => {}
                        _ = modes.wait_for(|mode| *mode == ShutdownMode::Abort) => {}
                    }
                });
                runtime.shutdown_background();
                let _ = sender.send(());
            })?;
        Ok(Self {
            stop: Box::new(move |mode| {
                mode_sender.send_replace(mode);
            }),
            ended,
        })
    }

    /// Waits until the server ends without having been told to, which is a failure.
    pub async fn ended(&mut self) {
        let _ = (&mut self.ended).await;
    }

    /// Shuts down gracefully and returns whether all open connections finished within `timeout`.
    pub async fn stop(mut self, timeout: Duration) -> bool {
        (self.stop)(ShutdownMode::Finish);
        tokio::time::timeout(timeout, &mut self.ended).await.is_ok()
    }
}

impl Drop for WebServer {
    fn drop(&mut self) {
        (self.stop)(ShutdownMode::Abort);
    }
}
