//! A TCP proxy in front of the store, whose link can be cut: it then delivers nothing in either direction.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

pub struct Proxy {
    pub address: SocketAddr,
    is_cut: AtomicBool,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let proxy = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            is_cut: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&proxy);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let proxy = Arc::clone(&accepting);
                thread::spawn(move || proxy.forward(near, target));
            }
        });
        proxy
    }

    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait_open(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn forward(self: Arc<Self>, near: TcpStream, target: SocketAddr) {
        self.wait_open();
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let back = Arc::clone(&self);
        thread::spawn(move || back.copy(far_copy, near_copy));
        self.copy(near, far);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            self.wait_open();
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}
