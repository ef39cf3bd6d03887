//! Running of a listener in its own threads.

use std::fmt;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::Duration;

use socket2::SockRef;
use tokio::runtime;
use tokio::sync::{oneshot, watch};
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

/// Says whether a server goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOrder {
    /// It goes on.
    None,
    /// It accepts no more and lets open connections finish.
    Finish,
    /// It ends at once.
    Abort,
}

type StopSwitch = Box<dyn Fn(StopOrder) + Send + Sync>;

/// Owns a running server. Dropping it stops the server without waiting.
pub struct WebServer {
    stop: StopSwitch,
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
            stop: Box::new(move |order| handle.stop(order == StopOrder::Finish)),
            ended,
        })
    }

    /// Starts a server that is a future, on worker threads of its own. It is told to finish;
    /// an abort drops it.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the threads cannot start.
    pub fn start_task<F>(
        workers: usize,
        serve: impl FnOnce(watch::Receiver<StopOrder>) -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = io::Result<()>>,
    {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(workers)
            .enable_all()
            .build()?;
        let switch = watch::Sender::new(StopOrder::None);
        let mut orders = switch.subscribe();
        let (sender, ended) = oneshot::channel();
        std::thread::Builder::new()
            .name("web-server".to_owned())
            .spawn(move || {
                let server = serve(orders.clone());
                runtime.block_on(async {
                    tokio::select! {
                        _ = server => {}
                        _ = orders.wait_for(|order| *order == StopOrder::Abort) => {}
                    }
                });
                runtime.shutdown_background();
                let _ = sender.send(());
            })?;
        Ok(Self {
            stop: Box::new(move |order| {
                switch.send_replace(order);
            }),
            ended,
        })
    }

    /// Waits until the server ends by itself, which is a failure.
    pub async fn ended(&mut self) {
        let _ = (&mut self.ended).await;
    }

    /// Stops accepting, lets open connections finish within the bound and says whether they did.
    pub async fn stop(mut self, bound: Duration) -> bool {
        (self.stop)(StopOrder::Finish);
        tokio::time::timeout(bound, &mut self.ended).await.is_ok()
    }
}

impl Drop for WebServer {
    fn drop(&mut self) {
        (self.stop)(StopOrder::Abort);
    }
}
