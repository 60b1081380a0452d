//! A small HTTP/1.1 server and client on blocking sockets, in which a stand-in controls every byte.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a server closes an idle connection, as its `Keep-Alive` header says.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// A message: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Names in lower case with their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body arrived up to its end.
    pub is_whole: bool,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a stream and keeps what follows them.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    /// Creates a reader of a stream.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads up to the end of a head; none if the stream ends before.
    fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.lines();
                let line = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let headers = fields
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Message {
                    line,
                    headers: headers.collect(),
                    ..Message::default()
                }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..length).collect()))
    }

    fn text_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn chunks(&mut self, message: &mut Message) -> io::Result<()> {
        loop {
            let Some(line) = self.text_line()? else {
                return Ok(());
            };
            let Ok(length) = usize::from_str_radix(line.split(';').next().unwrap_or("0"), 16)
            else {
                return Ok(());
            };
            let Some(part) = self.take(length + 2)? else {
                return Ok(());
            };
            message.body.extend_from_slice(&part[..length]);
            if length == 0 {
                message.is_whole = true;
                return Ok(());
            }
        }
    }

    /// Reads a request or an answer; none if the stream ends before its head does.
    pub fn message(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        if message.header("transfer-encoding").is_some() {
            // An error in the middle leaves what has arrived.
            let _ = self.chunks(&mut message);
            return Ok(Some(message));
        }
        let length = message.header("content-length");
        match length.and_then(|it| it.parse::<usize>().ok()) {
            Some(length) => {
                while self.buffer.len() < length && self.fill().unwrap_or(false) {}
                message.is_whole = self.buffer.len() >= length;
                let length = length.min(self.buffer.len());
                message.body = self.buffer.drain(..length).collect();
            }
            None if is_answer => {
                while self.fill().unwrap_or(false) {}
                message.body = std::mem::take(&mut self.buffer);
            }
            None => message.is_whole = true,
        }
        Ok(Some(message))
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|it| it == wanted)
}

/// One connection of a server, with what its stand-in remembers of it.
pub struct Channel {
    /// The stream, to which the stand-in writes.
    pub stream: TcpStream,
    /// The last answer on the connection, as it was sent.
    pub last: Vec<u8>,
    /// Number of items of that answer.
    pub last_count: usize,
    /// When it was sent.
    pub last_at: Instant,
}

/// Serves a listener for the rest of the process. `handle` writes the answer and returns whether the
/// connection is kept.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&Message, &mut Channel) -> io::Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(IDLE_TIME));
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = Reader::new(copy);
                let mut channel = Channel {
                    stream,
                    last: Vec::new(),
                    last_count: 0,
                    last_at: Instant::now(),
                };
                while let Ok(Some(request)) = reader.message(false) {
                    if !handle(&request, &mut channel).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// An answer with a body of known length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// Sends a request on a new connection and reads the answer.
pub fn call(at: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
    exchange(&stream, request, limit)
}

/// Sends a request on an open connection and reads the answer.
pub fn exchange(mut stream: &TcpStream, request: &[u8], limit: Duration) -> io::Result<Message> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let answer = Reader::new(stream.try_clone()?).message(true)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A request as text.
pub fn request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}
