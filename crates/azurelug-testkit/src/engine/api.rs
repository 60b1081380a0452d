//! The engine's HTTP interface, except for text generation.
//!
//! Parses requests and builds responses. It holds no state.

use std::sync::Arc;

use azurelug_http::answer;
use http::Method;
use serde::Deserialize;
use serde_json::json;
use volo_http::request::Request;
use volo_http::response::Response;

use super::orders::{Order, Rejection};
use super::reports::{Load, millis};
use super::schedule::{AbortReason, CallGuard};
use super::{Faults, Shared, completion};
use crate::error_response::{ErrorResponse, parse_json};
use crate::text;

/// Maximum number of documents that a search returns.
const MAX_TOP_K: u64 = 1_000;

#[derive(Deserialize)]
struct EmbeddingRequest {
    model: String,
    input: Inputs,
    #[serde(default)]
    request_id: String,
    #[serde(default)]
    priority: i64,
}

/// One text or a list of texts.
#[derive(Deserialize)]
#[serde(untagged)]
enum Inputs {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct SearchRequest {
    model: String,
    #[serde(default)]
    embedding: Vec<f32>,
    query: String,
    top_k: u64,
    #[serde(default)]
    request_id: String,
    #[serde(default)]
    priority: i64,
}

#[derive(Deserialize)]
struct RerankRequest {
    model: String,
    query: String,
    documents: Vec<String>,
    top_n: usize,
    #[serde(default)]
    request_id: String,
    #[serde(default)]
    priority: i64,
}

#[derive(Deserialize)]
struct CancelRequest {
    request_id: String,
}

/// Responds to one request; errors become responses as well.
pub(super) async fn handle(shared: Arc<Shared>, request: Request) -> Response {
    let answered = dispatch(&shared, request).await;
    answered.unwrap_or_else(ErrorResponse::into_response)
}

async fn dispatch(shared: &Arc<Shared>, request: Request) -> Result<Response, ErrorResponse> {
    let path = request.uri().path().to_owned();
    if request.method() == Method::GET {
        return handle_get(shared, &path, request.uri().query().unwrap_or_default());
    }
    match path.as_str() {
        "/v1/embeddings" => embeddings(shared, parse_json(request).await?).await,
        "/v1/search" => search(shared, parse_json(request).await?).await,
        "/v1/rerank" => rerank(shared, parse_json(request).await?).await,
        "/v1/completions" => completion::complete(shared, parse_json(request).await?).await,
        "/v1/requests/cancel" => {
            let CancelRequest { request_id } = parse_json(request).await?;
            let cancelled = shared.update_schedule(|schedule| schedule.cancel(&request_id));
            Ok(answer::json(200, &json!({ "cancelled": cancelled })))
        }
        "/v1/kv" => completion::import(shared, parse_json(request).await?),
        "/v1/orders" => order(shared, parse_json(request).await?).await,
        "/test/faults" => {
            let faults: Faults = parse_json(request).await?;
            shared.set_faults(faults.clone());
            Ok(answer::json(200, &faults))
        }
        _ => Err(ErrorResponse::new(404, "no such path")),
    }
}

fn handle_get(shared: &Arc<Shared>, path: &str, query: &str) -> Result<Response, ErrorResponse> {
    if let Some(request_id) = path.strip_prefix("/v1/kv/") {
        return completion::export(shared, request_id);
    }
    match path {
        "/v1/load" => Ok(answer::json(200, &load(shared))),
        "/v1/state" => Ok(answer::json(200, &shared.lock().orders.state())),
        "/v1/cache_events" => {
            let after = query.strip_prefix("after=").unwrap_or("0").parse();
            let after = after.map_err(|_| ErrorResponse::new(400, "after is not a number"))?;
            let (now, started) = (shared.now(), shared.started_at_ms);
            let events = shared.lock().cache.events(now, after, started);
            Ok(answer::json(200, &events))
        }
        "/test/counts" => Ok(answer::json(200, &shared.lock().schedule.counts)),
        _ => Err(ErrorResponse::new(404, "no such path")),
    }
}

fn load(shared: &Shared) -> Load {
    let (at, sample) = {
        let mut inner = shared.lock();
        let (at, sample) = inner.load.report(shared.now());
        (at, *sample)
    };
    Load {
        reported_at_ms: shared.started_at_ms + millis(at),
        started_at_ms: shared.started_at_ms,
        running: sample.running,
        waiting: sample.waiting,
        warm: sample.warm,
        limit: shared.settings.max_running,
    }
}

async fn embeddings(
    shared: &Arc<Shared>,
    call: EmbeddingRequest,
) -> Result<Response, ErrorResponse> {
    let guard = admit(shared, &call.model, &call.request_id, call.priority).await?;
    let id = answer_id(shared, &guard, call.request_id);
    simulate_prefill(shared, guard).await?;
    let inputs = match call.input {
        Inputs::One(input) => vec![input],
        Inputs::Many(inputs) => inputs,
    };
    let embed = |(index, input): (usize, &String)| {
        let embedding = text::embedding(&call.model, input);
        json!({ "index": index, "embedding": embedding })
    };
    let data: Vec<_> = inputs.iter().enumerate().map(embed).collect();
    let prompt_tokens: usize = inputs.iter().map(|input| count_tokens(input)).sum();
    let usage = json!({ "prompt_tokens": prompt_tokens });
    Ok(answer::json(
        200,
        &json!({ "id": id, "model": call.model, "data": data, "usage": usage }),
    ))
}

async fn search(shared: &Arc<Shared>, call: SearchRequest) -> Result<Response, ErrorResponse> {
    if !call.embedding.is_empty() && call.embedding.len() != text::EMBEDDING_LEN {
        return Err(ErrorResponse::new(400, "an embedding has 8 values"));
    }
    let guard = admit(shared, &call.model, &call.request_id, call.priority).await?;
    let id = answer_id(shared, &guard, call.request_id);
    simulate_prefill(shared, guard).await?;
    let find = |rank| {
        let (id, text) = text::document(&call.model, &call.query, rank);
        json!({ "id": id, "text": text })
    };
    let documents: Vec<_> = (0..call.top_k.min(MAX_TOP_K)).map(find).collect();
    Ok(answer::json(
        200,
        &json!({ "id": id, "documents": documents }),
    ))
}

async fn rerank(shared: &Arc<Shared>, call: RerankRequest) -> Result<Response, ErrorResponse> {
    let guard = admit(shared, &call.model, &call.request_id, call.priority).await?;
    let id = answer_id(shared, &guard, call.request_id);
    simulate_prefill(shared, guard).await?;
    let score = |document: &String| text::relevance(&call.model, &call.query, document);
    let mut scored: Vec<_> = call.documents.iter().map(score).enumerate().collect();
    scored.sort_by(|a, b| b.1.total_cmp(&a.1));
    scored.truncate(call.top_n);
    let result = |(index, score)| json!({ "index": index, "relevance_score": score });
    let results: Vec<_> = scored.into_iter().map(result).collect();
    Ok(answer::json(200, &json!({ "id": id, "results": results })))
}

async fn order(shared: &Arc<Shared>, order: Order) -> Result<Response, ErrorResponse> {
    let accepted = shared.lock().orders.accept(&order, millis(shared.now()));
    match accepted {
        Err(Rejection::Fenced { current }) => {
            let body = json!({ "current_fencing": current });
            return Err(ErrorResponse::with_body(409, body));
        }
        Err(Rejection::Malformed) => {
            return Err(ErrorResponse::new(
                400,
                "load and unload need a model, role needs a role",
            ));
        }
        Ok(()) => {}
    }
    if let ("load", Some(model)) = (order.order.as_str(), &order.model) {
        sleep_or_yield(shared.settings.load_time).await;
        shared.lock().orders.mark_loaded(model);
    }
    Ok(answer::json(200, &shared.lock().orders.state()))
}

/// Admits a call and applies the faults that precede its work.
pub(super) async fn admit(
    shared: &Arc<Shared>,
    model: &str,
    request_id: &str,
    priority: i64,
) -> Result<CallGuard, ErrorResponse> {
    if !shared.lock().orders.is_loaded(model) {
        return Err(ErrorResponse::new(404, "model is not loaded"));
    }
    let admitted = CallGuard::admit(shared, request_id, priority).await;
    let mut guard = match admitted {
        None => return Err(ErrorResponse::new(503, "the queue is full").retry_after(1)),
        Some(admitted) => admitted.map_err(aborted)?,
    };
    let fail_every = shared.faults.borrow().fail_every;
    if fail_every > 0 && (guard.id() + 1).is_multiple_of(fail_every) {
        guard.fail();
        return Err(ErrorResponse::new(500, "fault: fail_every"));
    }
    let mut faults = shared.faults.subscribe();
    let resumed = async {
        // The sender lives as long as the engine, so this returns only when the fault is cleared.
        let _ = faults.wait_for(|faults| !faults.hang).await;
    };
    guard.run(resumed).await.map_err(aborted)?;
    Ok(guard)
}

/// The id in the response to a call.
pub(super) fn answer_id(shared: &Shared, guard: &CallGuard, request_id: String) -> String {
    let every = shared.faults.borrow().wrong_id_every;
    if every > 0 && (guard.id() + 1).is_multiple_of(every) {
        return "another-request/0/0".to_owned();
    }
    request_id
}

/// Simulates the work of a call that generates no text.
async fn simulate_prefill(shared: &Arc<Shared>, mut guard: CallGuard) -> Result<(), ErrorResponse> {
    let time = prefill_time(shared, 1.0);
    guard.run(sleep_or_yield(time)).await.map_err(aborted)?;
    guard.finish();
    Ok(())
}

/// Duration of a prefill, in proportion to the uncached fraction of the prompt.
pub(super) fn prefill_time(shared: &Shared, uncached_fraction: f64) -> std::time::Duration {
    let warm = shared.lock().schedule.is_warm();
    let factor = if warm { 1 } else { shared.settings.cold_factor };
    let delay = std::time::Duration::from_millis(shared.faults.borrow().delay_ms);
    shared.settings.prefill_time.mul_f64(uncached_fraction) * factor + delay
}

/// Sleeps, or only yields to other tasks if the time is zero.
pub(super) async fn sleep_or_yield(time: std::time::Duration) {
    if time.is_zero() {
        tokio::task::yield_now().await;
    } else {
        tokio::time::sleep(time).await;
    }
}

/// The response to a call that was cancelled or failed.
pub(super) fn aborted(reason: AbortReason) -> ErrorResponse {
    match reason {
        AbortReason::Cancelled => ErrorResponse::new(499, "cancelled"),
        AbortReason::Failed => ErrorResponse::new(500, "the batch failed"),
    }
}

/// Number of prompt tokens, at four bytes per token.
pub(super) fn count_tokens(text: &str) -> usize {
    text.len().div_ceil(4)
}
