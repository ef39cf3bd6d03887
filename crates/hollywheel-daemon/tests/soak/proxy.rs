//! Loopback proxy that injects connection faults.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
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

/// Proxy in front of one address. It stops to accept connections once it is dropped.
pub struct LinkProxy {
    /// The address on which the proxy listens.
    pub address: SocketAddr,
    state: Arc<LinkState>,
}

/// State that a proxy shares with its threads.
struct LinkState {
    mode: Mutex<LinkMode>,
    closed: AtomicBool,
    /// The sockets of open connections; the threads that copy their data own them.
    open: Mutex<Vec<Weak<TcpStream>>>,
}

impl LinkProxy {
    /// Starts a proxy in front of an address.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(LinkState {
            mode: Mutex::new(LinkMode::Pass),
            closed: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let accepting = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.closed.load(Ordering::SeqCst) {
                    return;
                }
                Arc::clone(&accepting).join(stream, target);
            }
        });
        Self { address, state }
    }

    /// Changes the treatment of open and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        *self.state.mode.lock().unwrap() = mode;
        if mode == LinkMode::Reset {
            let open = std::mem::take(&mut *self.state.open.lock().unwrap());
            for stream in open.iter().filter_map(Weak::upgrade) {
                let _ = reset(&stream);
            }
        }
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.set_mode(LinkMode::Reset);
        self.state.closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }
}

impl LinkState {
    fn mode(&self) -> LinkMode {
        *self.mode.lock().unwrap()
    }

    fn join(self: Arc<Self>, near: TcpStream, target: SocketAddr) {
        if self.mode() == LinkMode::Reset {
            let _ = reset(&near);
            return;
        }
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let (near, far) = (Arc::new(near), Arc::new(far));
        {
            let mut open = self.open.lock().unwrap();
            open.retain(|stream| stream.strong_count() > 0);
            open.extend([&near, &far].map(Arc::downgrade));
        }
        let (there, back) = (Arc::clone(&self), self);
        let (near_in, far_in) = (Arc::clone(&near), Arc::clone(&far));
        thread::spawn(move || there.copy(&near_in, &far, true));
        thread::spawn(move || back.copy(&far_in, &near, false));
    }

    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, is_request: bool) {
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
