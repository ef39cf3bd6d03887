//! TCP sockets: connecting, listening, accepting, and the options of every connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::host::Host;
use crate::log::log_line;

/// Time after which a connection with unacknowledged data is closed. A packet lost on a lossy link
/// is retransmitted within some hundred milliseconds; request deadlines are seconds.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum number of connections waiting to be accepted. Beyond it the kernel drops the SYN packet,
/// which the client repeats only after a second.
const LISTEN_BACKLOG: u32 = 1024;
/// Maximum number of header lines of a request or an answer, whose heads are limited in bytes
/// besides. The HTTP library prepares that many entries for each head, which costs processor time.
pub(crate) const MAX_HEADER_LINES: usize = 256;

/// Sets the options that every connection has.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}

/// Opens a connection within a time limit.
///
/// # Errors
///
/// Returns the error of the connection, or `TimedOut` after the limit.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Opens a listener.
///
/// # Errors
///
/// Returns the error of the socket, with the address in its message.
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

/// Accepts a connection. Errors are logged, and accepting continues after a pause.
pub(crate) async fn accept(host: &Host, listener: &TcpListener) -> TcpStream {
    /// Pause after a failed accept, in which file descriptors can become free.
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
