//! Closes a listener without resetting connections.
//!
//! Closing a listener resets the connections that the kernel has established and that were not
//! accepted, and their clients can't tell whether a request that they have sent was run. No order of
//! accepting and closing avoids this alone, because connections are established between the two.

use std::io::{self, ErrorKind};
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout_at};

/// Time for handshakes that have begun. A round trip within a region takes a few milliseconds.
const HANDSHAKE_TIME: Duration = Duration::from_millis(20);

/// Offset of the flags in the header of a TCP segment, in bytes.
const FLAGS_OFFSET: u32 = 13;

const SYN: u32 = 0x02;
const ACK: u32 = 0x10;

// Instructions of the classic packet filter, `linux/bpf_common.h`.
const LOAD_BYTE: u16 = 0x30;
const AND: u16 = 0x54;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// Lets the kernel drop segments that open a connection. Clients send them again after a second, and
/// are refused once the listener is closed. Handshakes that have begun can end.
fn stop_handshakes(listener: &TcpListener) -> io::Result<()> {
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    SockRef::from(listener).attach_filter(&filter)
}

/// Closes the listener. `open` gets the connections that are established until then.
pub(super) async fn close(listener: TcpListener, mut open: impl FnMut(TcpStream)) {
    if let Err(error) = stop_handshakes(&listener) {
        log::warn!("http: connections may be reset when the listener closes: {error}");
    }
    let handshakes_end = Instant::now() + HANDSHAKE_TIME;
    while let Ok(accepted) = timeout_at(handshakes_end, listener.accept()).await {
        match accepted {
            Ok((stream, _)) => open(stream),
            Err(error) => {
                log::warn!("http: accept failed while the listener closes: {error}");
                break;
            }
        }
    }
    if let Err(error) = accept_established(listener, open) {
        log::warn!("http: connections were reset with the listener: {error}");
    }
}

/// Accepts the connections that the kernel has established. Asks the kernel itself, because the
/// runtime reports new connections later.
fn accept_established(listener: TcpListener, mut open: impl FnMut(TcpStream)) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                open(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            // The client has left before it was accepted.
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}
