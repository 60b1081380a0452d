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
use super::api::{aborted, admit, answer_id, count_tokens, prefill_time, sleep_or_yield};
use super::schedule::CallGuard;
use crate::error_response::ErrorResponse;
use crate::text;

/// Maximum number of tokens that are buffered for a slow reader.
const STREAM_BUFFER_TOKENS: usize = 64;

/// Maximum number of KV caches that are retained.
const MAX_KV_CACHES: usize = 256;

/// Upper limit of `max_tokens`.
const MAX_TOKENS: u64 = 100_000;

/// The body of `POST /v1/completions`.
#[derive(Deserialize)]
pub(super) struct CompletionRequest {
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
pub(super) struct ExportedKv {
    request_id: String,
    kv: String,
}

#[derive(Serialize, Deserialize)]
struct KvCache {
    model: String,
    prompt: String,
    tokens: u64,
}

/// KV caches of the most recent requests.
#[derive(Default)]
pub(super) struct KvStore {
    caches: VecDeque<(String, KvCache)>,
}

impl KvStore {
    /// Records that the generation of a request has reached `tokens` tokens.
    fn set_tokens(&mut self, request_id: &str, tokens: u64) {
        let mut caches = self.caches.iter_mut().rev();
        if let Some((_, cache)) = caches.find(|(id, _)| id == request_id) {
            cache.tokens = tokens;
        }
    }

    fn insert(&mut self, request_id: String, cache: KvCache) {
        self.caches.retain(|(id, _)| *id != request_id);
        if self.caches.len() == MAX_KV_CACHES {
            self.caches.pop_front();
        }
        self.caches.push_back((request_id, cache));
    }
}

/// Generates the tokens `resume_from..max_tokens`.
pub(super) async fn complete(
    shared: &Arc<Shared>,
    mut call: CompletionRequest,
) -> Result<Response, ErrorResponse> {
    if call.max_tokens > MAX_TOKENS {
        return Err(ErrorResponse::new(400, "max_tokens is above 100000"));
    }
    let guard = admit(shared, &call.model, &call.request_id, call.priority).await?;
    call.request_id = answer_id(shared, &guard, call.request_id);
    if call.stream {
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER_TOKENS);
        let shared = shared.clone();
        tokio::spawn(async move { respond_stream(&shared, &call, guard, &sender).await });
        return Ok(answer::events(receiver));
    }
    respond_whole(shared, &call, guard).await
}

