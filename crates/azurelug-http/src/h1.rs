//! HTTP/1.1 at the level of one connection, for what `volo-http` hides.
//!
//! A gateway has to know whether a request left, when a client closed its connection, and which
//! connection an answer came on. Both halves are `hyper`'s own connection types, on which
//! `volo-http` is built too. Nothing here decides where a request goes.

pub mod client;
pub mod server;

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Sets the options that every connection has: no delay of small writes, and an end to a connection
/// whose peer has acknowledged nothing for `silence`.
///
/// # Errors
/// The socket refuses an option.
pub fn prepare(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(silence))
}
