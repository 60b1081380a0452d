//! Splits a stream of server-sent events, so that only whole events are passed on and each is passed
//! on once, also when another target goes on with the stream.

use bytes::{Bytes, BytesMut};

/// The longest event in bytes. A longer one means that the bytes are no event stream.
const EVENT_LIMIT: usize = 256 * 1024;

/// Why a stream can't be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event is missing, or comes in the wrong order.
    #[error("event {found} follows event {last}; the target is to be replaced")]
    Order {
        /// The last event that was passed on.
        last: u64,
        /// The event that came.
        found: u64,
    },
    /// Bytes without an end of an event.
    #[error("an event is longer than {EVENT_LIMIT} bytes; the bytes are no event stream")]
    TooLong,
}

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// The events of one answer, over all targets that work on it.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes of the buffer that hold no end of an event.
    searched: usize,
    last: Option<u64>,
}

impl Splitter {
    /// A splitter for a stream that goes on after event `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// The last event that was passed on.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether bytes of an unfinished event are held.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets the unfinished event, because another target goes on.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Takes bytes of the present target.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event that was not passed on before.
    ///
    /// # Errors
    /// `Order` or `TooLong`; nothing more of this target may be passed on.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        while let Some(bytes) = self.take_event()? {
            let id = event_id(&bytes);
            let Some(found) = id else {
                return Ok(Some(Event { id, bytes }));
            };
            match self.last {
                // A target that goes on may repeat events.
                Some(last) if found <= last => continue,
                Some(last) if found > last + 1 => return Err(Error::Order { last, found }),
                _ => {}
            }
            self.last = Some(found);
            return Ok(Some(Event { id, bytes }));
        }
        Ok(None)
    }

    fn take_event(&mut self) -> Result<Option<Bytes>, Error> {
        let from = self.searched.saturating_sub(3);
        match end_of_event(&self.buffer[from..]) {
            Some(end) => {
                self.searched = 0;
                Ok(Some(self.buffer.split_to(from + end).freeze()))
            }
            None if self.buffer.len() > EVENT_LIMIT => Err(Error::TooLong),
            None => {
                self.searched = self.buffer.len();
                Ok(None)
            }
        }
    }
}

/// Position behind the first blank line.
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

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
