//! A client of the entry daemons that checks every response.
//!
//! Engines are deterministic, so the complete expected output is computed here and compared. The
//! client never retries, so that each result belongs to exactly one call.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::client::{Call, Client, Events};
use azurelug_types::config::StageKind;
use http::{HeaderName, HeaderValue};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval};

use crate::text;

/// Number of documents that a retrieve stage returns.
const RETRIEVED_DOCUMENTS: u64 = 8;

/// Maximum length of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Settings of the calls.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Client-facing addresses of entry daemons, used round-robin.
    pub entries: Vec<SocketAddr>,
    /// API key of the account.
    pub key: String,
    /// Name of the pipeline.
    pub pipeline: String,
    /// The stages of the pipeline in order, each with the model string that its engines serve.
    pub stages: Vec<(StageKind, String)>,
    /// Number of calls.
    pub requests: u64,
    /// Time between the starts of two calls.
    pub interval: Duration,
    /// Number of tokens to request.
    pub max_tokens: u32,
    /// Deadline of each call.
    pub deadline: Duration,
}

/// One stage of a response.
#[derive(Clone, Debug, Deserialize)]
pub struct Stage {
    /// Kind of the stage.
    pub stage: StageKind,
    /// The target that completed it.
    pub target: String,
    /// The attempt that completed it.
    pub attempt: u16,
    /// Latency of that attempt in milliseconds.
    pub latency_ms: u64,
    /// Tokens that the attempt generated.
    pub tokens: u64,
}

/// How one call ended.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// A complete and correct response.
    Correct {
        /// The stages that produced it.
        stages: Vec<Stage>,
        /// Time to the end of the response.
        duration: Duration,
        /// Time to the first token, for streamed responses.
        first_token: Option<Duration>,
    },
    /// A refusal.
    Refused {
        /// Id of the request.
        request_id: String,
        /// The `reason` in the response.
        reason: String,
        /// The `execution` in the response: whether the request may have run.
        execution: String,
        /// The `retry_after_ms` in the response, if any.
        retry_after_ms: Option<u64>,
        /// Time to the refusal.
        duration: Duration,
    },
    /// An incorrect, incomplete or malformed response.
    Wrong {
        /// Description of the error.
        message: String,
    },
}

/// How all calls ended.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Results in order of completion, with the time since the first call started.
    pub results: Vec<(Duration, CallResult)>,
}

#[derive(Deserialize)]
struct PipelineResponse {
    output: Value,
    stages: Vec<Stage>,
}

impl Report {
    /// Number of calls with a correct response.
    pub fn correct(&self) -> usize {
        self.results
            .iter()
            .filter(|(_, end)| matches!(end, CallResult::Correct { .. }))
            .count()
    }

