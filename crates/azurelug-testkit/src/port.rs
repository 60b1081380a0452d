//! Ports for daemons that a test starts as processes of their own.

use std::net::{IpAddr, TcpListener};
use std::ops::Range;

use rand::RngExt;

/// Ports below those that the kernel hands out by itself: a port that is free now could otherwise
/// become another connection's before the daemon listens on it.
const PORTS: Range<u16> = 10_000..32_000;

/// Finds a port that is free on all of `addresses`.
#[must_use]
pub fn free(addresses: &[IpAddr]) -> u16 {
    loop {
        let port = rand::rng().random_range(PORTS);
        let mut addresses = addresses.iter();
        if addresses.all(|address| TcpListener::bind((*address, port)).is_ok()) {
            return port;
        }
    }
}
