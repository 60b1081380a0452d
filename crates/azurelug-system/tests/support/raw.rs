//! A test double of a target that writes raw bytes, for answers that an HTTP library would not
//! send.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::{Behaviour, ReceivedRequest, SharedState};

/// Maximum length of a request's head, in bytes.
const REQUEST_LIMIT: usize = 1024 * 1024;

/// What a target writes in answer to one request.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// Written with a short pause after each part.
    pub(crate) parts: Vec<String>,
    /// Whether the connection is closed after the last part.
    pub(crate) closes: bool,
}

/// Serves connections until the test ends.
pub(super) async fn serve(
    listener: TcpListener,
    shared: Arc<Mutex<SharedState>>,
    name: &'static str,
) {
    let at = listener
        .local_addr()
        .expect("a bound listener has an address");
    loop {
        let (stream, _) = listener.accept().await.expect("accept a connection");
        let shared = Arc::clone(&shared);
        // Errors are ignored, because the gateway may close a connection at any time.
        tokio::spawn(async move { serve_connection(stream, shared, name, at).await.ok() });
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    shared: Arc<Mutex<SharedState>>,
    name: &str,
    at: SocketAddr,
) -> std::io::Result<()> {
    let mut previous: Option<Vec<u8>> = None;
    while let Some(received) = read_request(&mut stream, name).await? {
        let (behaviour, reply) = {
            let mut shared = shared.lock().unwrap();
            shared.received.push(received.clone());
            let id = received.headers.get("x-request-attempt-id");
            let replies = shared.replies.get_mut(id.unwrap_or(&received.path));
            let reply = replies.and_then(VecDeque::pop_front);
            (shared.behaviours.get(name).copied(), reply)
        };
        if let Some(reply) = reply {
            for part in &reply.parts {
                stream.write_all(part.as_bytes()).await?;
                sleep(Duration::from_millis(30)).await;
            }
            if reply.closes {
                return Ok(());
            }
            continue;
        }
        let answer = build_answer(&received, at);
        match behaviour.unwrap_or(Behaviour::Normal) {
            Behaviour::DuplicatesAnswers => {
                if let Some(copy) = &previous {
                    stream.write_all(copy).await?;
                    sleep(Duration::from_millis(30)).await;
                }
            }
            Behaviour::EndlessHead => {
                stream.write_all(b"HTTP/1.1 200 OK\r\nx-long: ").await?;
                return write_endlessly(stream, b"xxxxxxxxxxxxxxxx").await;
            }
            Behaviour::EndlessInterim => {
                return write_endlessly(stream, b"HTTP/1.1 102 Processing\r\n\r\n").await;
            }
            Behaviour::EndlessTail => {
                stream.write_all(&answer).await?;
                return write_endlessly(stream, b"more bytes than the answer has").await;
            }
            Behaviour::TruncatesBody => {
                stream.write_all(&answer[..answer.len() - 3]).await?;
                return Ok(());
            }
            _ => {}
        }
        stream.write_all(&answer).await?;
        previous = Some(answer);
    }
    Ok(())
}

/// Writes the same bytes until the gateway closes the connection.
async fn write_endlessly(mut stream: TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    let many = bytes.repeat(1024);
    loop {
        stream.write_all(&many).await?;
        sleep(Duration::from_millis(1)).await;
    }
}

/// Reads one request; none if the connection ends or the head is too long.
pub(super) async fn read_request(
    stream: &mut TcpStream,
    name: &str,
) -> std::io::Result<Option<ReceivedRequest>> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            break end + 4;
        }
        if bytes.len() > REQUEST_LIMIT || stream.read_buf(&mut bytes).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.lines();
    let path = lines.next().and_then(|line| line.split(' ').nth(1));
    let path = path.and_then(|path| path.split('?').next());
    let fields = lines.filter_map(|line| line.split_once(": "));
    let headers: HashMap<String, String> = fields
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.get("content-length");
    let length: usize = length.map_or(0, |length| {
        length.parse().expect("content-length is a number")
    });
    while bytes.len() < end + length {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(ReceivedRequest {
        target: name.to_owned(),
        path: path.unwrap_or_default().to_owned(),
        headers,
        body: Bytes::copy_from_slice(&bytes[end..end + length]),
    }))
}

/// Builds a correct answer: handles that contain the request's id for a call of a stage, otherwise
/// a signed body that contains it.
pub(super) fn build_answer(received: &ReceivedRequest, at: SocketAddr) -> Vec<u8> {
    let (fields, body) = if received.path == "/stage-run" {
        let call: Value = serde_json::from_slice(&received.body).expect("a call is JSON");
        let items = call["items"].as_array().expect("a call has items").iter();
        let handle = |item: &Value| {
            let id = item["id"].as_str().expect("an item has an id");
            json!({"handle": format!("{at}/{id}-{}-{}", item["stage"], item["piece"])})
        };
        let results: Vec<Value> = items.map(handle).collect();
        (String::new(), json!({"items": results}).to_string())
    } else if received.path == "/stage-free" {
        (String::new(), "{}".to_owned())
    } else {
        let id = &received.headers["x-request-attempt-id"];
        let fields = format!("x-request-attempt-id: {id}\r\nx-response-signature: signed\r\n");
        (fields, format!("answer to {id}"))
    };
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{fields}content-length: {length}\r\n\r\n{body}").into_bytes()
}
