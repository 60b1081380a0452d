//! Stand-ins of targets: stage targets and model engines that behave as the pages say.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Channel, Message};
use crate::world::Record;

/// What a result was made of, and until when its maker keeps it.
#[derive(Clone, Debug)]
pub struct Made {
    /// The request that it was made for.
    pub request: String,
    /// Its stage.
    pub stage: u64,
    /// Its piece.
    pub piece: u64,
    until: Instant,
}

/// The results of all stage targets by handle.
pub type Results = Arc<Mutex<HashMap<String, Made>>>;

/// A piece that is to be made.
struct Item {
    request: String,
    stage: u64,
    piece: u64,
    /// When it is of no use any more.
    until: Instant,
}

fn items(body: &[u8]) -> Vec<Item> {
    let call: Value = serde_json::from_slice(body).unwrap_or_default();
    let items = call["items"].as_array().cloned().unwrap_or_default();
    let items = items.iter().map(|item| Item {
        request: item["id"].as_str().unwrap_or_default().to_owned(),
        stage: item["stage"].as_u64().unwrap_or_default(),
        piece: item["piece"].as_u64().unwrap_or_default(),
        until: Instant::now()
            + Duration::from_millis(item["remaining_ms"].as_u64().unwrap_or(3_600_000)),
    });
    items.collect()
}

/// A stage target.
pub struct StageTarget {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// Fixed time of a call.
    pub call_time: Duration,
    /// Time of each piece.
    pub item_time: Duration,
    /// How long results are kept.
    pub handle_time: Duration,
    /// All results.
    pub results: Results,
    /// Makes its calls one after the other.
    pub turn: Mutex<()>,
    /// Calls that are in progress or wait.
    pub calls: AtomicUsize,
    /// The record.
    pub record: Record,
}

/// Calls that one target takes: 1 in progress and 2 that wait.
const MAX_CALLS: usize = 3;

/// Headers of each answer to a call.
const JSON: [(&str, &str); 3] = [
    ("Content-Type", "application/json"),
    ("Keep-Alive", "timeout=15"),
    ("X-Server-Load", "0,0,1"),
];

/// Whether the request names another target; answers it then.
pub fn refuse_other(id: &str, request: &Message, channel: &mut Channel) -> std::io::Result<bool> {
    let expected = request.header("x-expected-instance");
    if expected.is_none_or(|expected| expected == id) {
        return Ok(false);
    }
    let mut headers = vec![("X-Not-Executed", "1")];
    let echoed = request.header("x-request-attempt-id");
    headers.extend(echoed.map(|id| ("X-Request-Attempt-Id", id)));
    let refused = http::answer("421 Misdirected Request", &headers, "");
    channel.stream.write_all(&refused)?;
    Ok(true)
}

impl StageTarget {
    /// Answers a request. `copies` decides whether the previous answer on the connection is sent once
    /// more in front of this one.
    pub fn handle(
        &self,
        request: &Message,
        channel: &mut Channel,
        copies: impl Fn(&Channel, usize) -> bool,
    ) -> std::io::Result<bool> {
        if refuse_other(&self.id, request, channel)? {
            return Ok(true);
        }
        match request.path() {
            "/stage-run" => {}
            "/stage-free" => {
                let call: Value = serde_json::from_slice(&request.body).unwrap_or_default();
                let handles = call["handles"].as_array().cloned().unwrap_or_default();
                let mut results = self.results.lock().unwrap();
                for handle in handles.iter().filter_map(Value::as_str) {
                    results.remove(handle);
                }
                drop(results);
                channel
                    .stream
                    .write_all(&http::answer("200 OK", &JSON, "{}"))?;
                return Ok(true);
            }
            _ => {
                let headers = [("X-Instance-Id", self.id.as_str())];
                channel
                    .stream
                    .write_all(&http::answer("200 OK", &headers, ""))?;
                return Ok(true);
            }
        }
        let items = items(&request.body);
        if copies(channel, items.len()) {
            self.record.line(&format!(
                "{}: second copy of the last answer on the connection",
                self.id
            ));
            let copy = channel.last.clone();
            channel.stream.write_all(&copy)?;
        }
        if self.calls.fetch_add(1, Ordering::Relaxed) >= MAX_CALLS {
            self.calls.fetch_sub(1, Ordering::Relaxed);
            let full = http::answer("503 Service Unavailable", &[("X-Not-Executed", "1")], "");
            channel.stream.write_all(&full)?;
            return Ok(true);
        }
        let turn = self.turn.lock().unwrap();
        if is_closed(&channel.stream) {
            self.calls.fetch_sub(1, Ordering::Relaxed);
            return Ok(false);
        }
        let turn_began = Instant::now();
        thread::sleep(self.call_time + self.item_time * items.len() as u32);
        let mut ends = Vec::new();
        for item in &items {
            if item.until < turn_began {
                ends.push(json!({ "reason": "late" }));
                continue;
            }
            let handle = format!("{}/{:016x}", self.address, random());
            let made = Made {
                request: item.request.clone(),
                stage: item.stage,
                piece: item.piece,
                until: Instant::now() + self.handle_time,
            };
            self.record.line(&format!(
                "{}: made {handle} for {} stage {} piece {}",
                self.id, item.request, item.stage, item.piece
            ));
            self.results.lock().unwrap().insert(handle.clone(), made);
            ends.push(json!({ "handle": handle }));
        }
        drop(turn);
        self.calls.fetch_sub(1, Ordering::Relaxed);
        let answer = http::answer("200 OK", &JSON, &json!({ "items": ends }).to_string());
        channel.last.clone_from(&answer);
        channel.last_count = items.len();
        channel.last_at = Instant::now();
        channel.stream.write_all(&answer)?;
        Ok(true)
    }
}

/// Whether the other side has closed a connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Ok(0))
}

/// A number that differs between calls and processes.
pub fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    RandomState::new().build_hasher().finish()
}

/// The results that a request of a model engine names, as far as they exist.
pub fn inputs(request: &Message, results: &Results) -> Option<Vec<Made>> {
    let handles = request.header("x-inputs")?;
    let results = results.lock().unwrap();
    let now = Instant::now();
    let made = handles.split(',').map(|handle| {
        let made = results.get(handle.trim());
        made.filter(|made| made.until > now).cloned()
    });
    made.collect()
}
