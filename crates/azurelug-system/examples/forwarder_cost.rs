//! Compares the CPU time per request of the entry daemon with that of a minimal forwarding proxy on
//! the same HTTP library. Both forward the same calls of an idempotent operation, in alternating
//! rounds.
//!
//! `cargo build --release --workspace --bins && cargo run --release -p azurelug-system --example
//! forwarder_cost -- --targets 200 --accounts 5`

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use azurelug_http::client::Call;
use azurelug_http::{Client, Server, answer};
use azurelug_system::operator::Operator;
use azurelug_system::system::{ACCOUNT_KEY, System, ZONES};
use azurelug_testkit::engine;
use azurelug_testkit::service::{Service, Settings};
use azurelug_types::config::{Account, Role};
use azurelug_types::id::{AccountName, TargetName, ZoneName};
use azurelug_types::patch::Change;
use bpaf::Bpaf;
use bytes::Bytes;
use http::{HeaderValue, Method, header};
use tokio::time::{Instant, sleep};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

/// Changes in one patch. Keeps its command below the log's limit of 256 KiB.
const CHANGES_PER_PATCH: usize = 1000;

/// Clock ticks per second in `/proc/PID/stat`; 100 on all supported Linux platforms.
const TICKS_PER_SECOND: f64 = 100.0;

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum length of an answer, in bytes.
const ANSWER_LIMIT: usize = 1024 * 1024;

/// Number of concurrent calls.
const CALLERS: usize = 8;

/// Wait after the last configuration change, and duration of the idle measurement.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Compares the entry daemon with a minimal forwarder
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of targets of the service, spread over the three zones
    #[bpaf(argument("COUNT"), fallback(20))]
    targets: usize,
    /// Number of client accounts
    #[bpaf(argument("COUNT"), fallback(5))]
    accounts: usize,
    /// Number of requests in one round
    #[bpaf(argument("COUNT"), fallback(10_000))]
    requests: usize,
    /// Number of rounds
    #[bpaf(argument("COUNT"), fallback(5))]
    rounds: usize,
    /// Only run the forwarder, to these addresses, separated by commas
    #[bpaf(argument("ADDRESSES"), fallback(String::new()))]
    forward: String,
}

#[tokio::main]
async fn main() {
    let options = options().run();
    if options.forward.is_empty() {
        compare(&options).await;
    } else {
        run_forwarder(&options.forward).await;
    }
}

/// Runs the minimal forwarder, which sends requests to the targets in rotation.
async fn run_forwarder(targets: &str) {
    let targets: Vec<SocketAddr> = targets
        .split(',')
        .map(|it| it.parse().expect("a valid address"))
        .collect();
    let targets = Arc::new(targets);
    let client = Client::pooled().expect("build the client");
    let next = Arc::new(AtomicUsize::new(0));
    let server = Server::bind((Ipv4Addr::LOCALHOST, 0).into()).await;
    let server = server.expect("bind the server");
    println!("{}", server.address());
    std::io::stdout()
        .flush()
        .expect("write the address to the parent process");
    let router = Router::new().fallback(move |request: Request| {
        let (client, targets, next) = (client.clone(), Arc::clone(&targets), Arc::clone(&next));
        async move {
            let index = next.fetch_add(1, Ordering::Relaxed) % targets.len();
            forward_request(&client, targets[index], request).await
        }
    });
    server.serve(router, None).await.expect("serve requests");
}

async fn forward_request(client: &Client, address: SocketAddr, request: Request) -> Response {
    let body = answer::read_body(request.into_body(), ANSWER_LIMIT).await;
    let call = call(address, "/look-up", body.unwrap_or_default());
    match client.send_whole(call, ANSWER_LIMIT).await {
        Ok((status, body)) => answer::with_type(status, "application/json", body.into()),
        Err(error) => answer::text(502, "text/plain", error.to_string()),
    }
}

fn call(address: SocketAddr, path: &str, body: Bytes) -> Call {
    let json = HeaderValue::from_static("application/json");
    Call {
        method: Method::POST,
        address,
        path: path.to_owned(),
        headers: vec![(header::CONTENT_TYPE, json)],
        body,
        timeout: TIMEOUT,
    }
}

