//! Splits a stream of server-sent events, so that only complete events are forwarded, and each of
//! them once, even if another target resumes the stream.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes. Anything longer is not an event stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream can't be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event is missing or out of order.
    #[error("event {found} follows event {last}; resume the stream on another target")]
    Order {
        /// The last event that was forwarded.
        last: u64,
        /// The event that was received.
        found: u64,
    },
    /// A block of lines without a field of an event, such as the text of an error.
    #[error("a block of lines is not an event; resume the stream on another target")]
    NotAnEvent,
    /// No end of an event within `MAX_EVENT_BYTES` bytes.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes; the response is not an event stream")]
    TooLong,
}

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number in its `id` field, if present.
    pub id: Option<u64>,
    /// Its bytes, including the terminating blank line.
    pub bytes: Bytes,
}

/// Splits the events of one answer, across all targets that contribute to it.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the buffer prefix that contains no end of an event.
    searched: usize,
    last: Option<u64>,
}

impl Splitter {
    /// Creates a splitter for a stream that resumes after event `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// The last event that was forwarded.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether part of an incomplete event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes that are buffered and not yet returned as an event.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Discards the incomplete event, because another target resumes the stream.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Adds bytes received from the current target.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event that was not forwarded before.
    ///
    /// # Errors
    /// `Order`, `NotAnEvent` or `TooLong`; nothing more from this target may be forwarded.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        while let Some(bytes) = self.split_event()? {
            if !is_event(&bytes) {
                return Err(Error::NotAnEvent);
            }
            let id = event_id(&bytes);
            let Some(found) = id else {
                return Ok(Some(Event { id, bytes }));
            };
            match self.last {
                // A target that resumes the stream may repeat events.
                Some(last) if found <= last => continue,
                Some(last) if found > last + 1 => return Err(Error::Order { last, found }),
                _ => {}
            }
            self.last = Some(found);
            return Ok(Some(Event { id, bytes }));
        }
        Ok(None)
    }

    fn split_event(&mut self) -> Result<Option<Bytes>, Error> {
        let from = self.searched.saturating_sub(3);
        match end_of_event(&self.buffer[from..]) {
            Some(end) => {
                self.searched = 0;
                Ok(Some(self.buffer.split_to(from + end).freeze()))
            }
            None if self.buffer.len() > MAX_EVENT_BYTES => Err(Error::TooLong),
            None => {
                self.searched = self.buffer.len();
                Ok(None)
            }
        }
    }
}

/// Returns the position after the first blank line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut position = 0;
    while let Some(offset) = bytes[position..].iter().position(|&byte| byte == b'\n') {
        let next = position + offset + 1;
        match &bytes[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => position = next,
        }
    }
    None
}

/// Whether a block of lines is an event, a comment or blank. An event may also have unknown fields.
fn is_event(block: &[u8]) -> bool {
    let is_field = |line: &[u8]| {
        let name = line.split(|&byte| byte == b':').next().unwrap_or(line);
        matches!(name, b"" | b"id" | b"data" | b"event" | b"retry")
    };
    let lines = block
        .split(|&byte| byte == b'\n')
        .map(<[u8]>::trim_ascii_end);
    let mut lines = lines.filter(|line| !line.is_empty()).peekable();
    lines.peek().is_none() || lines.any(is_field)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
