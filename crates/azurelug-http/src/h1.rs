//! HTTP/1.1 on single connections, for uses that need details that `volo-http` hides.
//!
//! A gateway has to know whether a request was sent, when a client closed its connection, and on
//! which connection an answer arrived. Client and server use `hyper`'s connection types, on which
//! `volo-http` is based too.

pub mod client;
pub mod server;

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Sets the socket options of every connection: no delay of small writes (`TCP_NODELAY`), and the
/// end of a connection whose peer has acknowledged nothing for `silence` (`TCP_USER_TIMEOUT`).
///
/// # Errors
/// If an option can't be set.
pub fn prepare(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(silence))
}
