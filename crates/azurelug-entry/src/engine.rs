//! HTTP client of the model engines: embeddings, search, rerank and completions.
//!
//! Every call carries `request/stage/attempt` as its request id, which the engine echoes. An answer
//! with a different id counts as a failure and never reaches the caller.

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_core::pipeline::{CallId, Output, StageResults};
use azurelug_core::routing::Completion;
use azurelug_http::client::{Call, Events};
use azurelug_http::{Client, Error};
use azurelug_types::config::{ModelRef, StageKind};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Size limit of an engine's non-streamed answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Number of documents that a retrieve stage requests.
const TOP_K: u32 = 8;

/// Time limit for copying a KV cache. A resumed stream, and therefore its caller, waits for the
/// copy.
const KV_COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// Size limit of a KV cache that is copied, in bytes.
const MAX_KV_CACHE_BYTES: usize = 4 * 1024 * 1024;

/// The failure of a call.
#[derive(Debug)]
pub struct Failure {
    /// Whether the engine has certainly received no byte.
    pub is_not_sent: bool,
    /// Whether the engine has certainly stopped working on the call.
    pub is_stopped: bool,
    /// Whether the engine has certainly done no work for the call, so that a retry adds no load to
    /// the stage.
    pub is_not_executed: bool,
    /// How the router rates the engine for this failure.
    pub completion: Completion,
    /// Description for the log and the state dump.
    pub message: String,
}

/// Maps the error of a call to the completion that the router records for its target.
pub fn completion(error: &Error) -> Completion {
    match error {
        Error::NoAnswer { .. } => Completion::Broken,
        Error::TimedOut { .. } => Completion::TimedOut,
        _ => Completion::Failure,
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self {
            is_not_sent: error.is_not_sent(),
            is_stopped: error.is_not_sent(),
            is_not_executed: error.is_not_sent(),
            completion: completion(&error),
            message: error.to_string(),
        }
    }
}

impl Failure {
    /// A failure that the engine reported in a complete answer. Status 404 means that the model is
    /// not loaded: the engine was restarted, or an order to load the model has not reached it yet.
    fn from_status(status: u16) -> Self {
        Self {
            is_stopped: true,
            is_not_executed: status == 404,
            ..Self::after_sending(format!("status {status}"))
        }
    }

    /// A failure after which the engine may still be working on the call.
    pub fn after_sending(message: impl Into<String>) -> Self {
        Self {
            is_not_sent: false,
            is_stopped: false,
            is_not_executed: false,
            completion: Completion::Failure,
            message: message.into(),
        }
    }
}

/// One call of a stage.
pub struct Request<'a> {
    /// The engine's address.
    pub address: SocketAddr,
    /// The call's id.
    pub call: &'a CallId,
    /// The model, which the engine must have loaded.
    pub model: &'a ModelRef,
    /// The results of the stages so far.
    pub context: &'a StageResults,
    /// Scheduling priority at the engine; lower values run first.
    pub priority: u8,
    /// Time limit for the head of the answer.
    pub timeout: Duration,
}

/// One token of a stream.
#[derive(Debug)]
pub struct Token {
    /// Its position in the generation.
    pub index: u32,
    /// Its text.
    pub text: String,
    /// Whether it is the last one.
    pub is_last: bool,
}

#[derive(Serialize)]
struct EmbeddingsBody<'a> {
    model: String,
    input: &'a str,
    request_id: String,
    priority: u8,
}

#[derive(Serialize)]
struct SearchBody<'a> {
    model: String,
    embedding: &'a [f32],
    query: &'a str,
    top_k: u32,
    request_id: String,
    priority: u8,
}

#[derive(Serialize)]
struct RerankBody<'a> {
    model: String,
    query: &'a str,
    documents: &'a [String],
    top_n: usize,
    request_id: String,
    priority: u8,
}

#[derive(Serialize)]
struct CompletionsBody {
    model: String,
    prompt: String,
    max_tokens: u32,
    stream: bool,
    priority: u8,
    request_id: String,
    resume_from: u32,
}

#[derive(Deserialize)]
struct Embeddings {
    id: String,
    data: Vec<EmbeddingData>,
}

#[derive(Deserialize)]
struct EmbeddingData {
    embedding: Vec<f32>,
}

#[derive(Deserialize)]
struct Search {
    id: String,
    documents: Vec<Document>,
}

#[derive(Deserialize)]
struct Document {
    text: String,
}

#[derive(Deserialize)]
struct Rerank {
    id: String,
    results: Vec<RerankResult>,
}

#[derive(Deserialize)]
struct RerankResult {
    index: usize,
    relevance_score: f64,
}

#[derive(Deserialize)]
struct Chunk {
    id: String,
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    text: String,
    token_index: u32,
    finish_reason: Option<String>,
}

/// The name under which engines serve a model: `model@version` or `model+adapter@version`.
pub fn model_name(model: &ModelRef) -> String {
    model.to_string()
}

/// Builds the prompt of a generate stage: the query, then the documents, best first.
pub fn prompt(context: &StageResults) -> String {
    let mut prompt = context.query.clone();
    for document in &context.documents {
        prompt.push_str("\n\n");
        prompt.push_str(document);
    }
    prompt
}

