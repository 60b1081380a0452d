//! Clients outside the limits of the configuration, and what a process holds for them.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

/// Longest wait until all clients have sent what they send. A process may pause or close them.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// Size of the pieces of a body that is sent piece by piece.
const PIECE_BYTES: usize = 8 * 1024;

/// Bytes that are missing at the end of a body that stops short.
const MISSING_BYTES: usize = 10;

/// Time within which a process accepts some of the connections that wait for it;
/// the kernel repeats a lost first packet after 1 s.
const ACCEPT_TIME: Duration = Duration::from_millis(1200);

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Bodies announced as 64 times the limit.
    AnnouncedFarOver,
    /// Bodies of eight times the limit, in chunks without an announced length.
    EndlessChunks,
    /// Bodies of the largest legal size.
    Whole,
    /// The same in small pieces.
    Piecewise,
    /// The same, which stop just short of their end and stay open.
    Stalled,
    /// The same without an announced length.
    StalledChunks,
    /// Long heads that stop before their end and stay open.
    HalfHeads,
    /// Connections on which nothing is sent.
    Idle,
}

/// Whom a crowd addresses.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    /// The request line and the header fields of a request, without its framing.
    pub(crate) head: String,
    /// The largest legal body.
    pub(crate) body_bytes: usize,
}

/// Connected clients. Dropping it closes their connections.
pub(crate) struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Connects `count` clients and waits until each has sent what it sends or was cut off.
    pub(crate) async fn connect(kind: Kind, target: &Target, count: usize) -> Self {
        let mut clients = JoinSet::new();
        let (sender, mut sent) = mpsc::unbounded_channel();
        for number in 0..count {
            // One after the other, so that the kernel's queue of the listener doesn't overflow. The
            // process may refuse connections.
            let Ok(mut stream) = TcpStream::connect(target.address).await else {
                continue;
            };
            let (target, sender) = (target.clone(), sender.clone());
            clients.spawn(async move {
                // The process may close the connection at any time.
                let _ = send(&mut stream, kind, &target, number).await;
                drop(sender);
                let mut answer = [0; 4096];
                while stream.read(&mut answer).await.is_ok_and(|count| count > 0) {}
                std::future::pending::<()>().await;
            });
        }
        drop(sender);
        let limit = Instant::now() + SEND_TIMEOUT;
        // Ends when the last client has dropped its sender. Clients that are paused don't matter.
        let _: Result<Option<()>, _> = timeout_at(limit, sent.recv()).await;
        Self { _clients: clients }
    }
}

async fn send(
    stream: &mut TcpStream,
    kind: Kind,
    target: &Target,
    number: usize,
) -> std::io::Result<()> {
    let head = |framing: &str| {
        let head = target.head.replace("NUMBER", &number.to_string());
        format!("{head}{framing}\r\n\r\n").into_bytes()
    };
    let bytes = target.body_bytes;
    let announced = |bytes: usize| head(&format!("content-length: {bytes}"));
    match kind {
        Kind::Idle => Ok(()),
        Kind::HalfHeads => {
            let head = target.head.replace("NUMBER", &number.to_string());
            stream.write_all(head.as_bytes()).await?;
            let field = format!("x-filler: {}", "x".repeat(15_000 - head.len()));
            stream.write_all(field.as_bytes()).await
        }
        Kind::AnnouncedFarOver => {
            stream.write_all(&announced(bytes * 64)).await?;
            write_pieces(stream, bytes * 8, <[u8]>::to_vec).await
        }
        Kind::EndlessChunks => {
            stream
                .write_all(&head("transfer-encoding: chunked"))
                .await?;
            write_pieces(stream, bytes * 8, chunk).await
        }
        Kind::StalledChunks => {
            stream
                .write_all(&head("transfer-encoding: chunked"))
                .await?;
            write_pieces(stream, bytes - MISSING_BYTES, chunk).await
        }
        Kind::Whole => {
            stream.write_all(&announced(bytes)).await?;
            stream.write_all(&vec![b'x'; bytes]).await
        }
        Kind::Piecewise => {
            stream.write_all(&announced(bytes)).await?;
            write_pieces(stream, bytes, <[u8]>::to_vec).await
        }
        Kind::Stalled => {
            stream.write_all(&announced(bytes)).await?;
            stream.write_all(&vec![b'x'; bytes - MISSING_BYTES]).await
        }
    }
}

/// Frames a piece as a chunk of a body without an announced length.
fn chunk(piece: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
    chunk.extend_from_slice(piece);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

async fn write_pieces(
    stream: &mut TcpStream,
    bytes: usize,
    frame: impl Fn(&[u8]) -> Vec<u8>,
) -> std::io::Result<()> {
    let piece = [b'x'; PIECE_BYTES];
    let mut left = bytes;
    while left > 0 {
        let length = left.min(PIECE_BYTES);
        stream.write_all(&frame(&piece[..length])).await?;
        left -= length;
        // Lets the other clients send, so that all bodies grow together.
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// A process's peak resident memory, in bytes.
pub(crate) fn peak_memory(process: u32) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{process}/status")).expect("the process is alive");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kilobytes = kilobytes.and_then(|it| it.trim().parse::<u64>().ok());
    kilobytes.expect("VmHWM is a number") * 1024
}

/// The largest number of a process's open descriptors, until it no longer grows: the process accepts
/// connections some time after they are established.
pub(crate) async fn peak_descriptors(process: u32) -> usize {
    let mut peak = 0;
    loop {
        let open = descriptors(process);
        if open <= peak {
            return peak;
        }
        peak = open;
        sleep(ACCEPT_TIME).await;
    }
}

/// The number of a process's open descriptors.
fn descriptors(process: u32) -> usize {
    let folder = format!("/proc/{process}/fd");
    std::fs::read_dir(folder)
        .expect("the process is alive")
        .count()
}
