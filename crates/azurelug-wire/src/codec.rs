//! Length-prefixed frames, encoded with `bincode`, on h2 streams.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Error, Frame};

/// Maximum size of a frame in bytes. A larger length prefix closes the connection before any
/// memory is allocated.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Encodes a value in the format used by all azurelug processes.
///
/// # Errors
/// `Malformed` if the type can't be encoded, `TooLong` above the frame limit.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    let bytes =
        bincode::serde::encode_to_vec(value, bincode::config::standard()).map_err(|error| {
            Error::Malformed {
                message: error.to_string(),
            }
        })?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLong {
            length: bytes.len(),
            limit: MAX_FRAME_BYTES,
        });
    }
    Ok(bytes)
}

/// Decodes a value. The bytes must contain nothing else.
///
/// # Errors
/// `Malformed` if the bytes are not a value of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (value, read) =
        bincode::serde::decode_from_slice(bytes, config).map_err(|error| Error::Malformed {
            message: error.to_string(),
        })?;
    if read != bytes.len() {
        return Err(Error::Malformed {
            message: format!("{} bytes left over", bytes.len() - read),
        });
    }
    Ok(value)
}

/// Encodes a value that is not sent in a single frame, such as a snapshot.
///
/// # Errors
/// `Malformed` if the type can't be encoded.
pub fn encode_unlimited<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).map_err(|error| {
        Error::Malformed {
            message: error.to_string(),
        }
    })
}

/// Decodes a value of any length. Must be used only for bytes whose checksum was verified.
///
/// # Errors
/// `Malformed` if the bytes are not a value of this type.
pub fn decode_unlimited<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map(|(value, _)| value)
        .map_err(|error| Error::Malformed {
            message: error.to_string(),
        })
}

/// Sends one frame and, if `end` is set, closes the sending side of the stream.
///
/// # Errors
/// `Closed` if the stream was reset.
pub async fn send(stream: &mut SendStream<Bytes>, frame: &Frame, end: bool) -> Result<(), Error> {
    let body = encode(frame)?;
    let mut bytes = BytesMut::with_capacity(4 + body.len());
    bytes.put_u32(u32::try_from(body.len()).expect("the frame limit fits into 32 bits"));
    bytes.extend_from_slice(&body);
    let mut bytes = bytes.freeze();
    while bytes.has_remaining() {
        stream.reserve_capacity(bytes.len());
        let granted = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
        let granted = granted
            .ok_or_else(|| Error::closed("the stream was closed by the peer"))?
            .map_err(Error::closed)?;
        let chunk = bytes.split_to(granted.min(bytes.len()));
        let is_last = bytes.is_empty();
        stream
            .send_data(chunk, end && is_last)
            .map_err(Error::closed)?;
    }
    Ok(())
}

/// Reads frames from one stream.
pub struct Reader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl Reader {
    /// Creates a reader for a stream.
    pub fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next frame; none at the end of the stream.
    ///
    /// # Errors
    /// `TooLong`, `Malformed` or `Closed`.
    pub async fn next(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = self.pop_frame()? {
                return Ok(Some(frame));
            }
            match self.stream.data().await {
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(Error::closed("the stream ended inside a frame")),
                Some(Err(error)) => return Err(Error::closed(error)),
                Some(Ok(data)) => {
                    self.buffer.extend_from_slice(&data);
                    let credit = self.stream.flow_control();
                    credit.release_capacity(data.len()).map_err(Error::closed)?;
                }
            }
        }
    }

    fn pop_frame(&mut self) -> Result<Option<Frame>, Error> {
        let Some(prefix) = self.buffer.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(Error::TooLong {
                length,
                limit: MAX_FRAME_BYTES,
            });
        }
        if self.buffer.len() < 4 + length {
            return Ok(None);
        }
        self.buffer.advance(4);
        let body = self.buffer.split_to(length);
        decode(&body).map(Some)
    }
}
