//! Test of the log queue with outputs that are slow or blocked. The count of dropped lines is
//! process-wide, so this file has only one test.
#![allow(clippy::unwrap_used)]

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use azurelug_settings::queue::QueueAppender;
use log::Record;
use log4rs::append::Append;
use log4rs::encode::pattern::PatternEncoder;

/// Keeps what is written; the first write takes 50 ms.
#[derive(Clone, Default)]
struct Slow(Arc<Mutex<Vec<u8>>>);

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = self.0.lock().unwrap();
        if written.is_empty() {
            std::thread::sleep(Duration::from_millis(50));
        }
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Blocks until the sender is dropped.
struct Blocked(Receiver<()>);

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn append(queue: &QueueAppender, text: &str) {
    let mut record = Record::builder();
    queue
        .append(&record.args(format_args!("{text}")).build())
        .unwrap();
}

/// Guards against the last lines of a process that are lost because it exits before they are
/// written, and against a process that does not exit because nobody reads its output.
#[test]
fn a_flush_waits_for_queued_lines_and_not_for_a_blocked_output() {
    let output = Slow::default();
    let encoder = Box::new(PatternEncoder::new("{m}{n}"));
    let queue = QueueAppender::start(encoder, output.clone()).unwrap();
    append(&queue, "first");
    queue.flush();
    append(&queue, "second");
    append(&queue, "third");
    queue.flush();
    let written = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    assert_eq!(written, "first\nsecond\nthird\n");

    let (_sender, receiver) = channel();
    let encoder = Box::new(PatternEncoder::new("{m}{n}"));
    let queue = QueueAppender::start(encoder, Blocked(receiver)).unwrap();
    // More lines than the queue holds.
    for number in 0..10_000 {
        append(&queue, &number.to_string());
    }
    let started = Instant::now();
    queue.flush();
    queue.flush();
    assert!(started.elapsed() < Duration::from_secs(5));
}