/// Runs an encode, retrieve or rerank stage, whose answer is not streamed.
///
/// # Errors
/// The cause of the failure, and whether the call was sent.
pub async fn call_unary(
    client: &Client,
    kind: StageKind,
    request: &Request<'_>,
) -> Result<Output, Failure> {
    let model = model_name(request.model);
    let request_id = request.call.to_string();
    let (context, priority) = (request.context, request.priority);
    match kind {
        StageKind::Encode => {
            let body = EmbeddingsBody {
                model,
                input: &context.query,
                request_id,
                priority,
            };
            let answer: Embeddings = exchange(client, request, "/v1/embeddings", &body).await?;
            check_id(request.call, &answer.id)?;
            let first = answer.data.into_iter().next();
            let first =
                first.ok_or_else(|| Failure::after_sending("the answer has no embedding"))?;
            Ok(Output::Embedding(first.embedding))
        }
        StageKind::Retrieve => {
            let embedding = &context.embedding;
            let query = &context.query;
            let body = SearchBody {
                model,
                embedding,
                query,
                top_k: TOP_K,
                request_id,
                priority,
            };
            let answer: Search = exchange(client, request, "/v1/search", &body).await?;
            check_id(request.call, &answer.id)?;
            Ok(Output::Documents(
                answer
                    .documents
                    .into_iter()
                    .map(|found| found.text)
                    .collect(),
            ))
        }
        StageKind::Rerank => {
            let documents = &context.documents;
            let (query, top_n) = (&context.query, documents.len());
            let body = RerankBody {
                model,
                query,
                documents,
                top_n,
                request_id,
                priority,
            };
            let answer: Rerank = exchange(client, request, "/v1/rerank", &body).await?;
            check_id(request.call, &answer.id)?;
            sort_by_score(documents, answer.results).map(Output::Documents)
        }
        StageKind::Generate => Err(Failure::after_sending("generate stages are streamed")),
    }
}

/// Starts a generate stage at token `resume_from`.
///
/// # Errors
/// The cause of the failure, and whether the call was sent.
pub async fn generate(
    client: &Client,
    request: &Request<'_>,
    max_tokens: u32,
    resume_from: u32,
) -> Result<Tokens, Failure> {
    let body = CompletionsBody {
        model: model_name(request.model),
        prompt: prompt(request.context),
        max_tokens,
        stream: true,
        priority: request.priority,
        request_id: request.call.to_string(),
        resume_from,
    };
    let call = Call::post_json(request.address, "/v1/completions", &body, request.timeout);
    let response = client.send(call).await?;
    if response.status() != http::StatusCode::OK {
        return Err(Failure::from_status(response.status().as_u16()));
    }
    Ok(Tokens {
        events: Events::new(response, request.address),
        call: request.call.clone(),
    })
}

/// Copies the KV cache of an earlier call to another engine, so that the prompt needs no prefill
/// there.
///
/// # Errors
/// The cause of the failure, for instance that one of the engines does not support it.
pub async fn copy_kv_cache(
    client: &Client,
    from: SocketAddr,
    earlier: &CallId,
    to: SocketAddr,
) -> Result<(), Failure> {
    let started = Instant::now();
    let export = Call::get(from, format!("/v1/kv/{earlier}"), KV_COPY_TIMEOUT);
    let (status, body) = client.send_whole(export, MAX_KV_CACHE_BYTES).await?;
    if status != 200 {
        return Err(Failure::after_sending(format!(
            "export failed with status {status}"
        )));
    }
    let time_left = KV_COPY_TIMEOUT.saturating_sub(started.elapsed());
    let mut import = Call::post_json(to, "/v1/kv", &(), time_left);
    import.body = body;
    match client.send_whole(import, MAX_KV_CACHE_BYTES).await? {
        (200, _) => Ok(()),
        (status, _) => Err(Failure::after_sending(format!(
            "import failed with status {status}"
        ))),
    }
}

/// The token stream of one generate call.
pub struct Tokens {
    events: Events,
    call: CallId,
}

impl Tokens {
    /// Returns the next token, or `None` at the end of the stream.
    ///
    /// # Errors
    /// If the stream is interrupted, malformed, or carries the id of another call.
    pub async fn next(&mut self) -> Result<Option<Token>, Failure> {
        let Some(event) = self.events.next().await? else {
            return Ok(None);
        };
        if event.data == "[DONE]" {
            return Ok(None);
        }
        let chunk: Chunk = serde_json::from_str(&event.data)
            .map_err(|error| Failure::after_sending(format!("malformed chunk: {error}")))?;
        check_id(&self.call, &chunk.id)?;
        let choice = chunk.choices.into_iter().next();
        let choice = choice.ok_or_else(|| Failure::after_sending("the chunk has no choice"))?;
        Ok(Some(Token {
            index: choice.token_index,
            text: choice.text,
            is_last: choice.finish_reason.is_some(),
        }))
    }
}

async fn exchange<B: Serialize, A: serde::de::DeserializeOwned>(
    client: &Client,
    request: &Request<'_>,
    path: &str,
    body: &B,
) -> Result<A, Failure> {
    let call = Call::post_json(request.address, path, body, request.timeout);
    let (status, body) = client.send_whole(call, MAX_ANSWER_BYTES).await?;
    if status != 200 {
        return Err(Failure::from_status(status));
    }
    serde_json::from_slice(&body)
        .map_err(|error| Failure::after_sending(format!("malformed answer: {error}")))
}

fn check_id(call: &CallId, echoed: &str) -> Result<(), Failure> {
    if echoed == call.to_string() {
        return Ok(());
    }
    Err(Failure::after_sending(format!(
        "the answer is for call {echoed}, not {call}"
    )))
}

/// Sorts documents by descending score. An index out of range is an error of the engine.
fn sort_by_score(
    documents: &[String],
    mut results: Vec<RerankResult>,
) -> Result<Vec<String>, Failure> {
    results.sort_by(|left, right| right.relevance_score.total_cmp(&left.relevance_score));
    results
        .into_iter()
        .map(|result| documents.get(result.index).cloned())
        .collect::<Option<Vec<_>>>()
        .ok_or_else(|| {
            Failure::after_sending("a document index in the rerank answer is out of range")
        })
}
