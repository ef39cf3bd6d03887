//! Checks the addresses that the fixtures reserve for gateways.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::net::{SocketAddr, TcpListener};

use support::free_address;

/// A gateway listens on its address while other threads reserve addresses.
#[test]
fn address_is_in_use_while_another_is_reserved() {
    let reserve_and_listen = || {
        for _ in 0..6 {
            let addresses: Vec<SocketAddr> = (0..150).map(|_| free_address()).collect();
            for address in addresses {
                TcpListener::bind(address).unwrap_or_else(|error| panic!("{address}: {error}"));
            }
        }
    };
    let threads: Vec<_> = (0..8)
        .map(|_| std::thread::spawn(reserve_and_listen))
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
}
