//! A log appender that never blocks the caller: lines are queued in a bounded queue, and a separate
//! thread writes them to standard output.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// Capacity of the queue in lines: less than a megabyte at about 200 bytes a line.
const QUEUE_CAPACITY: usize = 4096;

/// Pause between two writes, so that in a busy process the thread wakes only a few times a second.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Stack size of the writing thread in bytes.
const STACK_BYTES: usize = 64 * 1024;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the process started because the queue was full.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// The log appender.
#[derive(Debug)]
pub struct QueueAppender {
    lines: SyncSender<Vec<u8>>,
    encoder: Box<dyn Encode>,
}

impl QueueAppender {
    /// Starts the writing thread.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(encoder: Box<dyn Encode>) -> std::io::Result<Self> {
        let (lines, receiver) = sync_channel(QUEUE_CAPACITY);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&receiver))?;
        Ok(Self { lines, encoder })
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        if self.lines.try_send(line.0).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout();
    let mut reported_drops = 0;
    while let Ok(mut lines) = receiver.recv() {
        while let Ok(line) = receiver.try_recv() {
            lines.extend_from_slice(&line);
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
        // A failure can't be reported without standard output.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
        std::thread::sleep(WRITE_INTERVAL);
    }
}
