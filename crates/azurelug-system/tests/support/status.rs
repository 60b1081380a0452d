//! Reads the status of an answer from a raw connection.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Reads until the first bytes of an answer have arrived; its status.
pub(crate) async fn read_status(stream: &mut TcpStream, limit: Duration) -> u16 {
    let mut buffer = [0; 1024];
    let read = timeout(limit, stream.read(&mut buffer)).await;
    let count = read.expect("an answer in time").expect("an answer");
    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
    let status = text.split(' ').nth(1).and_then(|it| it.parse().ok());
    status.unwrap_or_else(|| panic!("not an answer: {text}"))
}
