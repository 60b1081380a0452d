//! HTTP/1.1 on single connections, for uses that need details that `volo-http` hides.
//!
//! A gateway has to know whether a request was sent, when a client closed its connection, and on
//! which connection an answer arrived. Client and server use `hyper`'s connection types, on which
//! `volo-http` is based too.

pub mod client;
mod head_limit;
pub mod server;

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Sets the socket options of every connection: no delay of small writes (`TCP_NODELAY`), and the
/// end of a connection whose peer has acknowledged nothing for `ack_timeout` (`TCP_USER_TIMEOUT`).
///
/// # Errors
/// If an option can't be set.
pub fn configure_socket(stream: &TcpStream, ack_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(ack_timeout))
}
