//! Loopback proxy that injects connection faults.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// Delay of data in a delayed direction.
const DELAY: Duration = Duration::from_millis(120);
/// Interval at which a blocked direction checks whether it may continue.
const PAUSE: Duration = Duration::from_millis(10);

/// Treatment of connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkMode {
    /// All data is forwarded.
    Pass,
    /// All data is forwarded with a delay.
    Delay,
    /// Requests are forwarded, answers are not.
    OneWay,
    /// No data is forwarded, and no connection is closed.
    Silent,
    /// Connections are reset.
    Reset,
}

/// Proxy in front of one address.
#[derive(Clone)]
pub struct LinkProxy {
    /// The address on which the proxy listens.
    pub address: SocketAddr,
    mode: Arc<Mutex<LinkMode>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl LinkProxy {
    /// Starts a proxy in front of an address.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            mode: Arc::new(Mutex::new(LinkMode::Pass)),
            open: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepting.join(stream, target);
            }
        });
        proxy
    }

    fn mode(&self) -> LinkMode {
        *self.mode.lock().unwrap()
    }

    /// Changes the treatment of open and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        *self.mode.lock().unwrap() = mode;
        if mode == LinkMode::Reset {
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = reset(&stream);
            }
        }
    }

    fn join(&self, near: TcpStream, target: SocketAddr) {
        if self.mode() == LinkMode::Reset {
            let _ = reset(&near);
            return;
        }
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let copies = [near.try_clone(), far.try_clone()];
        self.open
            .lock()
            .unwrap()
            .extend(copies.into_iter().flatten());
        let (Ok(near_in), Ok(far_in)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let (there, back) = (self.clone(), self.clone());
        thread::spawn(move || there.copy(near_in, far, true));
        thread::spawn(move || back.copy(far_in, near, false));
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, is_request: bool) {
        let mut buffer = [0; 16 * 1024];
        while let Ok(read @ 1..) = from.read(&mut buffer) {
            loop {
                match self.mode() {
                    LinkMode::Pass | LinkMode::Reset => break,
                    LinkMode::OneWay if is_request => break,
                    LinkMode::Delay => {
                        thread::sleep(DELAY);
                        break;
                    }
                    LinkMode::OneWay | LinkMode::Silent => thread::sleep(PAUSE),
                }
            }
            if to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    stream.shutdown(Shutdown::Both)
}
