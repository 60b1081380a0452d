//! `azurelug-testkit caller`: calls a pipeline, checks every response and prints a table.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use azurelug_testkit::caller::{self, CallResult, Report, Settings};
use azurelug_types::config::StageKind;
use bpaf::Bpaf;

use super::Error;

#[derive(Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Client-facing address of an entry daemon; may be repeated, used round-robin
    #[bpaf(argument("ADDRESS"), some("name at least one entry daemon"))]
    entry: Vec<SocketAddr>,
    /// API key of the account
    #[bpaf(argument("KEY"))]
    key: String,
    /// Name of the pipeline
    #[bpaf(argument("NAME"))]
    pipeline: String,
    /// A stage as KIND=MODEL; repeat it in the order of the pipeline
    #[bpaf(argument("KIND=MODEL"), some("name the stages of the pipeline"))]
    stage: Vec<StageArgument>,
    /// Number of calls
    #[bpaf(argument("CALLS"), fallback(20))]
    requests: u64,
    /// Time between the starts of two calls
    #[bpaf(argument("MS"), fallback(50))]
    pause_ms: u64,
    /// Number of tokens to request
    #[bpaf(argument("TOKENS"), fallback(24))]
    max_tokens: u32,
    /// Deadline of each call
    #[bpaf(argument("MS"), fallback(12_000))]
    deadline_ms: u64,
    /// Number of refusals that are tolerated
    #[bpaf(argument("CALLS"), fallback(0))]
    allow_refused: usize,
}

/// A stage as given on the command line.
#[derive(Clone, Debug)]
struct StageArgument {
    kind: StageKind,
    model: String,
}

impl std::str::FromStr for StageArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (kind, model) = text.split_once('=').ok_or("expected KIND=MODEL")?;
        let found = StageKind::ALL
            .into_iter()
            .find(|known| known.as_str() == kind);
        let kind = found.ok_or_else(|| format!("unknown stage kind '{kind}'"))?;
        Ok(Self {
            kind,
            model: model.to_owned(),
        })
    }
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), Error> {
    let settings = Settings {
        entries: arguments.entry,
        key: arguments.key,
        pipeline: arguments.pipeline,
        stages: arguments
            .stage
            .into_iter()
            .map(|stage| (stage.kind, stage.model))
            .collect(),
        requests: arguments.requests,
        interval: Duration::from_millis(arguments.pause_ms),
        max_tokens: arguments.max_tokens,
        deadline: Duration::from_millis(arguments.deadline_ms),
    };
    let report = caller::run(settings).await?;
    print_report(&report);
    let refused: usize = report.refused().values().sum();
    let wrong = report.wrong();
    for message in wrong.iter().take(5) {
        println!("wrong: {message}");
    }
    if !wrong.is_empty() || refused > arguments.allow_refused {
        let message = format!("{} wrong responses, {refused} refusals", wrong.len());
        return Err(Error::CheckFailed(message));
    }
    Ok(())
}

fn print_report(report: &Report) {
    let refused = report.refused();
    println!(
        "{} calls, {} correct, refused {refused:?}",
        report.results.len(),
        report.correct()
    );
    let mut durations: Vec<Duration> = Vec::new();
    let mut first_tokens: Vec<Duration> = Vec::new();
    for (_, end) in &report.results {
        if let CallResult::Correct {
            duration,
            first_token,
            ..
        } = end
        {
            durations.push(*duration);
            first_tokens.extend(first_token);
        }
    }
    println!(
        "answer p50 {} p95 {} ms, first token p50 {} p95 {} ms",
        percentile(&mut durations, 50),
        percentile(&mut durations, 95),
        percentile(&mut first_tokens, 50),
        percentile(&mut first_tokens, 95)
    );
    let mut groups: BTreeMap<StageKind, Vec<&caller::Stage>> = BTreeMap::new();
    for stage in report.stages() {
        groups.entry(stage.stage).or_default().push(stage);
    }
    println!(
        "{:<10}{:>7}{:>9}{:>9}{:>8}{:>9}  targets",
        "stage", "calls", "p50 ms", "p95 ms", "tokens", "retried"
    );
    for (kind, stages) in groups {
        let mut latencies: Vec<Duration> = stages
            .iter()
            .map(|stage| Duration::from_millis(stage.latency_ms))
            .collect();
        let tokens: u64 = stages.iter().map(|stage| stage.tokens).sum();
        let retried = stages.iter().filter(|stage| stage.attempt > 0).count();
        let mut targets: BTreeMap<&str, usize> = BTreeMap::new();
        for stage in &stages {
            *targets.entry(stage.target.as_str()).or_insert(0) += 1;
        }
        let targets: Vec<String> = targets
            .iter()
            .map(|(target, calls)| format!("{target}:{calls}"))
            .collect();
        println!(
            "{:<10}{:>7}{:>9}{:>9}{tokens:>8}{retried:>9}  {}",
            kind.as_str(),
            stages.len(),
            percentile(&mut latencies, 50),
            percentile(&mut latencies, 95),
            targets.join(" ")
        );
    }
}

/// The percentile `percent` of the samples in milliseconds; 0 without samples.
fn percentile(samples: &mut [Duration], percent: usize) -> u128 {
    samples.sort_unstable();
    let index = samples.len().saturating_sub(1) * percent / 100;
    samples.get(index).map_or(0, Duration::as_millis)
}
