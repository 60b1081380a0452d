//! Forwards the bytes of one connection according to the rules of the link.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Link, Rule, Shared};

/// Maximum number of bytes per read.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of chunks in flight in one direction of a connection.
const MAX_CHUNKS: usize = 64;

#[derive(Clone, Copy)]
enum Direction {
    Forward = 0,
    Backward = 1,
}

impl Direction {
    fn rule(self, link: &Link) -> Rule {
        match self {
            Self::Forward => link.forward,
            Self::Backward => link.backward,
        }
    }
}

/// Forwards a connection until it ends. An error on one side closes both.
pub(super) async fn forward_connection(client: TcpStream, shared: &Shared, revision: u64) {
    let (from_client, to_client) = client.into_split();
    if shared.rules.borrow().link_for(revision).forward == Rule::Drop {
        // The first bytes are lost, so the target is not even connected to.
        discard(from_client, shared, Direction::Forward).await;
        return;
    }
    let Ok(target) = TcpStream::connect(shared.target).await else {
        return;
    };
    let _ = target.set_nodelay(true);
    let _ = to_client.as_ref().set_nodelay(true);
    let (from_target, to_target) = target.into_split();
    let forward = forward_direction(from_client, to_target, shared, revision, Direction::Forward);
    let backward = forward_direction(
        from_target,
        to_client,
        shared,
        revision,
        Direction::Backward,
    );
    // An error means that one side is closed; dropping all halves closes the other one.
    let _ = tokio::try_join!(forward, backward);
}

async fn forward_direction(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    shared: &Shared,
    revision: u64,
    direction: Direction,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS);
    let read = read_chunks(from, sender, shared, revision, direction);
    tokio::try_join!(read, write_chunks(to, receiver)).map(|_| ())
}

/// Reads chunks and attaches to each the time at which it is to be written to the other side.
async fn read_chunks(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<(Instant, Bytes)>,
    shared: &Shared,
    revision: u64,
    direction: Direction,
) -> io::Result<()> {
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
        let result = from.read_buf(&mut chunk).await;
        let link = shared.rules.borrow().link_for(revision);
        if direction.rule(&link) == Rule::Drop {
            count_dropped(shared, direction, chunk.len());
            discard(from, shared, direction).await;
            // Keeps the sender alive, so that the other side sees no end of the stream.
            return std::future::pending().await;
        }
        if result? == 0 {
            return Ok(());
        }
        let due = Instant::now() + Duration::from_millis(link.delay_ms);
        if sender.send((due, chunk.freeze())).await.is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
) -> io::Result<()> {
    while let Some((due, chunk)) = receiver.recv().await {
        if due > Instant::now() {
            tokio::time::sleep_until(due).await;
        }
        to.write_all(&chunk).await?;
    }
    to.shutdown().await
}

/// Reads and discards bytes, and never returns, not even at the end of the stream.
async fn discard(mut from: OwnedReadHalf, shared: &Shared, direction: Direction) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        count_dropped(shared, direction, length);
    }
    std::future::pending::<()>().await;
}

fn count_dropped(shared: &Shared, direction: Direction, length: usize) {
    shared.dropped[direction as usize].fetch_add(length as u64, Ordering::Relaxed);
}
