//! Ports for daemons that a test starts as processes of their own.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::sync::atomic::{AtomicU32, Ordering};

use socket2::{Domain, Socket, Type};

/// Ports below those that the kernel hands out by itself: a port that is free now could otherwise
/// become another connection's before the daemon listens on it.
const PORTS: Range<u32> = 10_000..32_000;

/// Distance between the first ports of two processes.
const PROCESS_STRIDE: u32 = 997;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Finds a port that is free on all of `addresses`. It is given to no other caller in this process.
#[must_use]
pub fn free(addresses: &[IpAddr]) -> u16 {
    let first = std::process::id().wrapping_mul(PROCESS_STRIDE);
    loop {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + offset % (PORTS.end - PORTS.start);
        let port = u16::try_from(port).expect("the range ends below 65,536");
        let mut addresses = addresses.iter();
        if addresses.all(|address| probe(SocketAddr::new(*address, port)).is_ok()) {
            return port;
        }
    }
}

/// Fails if a socket listens on an address. Does not listen itself: a process that another thread
/// starts meanwhile has a copy of the socket for a moment, and a copy that listens would keep the
/// daemon from doing so.
fn probe(address: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}