    /// Number of refusals by reason.
    pub fn refused(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for (_, end) in &self.results {
            if let CallResult::Refused { reason, .. } = end {
                *counts.entry(reason.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Descriptions of the errors in incorrect responses.
    pub fn wrong(&self) -> Vec<String> {
        let message = |(_, end): &'_ (Duration, CallResult)| match end {
            CallResult::Wrong { message } => Some(message.as_str().to_owned()),
            _ => None,
        };
        self.results.iter().filter_map(message).collect()
    }

    /// The calls without a correct response, with the time since the first call started.
    pub fn failed_calls(&self) -> Vec<&(Duration, CallResult)> {
        let is_correct = |end: &CallResult| matches!(end, CallResult::Correct { .. });
        self.results
            .iter()
            .filter(|(_, end)| !is_correct(end))
            .collect()
    }

    /// The stages of all correct responses.
    pub fn stages(&self) -> impl Iterator<Item = &Stage> {
        self.results.iter().flat_map(|(_, end)| match end {
            CallResult::Correct { stages, .. } => stages.as_slice(),
            _ => &[],
        })
    }
}

/// The output that a pipeline must produce.
pub fn expected_output(stages: &[(StageKind, String)], input: &str, max_tokens: u32) -> Value {
    let mut query = input.to_owned();
    let mut documents: Vec<String> = Vec::new();
    let mut output = Value::Null;
    for (kind, model) in stages {
        match kind {
            StageKind::Encode => {
                // Serialized as text like the response, because `json!` would convert each `f32` to
                // the exactly equal `f64`, which prints differently.
                let text = serde_json::to_string(&text::embedding(model, &query));
                output = text
                    .and_then(|text| serde_json::from_str(&text))
                    .unwrap_or_default();
            }
            StageKind::Retrieve => {
                documents = (0..RETRIEVED_DOCUMENTS)
                    .map(|rank| text::document(model, &query, rank).1)
                    .collect();
                output = json!(documents);
            }
            StageKind::Rerank => {
                let score = |document: &String| text::relevance(model, &query, document);
                documents.sort_by(|left, right| score(right).total_cmp(&score(left)));
                output = json!(documents);
            }
            StageKind::Generate => {
                let prompt = std::iter::once(query.as_str())
                    .chain(documents.iter().map(String::as_str))
                    .collect::<Vec<_>>()
                    .join("\n\n");
                query = text::tokens(model, &prompt, 0, u64::from(max_tokens));
                output = json!(query);
            }
        }
    }
    output
}

/// Makes all calls and waits until they have ended. Every second call requests a streamed response.
///
/// # Errors
/// If the HTTP client can't be built.
pub async fn run(settings: Settings) -> Result<Report, azurelug_http::Error> {
    let client = Client::pooled()?;
    let started = Instant::now();
    let mut ticks = interval(settings.interval.max(Duration::from_millis(1)));
    let mut calls = JoinSet::new();
    for number in 0..settings.requests {
        ticks.tick().await;
        let (client, settings) = (client.clone(), settings.clone());
        calls.spawn(async move {
            let end = make_call(&client, &settings, number).await;
            (started.elapsed(), end)
        });
    }
    Ok(Report {
        results: calls.join_all().await,
    })
}

/// Makes call `number`.
pub async fn make_call(client: &Client, settings: &Settings, number: u64) -> CallResult {
    let input = format!("season summary {number} for cart {}", number * 7919 % 1000);
    let is_stream = number % 2 == 1;
    let entry = settings.entries[usize::try_from(number).unwrap_or(0) % settings.entries.len()];
    let body = json!({"input": input, "max_tokens": settings.max_tokens, "stream": is_stream});
    let path = format!("/v1/pipelines/{}", settings.pipeline);
    let timeout = settings.deadline + Duration::from_secs(2);
    let mut call = Call::post_json(entry, path, &body, timeout);
    call.headers.extend(headers(settings));
    let expected = expected_output(&settings.stages, &input, settings.max_tokens);
    let started = Instant::now();
    let response = match client.send(call).await {
        Ok(response) => response,
        Err(error) => {
            return CallResult::Wrong {
                message: error.to_string(),
            };
        }
    };
    let is_events = response.status() == http::StatusCode::OK && is_stream;
    if is_events {
        return check_stream(Events::new(response, entry), &expected, started).await;
    }
    let status = response.status().as_u16();
    match azurelug_http::answer::read_body(response.into_body(), MAX_RESPONSE_BYTES).await {
        Ok(body) if status == 200 => check_whole(&body, &expected, started),
        Ok(body) => parse_refusal(&body, started),
        Err(error) => CallResult::Wrong {
            message: error.to_string(),
        },
    }
}

fn headers(settings: &Settings) -> Vec<(HeaderName, HeaderValue)> {
    let bearer = HeaderValue::from_str(&format!("Bearer {}", settings.key));
    let deadline = HeaderValue::from(settings.deadline.as_millis() as u64);
    let mut headers = vec![(HeaderName::from_static("azurelug-deadline-ms"), deadline)];
    headers.extend(
        bearer
            .ok()
            .map(|value| (http::header::AUTHORIZATION, value)),
    );
    headers
}

fn check_whole(body: &[u8], expected: &Value, started: Instant) -> CallResult {
    match serde_json::from_slice::<PipelineResponse>(body) {
        Ok(answer) if answer.output == *expected => CallResult::Correct {
            stages: answer.stages,
            duration: started.elapsed(),
            first_token: None,
        },
        Ok(answer) => CallResult::Wrong {
            message: format!("expected {expected}, got {}", answer.output),
        },
        Err(error) => CallResult::Wrong {
            message: error.to_string(),
        },
    }
}

fn parse_refusal(body: &[u8], started: Instant) -> CallResult {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    match value["reason"].as_str() {
        Some(reason) => CallResult::Refused {
            request_id: value["request_id"].as_str().unwrap_or_default().to_owned(),
            reason: reason.to_owned(),
            execution: value["execution"].as_str().unwrap_or_default().to_owned(),
            retry_after_ms: value["retry_after_ms"].as_u64(),
            duration: started.elapsed(),
        },
        None => CallResult::Wrong {
            message: String::from_utf8_lossy(body).into_owned(),
        },
    }
}

/// Checks that each token arrives once and in order, and that the tokens form the expected output.
async fn check_stream(mut events: Events, expected: &Value, started: Instant) -> CallResult {
    let mut text = String::new();
    let mut next = 0;
    let mut first_token = None;
    loop {
        let event = match events.next().await {
            Ok(Some(event)) => event,
            Ok(None) => {
                return CallResult::Wrong {
                    message: "the stream ended without a done or error event".to_owned(),
                };
            }
            Err(error) => {
                return CallResult::Wrong {
                    message: error.to_string(),
                };
            }
        };
        let value: Value = serde_json::from_str(&event.data).unwrap_or_default();
        match event.name.as_str() {
            "token" if value["index"] == json!(next) => {
                first_token.get_or_insert_with(|| started.elapsed());
                text.push_str(value["text"].as_str().unwrap_or_default());
                next += 1;
            }
            "token" => {
                return CallResult::Wrong {
                    message: format!("got token {} instead of token {next}", value["index"]),
                };
            }
            "done" if json!(text) == *expected => {
                return match check_whole(event.data.as_bytes(), expected, started) {
                    CallResult::Correct {
                        stages, duration, ..
                    } => CallResult::Correct {
                        stages,
                        duration,
                        first_token,
                    },
                    end => end,
                };
            }
            "error" => return parse_refusal(event.data.as_bytes(), started),
            _ => {
                return CallResult::Wrong {
                    message: format!("after the text '{text}': unexpected event {}", event.name),
                };
            }
        }
    }
}