async fn respond_whole(
    shared: &Arc<Shared>,
    call: &CompletionRequest,
    mut guard: CallGuard,
) -> Result<Response, ErrorResponse> {
    guard.run(prefill(shared, call)).await.map_err(aborted)?;
    for n in call.resume_from..call.max_tokens {
        if is_stopped(shared, n - call.resume_from) {
            guard.fail();
            return Err(ErrorResponse::new(500, "fault: stop_after_tokens"));
        }
        guard
            .run(sleep_or_yield(shared.settings.token_time))
            .await
            .map_err(aborted)?;
    }
    guard.finish();
    shared
        .lock()
        .kv
        .set_tokens(&call.request_id, call.max_tokens);
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

async fn respond_stream(
    shared: &Arc<Shared>,
    call: &CompletionRequest,
    mut guard: CallGuard,
    sender: &mpsc::Sender<Bytes>,
) {
    let complete = async {
        prefill(shared, call).await;
        generate(shared, call, sender).await
    };
    // If the call is cancelled or failed, or its client disconnects, dropping the guard counts it.
    let result = tokio::select! {
        result = guard.run(complete) => result,
        () = sender.closed() => return,
    };
    match result {
        Ok(StreamEnd::Complete) => {
            guard.finish();
            let _ = sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
        }
        Ok(StreamEnd::Stopped) => guard.fail(),
        Ok(StreamEnd::Disconnected) | Err(_) => {}
    }
}

/// How a stream ended.
enum StreamEnd {
    Complete,
    Stopped,
    Disconnected,
}

async fn generate(
    shared: &Arc<Shared>,
    call: &CompletionRequest,
    sender: &mpsc::Sender<Bytes>,
) -> StreamEnd {
    let mut faults = shared.faults.subscribe();
    for n in call.resume_from..call.max_tokens {
        // The sender lives as long as the engine, so this returns only when the fault is cleared.
        let _ = faults.wait_for(|faults| !faults.pause).await;
        let sent = n - call.resume_from;
        if is_stopped(shared, sent) {
            return StreamEnd::Stopped;
        }
        sleep_or_yield(shared.settings.token_time).await;
        let duplicate_every = shared.faults.borrow().duplicate_every;
        let twice = duplicate_every > 0 && (sent + 1).is_multiple_of(duplicate_every);
        let event = token_event(call, n);
        for _ in 0..=usize::from(twice) {
            if sender.send(event.clone()).await.is_err() {
                return StreamEnd::Disconnected;
            }
        }
        shared.lock().kv.set_tokens(&call.request_id, n + 1);
    }
    StreamEnd::Complete
}

fn token_event(call: &CompletionRequest, n: u64) -> Bytes {
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
async fn prefill(shared: &Arc<Shared>, call: &CompletionRequest) {
    let hashes = text::prefix_hashes(&call.model, &call.prompt);
    let stored = {
        let mut inner = shared.lock();
        let stored = inner.cache.cached_prefix_len(&hashes);
        inner.schedule.counts.prompt_blocks += hashes.len() as u64;
        inner.schedule.counts.cached_blocks += stored as u64;
        stored
    };
    let uncached_fraction = if hashes.is_empty() {
        1.0
    } else {
        (hashes.len() - stored) as f64 / hashes.len() as f64
    };
    sleep_or_yield(prefill_time(shared, uncached_fraction)).await;
    let now = shared.now();
    shared.lock().cache.store(now, &hashes);
    store_kv(shared, call, call.resume_from);
}

fn is_stopped(shared: &Shared, generated: u64) -> bool {
    let stop_after = shared.faults.borrow().stop_after_tokens;
    stop_after > 0 && generated >= stop_after
}

fn store_kv(shared: &Shared, call: &CompletionRequest, tokens: u64) {
    if call.request_id.is_empty() {
        return;
    }
    let cache = KvCache {
        model: call.model.clone(),
        prompt: call.prompt.clone(),
        tokens,
    };
    let request_id = call.request_id.clone();
    shared.lock().kv.insert(request_id, cache);
}

/// Responds with the KV cache of a request.
pub(super) fn export(shared: &Shared, request_id: &str) -> Result<Response, ErrorResponse> {
    let inner = shared.lock();
    let found = inner.kv.caches.iter().find(|(id, _)| id == request_id);
    let (_, cache) = found.ok_or_else(|| ErrorResponse::new(404, "no KV cache of this request"))?;
    let json = serde_json::to_vec(cache).expect("a KV cache can be serialized");
    let kv = json.iter().map(|byte| format!("{byte:02x}")).collect();
    let request_id = request_id.to_owned();
    Ok(answer::json(200, &ExportedKv { request_id, kv }))
}

/// Imports a KV cache, so that the request continues without a prefill.
pub(super) fn import(shared: &Shared, exported: ExportedKv) -> Result<Response, ErrorResponse> {
    let cache =
        decode(&exported.kv).ok_or_else(|| ErrorResponse::new(400, "not an exported KV cache"))?;
    let hashes = text::prefix_hashes(&cache.model, &cache.prompt);
    let now = shared.now();
    let mut inner = shared.lock();
    inner.cache.store(now, &hashes);
    let tokens = cache.tokens;
    inner.kv.insert(exported.request_id, cache);
    Ok(answer::json(200, &json!({ "tokens": tokens })))
}

fn decode(kv: &str) -> Option<KvCache> {
    let pairs = kv.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let json: Option<Vec<u8>> = pairs.map(byte).collect();
    serde_json::from_slice(&json?).ok()
}
