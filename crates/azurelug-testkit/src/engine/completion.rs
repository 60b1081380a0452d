//! Text generation, streamed or not, and the export and import of KV caches.
//!
//! Holds the exported KV caches. A stream that is cut short ends without `[DONE]`.

use std::collections::VecDeque;
use std::sync::Arc;

use azurelug_http::answer;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::mpsc;
use volo_http::response::Response;

use super::Shared;
use super::api::{admit, answer_id, count_tokens, ended, pause, prefill_time};
use super::schedule::Ticket;
use crate::refusal::Refusal;
use crate::text;

/// Maximum number of tokens that are buffered for a slow reader.
const BUFFERED: usize = 64;

/// Maximum number of KV caches that are retained.
const KEPT: usize = 256;

/// Upper limit of `max_tokens`.
const MAX_TOKENS: u64 = 100_000;

/// The body of `POST /v1/completions`.
#[derive(Deserialize)]
pub(super) struct Completion {
    model: String,
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    request_id: String,
    #[serde(default)]
    resume_from: u64,
}

/// An exported KV cache. Its content is opaque to all but engines.
#[derive(Serialize, Deserialize)]
pub(super) struct KvText {
    request_id: String,
    kv: String,
}

#[derive(Serialize, Deserialize)]
struct KvContent {
    model: String,
    prompt: String,
    tokens: u64,
}

/// KV caches of the most recent requests.
#[derive(Default)]
pub(super) struct KvStore {
    kept: VecDeque<(String, KvContent)>,
}

impl KvStore {
    /// Records that the generation of a request has reached `tokens` tokens.
    fn advance(&mut self, request_id: &str, tokens: u64) {
        let mut kept = self.kept.iter_mut().rev();
        if let Some((_, content)) = kept.find(|(id, _)| id == request_id) {
            content.tokens = tokens;
        }
    }

    fn keep(&mut self, request_id: String, content: KvContent) {
        self.kept.retain(|(id, _)| *id != request_id);
        if self.kept.len() == KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back((request_id, content));
    }
}

/// Generates the tokens `resume_from..max_tokens`.
pub(super) async fn complete(
    shared: &Arc<Shared>,
    mut call: Completion,
) -> Result<Response, Refusal> {
    if call.max_tokens > MAX_TOKENS {
        return Err(Refusal::new(400, "max_tokens is above 100000"));
    }
    let ticket = admit(shared, &call.model, &call.request_id, call.priority).await?;
    call.request_id = answer_id(shared, &ticket, call.request_id);
    if call.stream {
        let (sender, receiver) = mpsc::channel(BUFFERED);
        let shared = shared.clone();
        tokio::spawn(async move { stream(&shared, &call, ticket, &sender).await });
        return Ok(answer::events(receiver));
    }
    whole(shared, &call, ticket).await
}

async fn whole(
    shared: &Arc<Shared>,
    call: &Completion,
    mut ticket: Ticket,
) -> Result<Response, Refusal> {
    ticket.run(prefill(shared, call)).await.map_err(ended)?;
    for n in call.resume_from..call.max_tokens {
        if stops(shared, n - call.resume_from) {
            ticket.fail();
            return Err(Refusal::new(500, "fault: stop_after_tokens"));
        }
        ticket
            .run(pause(shared.settings.token))
            .await
            .map_err(ended)?;
    }
    ticket.finish();
    shared.lock().kv.advance(&call.request_id, call.max_tokens);
    let text = text::tokens(&call.model, &call.prompt, call.resume_from, call.max_tokens);
    let completion_tokens = call.max_tokens.saturating_sub(call.resume_from);
    let prompt_tokens = count_tokens(&call.prompt);
    Ok(answer::json(
        200,
        &json!({
            "id": call.request_id,
            "choices": [{ "text": text, "finish_reason": "length" }],
            "usage": { "prompt_tokens": prompt_tokens, "completion_tokens": completion_tokens },
        }),
    ))
}

async fn stream(
    shared: &Arc<Shared>,
    call: &Completion,
    mut ticket: Ticket,
    sender: &mpsc::Sender<Bytes>,
) {
    let complete = async {
        prefill(shared, call).await;
        generate(shared, call, sender).await
    };
    // If the call is cancelled or failed, or its client disconnects, dropping the ticket counts it.
    let result = tokio::select! {
        result = ticket.run(complete) => result,
        () = sender.closed() => return,
    };
    match result {
        Ok(Generated::All) => {
            ticket.finish();
            let _ = sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
        }
        Ok(Generated::Part) => ticket.fail(),
        Ok(Generated::Unread) | Err(_) => {}
    }
}