async fn compare(options: &Options) {
    let system = System::start_with(engine::Settings::default()).await;
    let operator = Operator::new();
    let mut replicas = Vec::new();
    for _ in 0..options.targets {
        let service = Service::start((Ipv4Addr::LOCALHOST, 0).into(), Settings::default());
        replicas.push(service.await.expect("start a replica"));
    }
    let addresses: Vec<SocketAddr> = replicas.iter().map(Service::address).collect();
    for batch in changes(&system, options, &addresses).chunks(CHANGES_PER_PATCH) {
        operator
            .change(system.operators_address(0), batch.to_vec())
            .await;
    }
    // Only these, because the entry daemon of the first zone prefers its own zone's targets.
    let zone_targets: Vec<SocketAddr> = addresses.iter().copied().step_by(ZONES.len()).collect();
    let forwarder = Forwarder::start(&zone_targets);
    let (forwarder_address, entry_address) = (forwarder.address, system.callers_address(0));
    let entry_id = system.zones[0].entry.id().expect("the entry daemon runs");
    println!("{options:?}");
    sleep(IDLE_TIME).await;
    let before = cpu_seconds(entry_id);
    sleep(IDLE_TIME).await;
    let idle = (cpu_seconds(entry_id) - before) / IDLE_TIME.as_secs_f64();
    println!(
        "CPU of the idle entry daemon: {:.2}% of a core",
        idle * 100.0
    );
    // Opens the pooled connections before the measurement.
    run_round(
        entry_address,
        "/v1/services/stock/look-up",
        options.requests,
    )
    .await;
    run_round(forwarder_address, "/look-up", options.requests).await;
    println!(
        "CPU time per request, us: forwarder, entry daemon, entry daemon minus idle CPU; ratio"
    );
    let mut ratios = Vec::new();
    for _ in 0..options.rounds {
        let (path, requests) = ("/v1/services/stock/look-up", options.requests);
        let (forwarder_us, _) = measure(
            forwarder.child.id(),
            forwarder_address,
            "/look-up",
            requests,
        )
        .await;
        let (entry_us, seconds) = measure(entry_id, entry_address, path, requests).await;
        let net_us = entry_us - idle * seconds / requests as f64 * 1e6;
        let ratio = net_us / forwarder_us;
        println!("  {forwarder_us:.1} {entry_us:.1} {net_us:.1} {ratio:.2}");
        ratios.push(ratio);
    }
    ratios.sort_by(f64::total_cmp);
    println!("median ratio {:.2}", ratios[ratios.len() / 2]);
}

/// Changes that add accounts, and targets of the service at `addresses`.
fn changes(system: &System, options: &Options, addresses: &[SocketAddr]) -> Vec<Change> {
    let mut changes = Vec::new();
    for number in 0..options.accounts {
        let account = Account {
            key_digest: format!("{number:064x}"),
            weight: 1,
            max_in_flight: 64,
        };
        let name = AccountName(format!("account-{number}"));
        changes.push(Change::SetAccount { name, account });
    }
    let template = system
        .initial_changes()
        .into_iter()
        .find_map(|it| match it {
            Change::SetTarget { target, .. } if matches!(target.role, Role::Service(_)) => {
                Some(target)
            }
            _ => None,
        });
    let template = template.expect("the initial configuration has a service target");
    for (number, address) in addresses.iter().enumerate() {
        let zone = number % ZONES.len();
        let target = azurelug_types::config::Target {
            zone: ZoneName::from(ZONES[zone]),
            address: *address,
            ..template.clone()
        };
        let name = TargetName(format!("replica-{number}"));
        changes.push(Change::SetTarget { name, target });
    }
    changes
}

/// Runs a round; returns the CPU time per request in microseconds and the round's duration in
/// seconds.
async fn measure(process: u32, address: SocketAddr, path: &str, requests: usize) -> (f64, f64) {
    let (before, started) = (cpu_seconds(process), Instant::now());
    run_round(address, path, requests).await;
    let spent = cpu_seconds(process) - before;
    (
        spent / requests as f64 * 1e6,
        started.elapsed().as_secs_f64(),
    )
}

/// Sends calls from [`CALLERS`] tasks and expects each to succeed.
async fn run_round(address: SocketAddr, path: &str, requests: usize) {
    let client = Client::pooled().expect("build the client");
    let callers = (0..CALLERS).map(|_| {
        let (client, path) = (client.clone(), path.to_owned());
        tokio::spawn(async move {
            for _ in 0..requests / CALLERS {
                let mut call = call(address, &path, Bytes::from_static(b"{\"cart\":17}"));
                let key = format!("Bearer {ACCOUNT_KEY}");
                let key = HeaderValue::from_str(&key).expect("header values are plain text");
                call.headers.push((header::AUTHORIZATION, key));
                let (status, body) = client
                    .send_whole(call, ANSWER_LIMIT)
                    .await
                    .expect("a complete answer");
                assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("every call succeeds");
    }
}

/// The forwarder as a child process, which is killed on drop.
struct Forwarder {
    child: Child,
    address: SocketAddr,
}

impl Forwarder {
    fn start(targets: &[SocketAddr]) -> Self {
        let targets: Vec<String> = targets.iter().map(ToString::to_string).collect();
        let program = std::env::current_exe().expect("path of this program");
        let mut child = Command::new(program)
            .args(["--forward", &targets.join(",")])
            .stdout(Stdio::piped())
            .spawn()
            .expect("start the forwarder");
        let output = child.stdout.take().expect("the standard output is piped");
        let mut line = String::new();
        let read = BufReader::new(output).read_line(&mut line);
        read.expect("the forwarder prints its address");
        let address = line.trim().parse().expect("a valid address");
        Self { child, address }
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// CPU time that a process has used, in seconds.
fn cpu_seconds(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).expect("the process runs");
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<f64>().expect("CPU times are numbers");
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}
