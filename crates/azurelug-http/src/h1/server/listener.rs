//! Closes a listener without resetting connections.
//!
//! Closing a listener resets the connections that the kernel has established and that were not
//! accepted, and their clients can't tell whether a request that they have sent was run. No order of
//! accepting and closing avoids this alone, because connections are established between the two.

use std::io::{self, ErrorKind};
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};

/// Time for handshakes that have begun. A round trip within a region takes a few milliseconds.
pub(super) const HANDSHAKE_TIME: Duration = Duration::from_millis(20);

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
pub(super) fn stop_handshakes(listener: &TcpListener) -> io::Result<()> {
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    SockRef::from(listener).attach_filter(&filter)
}

/// Closes the listener and returns the connections that the kernel has established. Asks the kernel
/// itself, because the runtime reports new connections later.
pub(super) fn close(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut streams = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                streams.push(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(streams),
            // The client has left before it was accepted.
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => {
                log::warn!("http: accept failed while the listener closes: {error}");
                return Ok(streams);
            }
        }
    }
}
