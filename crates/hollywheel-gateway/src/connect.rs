//! Sockets: how they are opened, and what ends one that has gone silent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::host::Host;
use crate::log::log_line;

/// Data that is not acknowledged for this time ends a connection. A lossy link repeats a packet
/// within some hundred milliseconds; deadlines are seconds.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Connections that wait to be accepted; an opening packet beyond them is repeated only after a
/// second.
const LISTEN_BACKLOG: u32 = 1024;

/// Sets the options that every connection has.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}

/// Opens a connection within a time limit.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Opens a listener; its error names the address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    open_listener(address)
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))
}

fn open_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts a connection; an error that concerns one connection only is passed over after a
/// pause.
pub(crate) async fn accept(host: &Host, listener: &TcpListener) -> TcpStream {
    /// Time for descriptors to become free when none is left.
    const PAUSE: Duration = Duration::from_millis(20);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match set_socket_options(&stream) {
                Ok(()) => return stream,
                Err(error) => log_line!(host, warn, AcceptFailed, detail = %error),
            },
            Err(error) => {
                log_line!(host, warn, AcceptFailed, detail = %error);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
