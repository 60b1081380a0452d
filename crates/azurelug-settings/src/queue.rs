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
const LINES: usize = 4096;

/// Pause between two writes, so that in a busy process the thread wakes only a few times a second.
const PAUSE: Duration = Duration::from_millis(100);

/// Stack size of the writing thread in bytes.
const STACK: usize = 64 * 1024;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the process started because the queue was full.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// The log appender.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    encoder: Box<dyn Encode>,
}

impl Queue {
    /// Starts the writing thread.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(encoder: Box<dyn Encode>) -> std::io::Result<Self> {
        let (lines, waiting) = sync_channel(LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK)
            .spawn(move || write(&waiting))?;
        Ok(Self { lines, encoder })
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        if self.lines.try_send(line.0).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write(waiting: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout();
    let mut reported = 0;
    while let Ok(mut lines) = waiting.recv() {
        while let Ok(line) = waiting.try_recv() {
            lines.extend_from_slice(&line);
        }
        let dropped = dropped_lines();
        if dropped > reported {
            let text = format!(
                "log: {} lines dropped because the queue was full\n",
                dropped - reported
            );
            lines.extend_from_slice(text.as_bytes());
            reported = dropped;
        }
        // A failure can't be reported without standard output.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
        std::thread::sleep(PAUSE);
    }
}
