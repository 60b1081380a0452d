//! A log appender that never blocks the caller: lines are queued in a bounded queue, and a separate
//! thread writes them to an output.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel, sync_channel};
use std::time::Duration;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// Capacity of the queue in lines: less than a megabyte at about 200 bytes a line.
const QUEUE_CAPACITY: usize = 4096;

/// Pause between two writes, so that in a busy process the thread wakes only a few times a second.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum duration of a flush, which covers one pause between two writes.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Stack size of the writing thread in bytes.
const STACK_BYTES: usize = 64 * 1024;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the process started because the queue was full.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// An entry of the queue.
#[derive(Debug)]
enum Entry {
    Line(Vec<u8>),
    /// Asks for a message when all earlier lines have been written.
    Flush(Sender<()>),
}

/// The log appender.
#[derive(Debug)]
pub struct QueueAppender {
    entries: SyncSender<Entry>,
    encoder: Box<dyn Encode>,
}

impl QueueAppender {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start<W>(encoder: Box<dyn Encode>, output: W) -> std::io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (entries, receiver) = sync_channel(QUEUE_CAPACITY);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&receiver, output))?;
        Ok(Self { entries, encoder })
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        if self.entries.try_send(Entry::Line(line.0)).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until the queued lines have been written, or for [`FLUSH_TIMEOUT`] if the output is
    /// blocked.
    fn flush(&self) {
        let (sender, flushed) = channel();
        if self.entries.try_send(Entry::Flush(sender)).is_ok() {
            // After the timeout there is no output left to report it on.
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(receiver: &Receiver<Entry>, mut output: impl Write) {
    let mut reported_drops = 0;
    while let Ok(entry) = receiver.recv() {
        let mut lines = Vec::new();
        let mut flushes = Vec::new();
        for entry in std::iter::once(entry).chain(receiver.try_iter()) {
            match entry {
                Entry::Line(line) => lines.extend_from_slice(&line),
                Entry::Flush(flush) => flushes.push(flush),
            }
        }
        let dropped = dropped_lines();
        if dropped > reported_drops {
            let text = format!(
                "log: {} lines dropped because the queue was full\n",
                dropped - reported_drops
            );
            lines.extend_from_slice(text.as_bytes());
            reported_drops = dropped;
        }
        // A failure can't be reported without the output.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
        for flush in flushes {
            // The caller may have given up.
            let _ = flush.send(());
        }
        std::thread::sleep(WRITE_INTERVAL);
    }
}