/// How a stream ended.
enum Generated {
    All,
    Part,
    Unread,
}

async fn generate(
    shared: &Arc<Shared>,
    call: &Completion,
    sender: &mpsc::Sender<Bytes>,
) -> Generated {
    for n in call.resume_from..call.max_tokens {
        let sent = n - call.resume_from;
        if stops(shared, sent) {
            return Generated::Part;
        }
        pause(shared.settings.token).await;
        let duplicate_every = shared.faults.borrow().duplicate_every;
        let twice = duplicate_every > 0 && (sent + 1).is_multiple_of(duplicate_every);
        let event = token_event(call, n);
        for _ in 0..=usize::from(twice) {
            if sender.send(event.clone()).await.is_err() {
                return Generated::Unread;
            }
        }
        shared.lock().kv.advance(&call.request_id, n + 1);
    }
    Generated::All
}

fn token_event(call: &Completion, n: u64) -> Bytes {
    let is_last = n + 1 == call.max_tokens;
    let finish_reason = is_last.then_some("length");
    let text = text::token(&call.model, &call.prompt, n);
    let event = json!({
        "id": call.request_id,
        "choices": [
            { "index": 0, "text": text, "token_index": n, "finish_reason": finish_reason },
        ],
    });
    Bytes::from(format!("data: {event}\n\n"))
}

/// Simulates the prefill of the part of the prompt that is not cached, then caches it.
async fn prefill(shared: &Arc<Shared>, call: &Completion) {
    let hashes = text::prefix_hashes(&call.model, &call.prompt);
    let stored = {
        let mut inner = shared.lock();
        let stored = inner.cache.stored(&hashes);
        inner.schedule.counts.prompt_blocks += hashes.len() as u64;
        inner.schedule.counts.cached_blocks += stored as u64;
        stored
    };
    let part = if hashes.is_empty() {
        1.0
    } else {
        (hashes.len() - stored) as f64 / hashes.len() as f64
    };
    pause(prefill_time(shared, part)).await;
    let now = shared.now();
    shared.lock().cache.store(now, &hashes);
    keep(shared, call, call.resume_from);
}

fn stops(shared: &Shared, generated: u64) -> bool {
    let stop_after = shared.faults.borrow().stop_after_tokens;
    stop_after > 0 && generated >= stop_after
}

fn keep(shared: &Shared, call: &Completion, tokens: u64) {
    if call.request_id.is_empty() {
        return;
    }
    let content = KvContent {
        model: call.model.clone(),
        prompt: call.prompt.clone(),
        tokens,
    };
    let request_id = call.request_id.clone();
    shared.lock().kv.keep(request_id, content);
}

/// Responds with the KV cache of a request.
pub(super) fn export(shared: &Shared, request_id: &str) -> Result<Response, Refusal> {
    let inner = shared.lock();
    let kept = inner.kv.kept.iter().find(|(id, _)| id == request_id);
    let (_, content) =
        kept.ok_or_else(|| Refusal::new(404, "no KV cache is stored for this request"))?;
    let json = serde_json::to_vec(content).expect("the content is plain data");
    let kv = json.iter().map(|byte| format!("{byte:02x}")).collect();
    let request_id = request_id.to_owned();
    Ok(answer::json(200, &KvText { request_id, kv }))
}

/// Imports a KV cache, so that the request continues without a prefill.
pub(super) fn import(shared: &Shared, text: KvText) -> Result<Response, Refusal> {
    let content =
        decode(&text.kv).ok_or_else(|| Refusal::new(400, "kv is not an exported KV cache"))?;
    let hashes = text::prefix_hashes(&content.model, &content.prompt);
    let now = shared.now();
    let mut inner = shared.lock();
    inner.cache.store(now, &hashes);
    let tokens = content.tokens;
    inner.kv.keep(text.request_id, content);
    Ok(answer::json(200, &json!({ "tokens": tokens })))
}

fn decode(kv: &str) -> Option<KvContent> {
    let pairs = kv.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let json: Option<Vec<u8>> = pairs.map(byte).collect();
    serde_json::from_slice(&json?).ok()
}
