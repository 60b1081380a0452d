//! Measures the entry daemon under load: `load overload|slow|burst|step`.
//!
//! Starts a whole system with engines of known speed, warms it up, sends calls through one entry
//! daemon and checks the answers. The environment variable `AZURELUG_ENTRY` selects another build
//! of the entry daemon for a comparison.

use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use azurelug_system::System;
use azurelug_testkit::caller::{self, CallResult, Report};
use azurelug_testkit::engine::{Faults, Settings};
use azurelug_types::config::StageKind;

/// A short call takes about 3 x 50 ms, then 50 ms + 16 x 25 ms in the generate stage. The 24
/// generate slots of the three zones complete 53 such calls per second.
const PREFILL_TIME: Duration = Duration::from_millis(50);
const TOKEN_TIME: Duration = Duration::from_millis(25);
const CALLS_PER_SECOND: u64 = 53;

#[tokio::main]
async fn main() {
    let scenario = std::env::args().nth(1).unwrap_or_default();
    let settings = Settings {
        prefill_time: PREFILL_TIME,
        token_time: TOKEN_TIME,
        max_waiting: 256,
        ..Settings::default()
    };
    let system = System::start_with(settings).await;
    // Each target starts at its cold limit; the limit in force rises with completed calls.
    let warm = call_settings(&system, 240, CALLS_PER_SECOND / 3, 16, 12_000);
    print_report("warm-up", &run(warm).await);
    print_state(&system).await;
    match scenario.as_str() {
        "overload" => {
            let settings = call_settings(
                &system,
                12 * 2 * CALLS_PER_SECOND,
                2 * CALLS_PER_SECOND,
                16,
                2_000,
            );
            print_report("overload at twice the capacity", &run(settings).await);
        }
        "slow" => {
            let faults = Faults {
                hang: true,
                ..Faults::default()
            };
            system.zones[0].engines[&StageKind::Rerank].set_faults(faults);
            let settings = call_settings(&system, 200, CALLS_PER_SECOND / 3, 16, 12_000);
            print_report("one of three rerank engines hangs", &run(settings).await);
        }
        "burst" => {
            let long = call_settings(&system, 60, 1_000, 128, 12_000);
            let short = call_settings(&system, 60, 6, 16, 2_000);
            let (long, short) = tokio::join!(run(long), run(short));
            print_report("60 long calls in a burst", &long);
            print_report("short calls during the burst", &short);
        }
        "step" => {
            // Long enough for the daemon to release the slots leased from the other zones.
            tokio::time::sleep(Duration::from_secs(8)).await;
            let per_second = CALLS_PER_SECOND * 8 / 10;
            let settings = call_settings(&system, 8 * per_second, per_second, 16, 2_000);
            print_report(
                "step from idle to 80% of the capacity",
                &run(settings).await,
            );
        }
        _ => {
            eprintln!("load: unknown scenario; use one of: overload, slow, burst, step");
            std::process::exit(2);
        }
    }
    print_stage_cost(&system).await;
}

fn call_settings(
    system: &System,
    requests: u64,
    per_second: u64,
    max_tokens: u32,
    deadline_ms: u64,
) -> caller::Settings {
    let pause = Duration::from_secs(1) / u32::try_from(per_second).unwrap_or(1);
    caller::Settings {
        max_tokens,
        deadline: Duration::from_millis(deadline_ms),
        ..system.call_settings(&[0], requests, pause)
    }
}

async fn run(settings: caller::Settings) -> Report {
    caller::run(settings).await.expect("build the client")
}

fn print_report(name: &str, report: &Report) {
    let mut answered = Vec::new();
    let mut refused = Vec::new();
    let mut not_run = 0;
    let mut without_retry_time = 0;
    let mut refused_at = Vec::new();
    for (at, end) in &report.results {
        match end {
            CallResult::Correct { duration, .. } => answered.push(*duration),
            CallResult::Refused {
                duration,
                execution,
                retry_after_ms,
                ..
            } => {
                refused.push(*duration);
                refused_at.push(at.as_millis());
                not_run += usize::from(execution == "not_run");
                without_retry_time += usize::from(retry_after_ms.is_none());
            }
            CallResult::Wrong { .. } => {}
        }
    }
    println!("{name}: {} calls", report.results.len());
    println!(
        "  answered {} {}",
        answered.len(),
        percentiles(&mut answered)
    );
    println!("  refused {} {}", refused.len(), percentiles(&mut refused));
    println!("    {not_run} not_run, {without_retry_time} without a retry time");
    println!("    {:?}", report.refused());
    if let (Some(first), Some(last)) = (refused_at.iter().min(), refused_at.iter().max()) {
        println!("    from {first} ms to {last} ms after the first call");
    }
    println!("  wrong {}", report.wrong().len());
    if let Some(message) = report.wrong().first() {
        println!("    {message}");
    }
}

fn percentiles(durations: &mut [Duration]) -> String {
    durations.sort_unstable();
    let at = |percent: usize| {
        let index = (durations.len() * percent / 100).min(durations.len().saturating_sub(1));
        durations.get(index).map_or(0, Duration::as_millis)
    };
    format!("p50 {} ms, p95 {} ms, max {} ms", at(50), at(95), at(100))
}

/// Prints the limit of each target and the capacity, as the entry daemon reports them.
async fn print_state(system: &System) {
    let operator = azurelug_system::Operator::new();
    let dump = operator.get(system.admin_address(0), "/debug/state").await;
    let (_, dump) = dump.expect("read the state dump");
    for target in dump["targets"].as_array().into_iter().flatten() {
        let (name, limit) = (&target["name"], &target["limit"]);
        print!("  {}: {limit}", name.as_str().unwrap_or_default());
    }
    println!();
    print_metrics(system, &["admitted ", "waiting ", "capacity "]).await;
}

/// Prints the metrics of stage time, repeats and admission.
async fn print_stage_cost(system: &System) {
    let names = [
        "stage_milliseconds_total{",
        "repeats_total{",
        "admitted ",
        "waiting ",
        "capacity ",
    ];
    print_metrics(system, &names).await;
}

async fn print_metrics(system: &System, names: &[&str]) {
    let client = Client::unpooled().expect("build the client");
    let call = Call::get(system.admin_address(0), "/metrics", Duration::from_secs(2));
    let (_, body) = client
        .send_whole(call, 1 << 20)
        .await
        .expect("read the metrics");
    let text = String::from_utf8_lossy(&body);
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        if names.iter().any(|name| line.contains(name)) {
            println!("  {}", line.trim_start_matches("azurelug_entry_"));
        }
    }
}
