//! Measures the cost of the control plane: CPU time, memory and network traffic of three control
//! daemons and of the control client of many entry daemons, idle and per configuration change. The
//! control daemons are real processes; the control clients run in this process.
//!
//! `cargo build --release --workspace --bins && cargo run --release -p azurelug-system --example
//! control_cost -- --daemons 100 --accounts 5000 --targets 200 --seconds 10`

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use azurelug_entry::control_link::ControlLink;
use azurelug_entry::entry_state::EntryState;
use azurelug_entry::shares::Shares;
use azurelug_system::operator::{Operator, zone_state};
use azurelug_system::system::{System, ZONES, wait_until};
use azurelug_testkit::engine;
use azurelug_types::config::{Account, Entry, Role, State, Target};
use azurelug_types::id::{AccountName, DaemonName, TargetName, Version, ZoneName};
use azurelug_types::patch::Change;
use azurelug_wire::handshake::Identity;
use bpaf::Bpaf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Changes in one patch. Keeps its command below the log's limit of 256 KiB.
const CHANGES_PER_PATCH: usize = 1000;

/// Clock ticks per second in `/proc/PID/stat`; 100 on all supported Linux platforms.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measures the cost of the control plane
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of entry daemons
    #[bpaf(argument("COUNT"), fallback(10))]
    daemons: usize,
    /// Number of client accounts
    #[bpaf(argument("COUNT"), fallback(5))]
    accounts: usize,
    /// Number of targets, spread over the three zones
    #[bpaf(argument("COUNT"), fallback(20))]
    targets: usize,
    /// Duration of the idle measurement
    #[bpaf(argument("SECONDS"), fallback(10))]
    seconds: u64,
    /// Number of configuration changes
    #[bpaf(argument("COUNT"), fallback(20))]
    changes: usize,
    /// Answer the reads of the targets' state in this process, whose CPU time is then counted as
    /// that of the entry daemons; without it, connections to targets are refused
    #[bpaf(switch)]
    engines: bool,
}

#[tokio::main]
async fn main() {
    let options = options().run();
    let mut system = System::prepare(engine::Settings::default(), false).await;
    for zone in &mut system.zones {
        zone.control.set_argument("--initialize", true);
        zone.control.start();
    }
    let operator = Operator::new();
    let control = system.operators_address(0);
    wait_until("a control daemon", || async {
        operator.config(control).await.is_some()
    })
    .await;
    system.wait_leader().await;
    for batch in initial_changes_with(&system, &options)
        .await
        .chunks(CHANGES_PER_PATCH)
    {
        operator.change(control, batch.to_vec()).await;
    }
    let version = operator
        .config(control)
        .await
        .expect("read the configuration")
        .version;

    let byte_count = Arc::new(AtomicU64::new(0));
    let proxy_address =
        start_counting_proxy(system.internal_address(0), Arc::clone(&byte_count)).await;
    let started = Instant::now();
    let gateways = start_gateways(&system, &options, proxy_address);
    wait_in_force(&gateways, version).await;
    println!("{options:?}");
    println!(
        "full configuration in force at all daemons: {} ms",
        started.elapsed().as_millis()
    );
    println!(
        "bytes transferred by the start of one daemon: {}",
        byte_count.load(Ordering::Relaxed)
    );

    sleep(Duration::from_secs(3)).await;
    let (before, entry_cpu, bytes) = (
        control_cpu(&system),
        cpu_seconds("self"),
        byte_count.load(Ordering::Relaxed),
    );
    sleep(Duration::from_secs(options.seconds)).await;
    let seconds = options.seconds as f64;
    let daemons = options.daemons as f64;
    let spent: Vec<f64> = control_cpu(&system)
        .iter()
        .zip(&before)
        .map(|(now, before)| now - before)
        .collect();
    println!(
        "idle, CPU of each control daemon, % of a core: {:?}",
        percent(&spent, seconds)
    );
    println!(
        "idle, CPU of one entry daemon, % of a core: {:.3}",
        (cpu_seconds("self") - entry_cpu) / seconds / daemons * 100.0
    );
    let idle_bytes = byte_count.load(Ordering::Relaxed) - bytes;
    println!(
        "idle, traffic of one entry daemon, bytes/s: {:.0}",
        idle_bytes as f64 / seconds
    );
    println!(
        "resident memory of each control daemon, MB: {:?}",
        control_memory(&system)
    );
    println!(
        "resident memory of all entry daemons together, MB: {}",
        resident_megabytes("self")
    );

    let (before, entry_cpu, bytes) = (
        control_cpu(&system),
        cpu_seconds("self"),
        byte_count.load(Ordering::Relaxed),
    );
    let mut delays = Vec::new();
    for number in 0..options.changes {
        let state = if number % 2 == 0 {
            State::Draining
        } else {
            State::Active
        };
        let sent = Instant::now();
        let version = operator
            .change(control, vec![zone_state(ZONES[2], state)])
            .await;
        wait_in_force(&gateways, version).await;
        delays.push(sent.elapsed().as_millis());
    }
    delays.sort_unstable();
    let changes = options.changes as f64;
    let spent: f64 = control_cpu(&system)
        .iter()
        .zip(&before)
        .map(|(now, before)| now - before)
        .sum();
    println!(
        "time until a change is in force at all daemons, ms: p50 {} max {}",
        delays[delays.len() / 2],
        delays[delays.len() - 1]
    );
    println!(
        "CPU time of all control daemons per change, ms: {:.1}",
        spent / changes * 1000.0
    );
    println!(
        "CPU time of one entry daemon per change, ms: {:.3}",
        (cpu_seconds("self") - entry_cpu) / changes / daemons * 1000.0
    );
    let change_bytes = byte_count.load(Ordering::Relaxed) - bytes;
    println!(
        "traffic of one entry daemon per change, including lease renewals, bytes: {}",
        change_bytes / options.changes as u64
    );
}

/// The initial configuration with further entry daemons, accounts and targets.
async fn initial_changes_with(system: &System, options: &Options) -> Vec<Change> {
    let mut changes = system.initial_changes();
    for number in 0..options.daemons {
        let entry = Entry {
            zone: ZoneName::from(ZONES[number % 3]),
        };
        changes.push(Change::SetEntry {
            name: daemon_name(number),
            entry,
        });
    }
    for number in 0..options.accounts {
        let account = Account {
            key_digest: format!("{number:064x}"),
            weight: 1,
            max_in_flight: 64,
        };
        changes.push(Change::SetAccount {
            name: AccountName(format!("account-{number}")),
            account,
        });
    }
    let Some(Change::SetTarget {
        target: template, ..
    }) = changes
        .iter()
        .find(|change| matches!(change, Change::SetTarget { .. }))
        .cloned()
    else {
        return changes;
    };
    for number in 0..options.targets {
        let address = if options.engines {
            start_engine(STATE).await
        } else {
            // No process listens on these addresses.
            let host = u32::try_from(number).expect("target numbers fit into a u32");
            SocketAddr::from((Ipv4Addr::from(0x7fc8_0000 + host), 1))
        };
        let target = Target {
            zone: ZoneName::from(ZONES[number % 3]),
            address,
            role: Role::clone(&template.role),
            ..template.clone()
        };
        changes.push(Change::SetTarget {
            name: TargetName(format!("target-{number}")),
            target,
        });
    }
    changes
}

/// The answer to `GET /v1/state` of an `encode` engine with its model.
const STATE: &str = r#"{"loaded":["embed@1"],"role":"encode","fencing":0}"#;

/// Starts a server that answers every request with `state` and closes the connection.
async fn start_engine(state: &'static str) -> SocketAddr {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("bind a listener; the limit on open files must exceed the number of targets");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{state}",
        state.len()
    );
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            // A request without a body fits into one read. Errors are ignored, since the peer may
            // have closed the connection.
            let _ = stream.read(&mut [0; 2048]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

fn daemon_name(number: usize) -> DaemonName {
    DaemonName(format!("daemon-{number}"))
}

/// Starts the control clients of the entry daemons. The first one connects to the control daemon of
/// the first zone through `proxy_address`.
fn start_gateways(
    system: &System,
    options: &Options,
    proxy_address: SocketAddr,
) -> Vec<Arc<EntryState>> {
    let make = |number: usize| {
        let own_zone = number % 3;
        let address = |zone: usize| {
            if number == 0 && zone == 0 {
                proxy_address
            } else {
                system.internal_address(zone)
            }
        };
        let controls: Vec<(ZoneName, SocketAddr)> = (0..3)
            .map(|step| (own_zone + step) % 3)
            .map(|zone| (ZoneName::from(ZONES[zone]), address(zone)))
            .collect();
        let identity = Arc::new(Identity {
            cluster: "test".to_owned(),
            daemon: daemon_name(number),
            zone: ZoneName::from(ZONES[own_zone]),
            incarnation: number as u64,
            key: b"0123456789abcdef0123456789abcdef".to_vec(),
        });
        let addresses = controls.iter().map(|(_, address)| *address).collect();
        let link = ControlLink::new(addresses, Arc::clone(&identity));
        let (name, zone) = (identity.daemon.clone(), identity.zone.clone());
        let shares = Shares::new(name.clone(), zone.clone(), identity.incarnation, controls);
        let gateway =
            Arc::new(EntryState::new(name, zone, link, shares).expect("build the client"));
        tokio::spawn(
            gateway
                .control_link
                .clone()
                .maintain_connection(Arc::downgrade(&gateway)),
        );
        Shares::spawn_renewals(&gateway, &identity);
        gateway
    };
    (0..options.daemons).map(make).collect()
}

async fn wait_in_force(gateways: &[Arc<EntryState>], version: Version) {
    while gateways.iter().any(|gateway| gateway.version() < version) {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Starts a proxy that forwards connections to `target` and counts the bytes of both directions.
async fn start_counting_proxy(target: SocketAddr, byte_count: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("bind a listener");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(target).await else {
                continue;
            };
            for stream in [&client, &server] {
                stream.set_nodelay(true).expect("set TCP_NODELAY");
            }
            let (from_client, to_client) = client.into_split();
            let (from_server, to_server) = server.into_split();
            tokio::spawn(forward_and_count(
                from_client,
                to_server,
                Arc::clone(&byte_count),
            ));
            tokio::spawn(forward_and_count(
                from_server,
                to_client,
                Arc::clone(&byte_count),
            ));
        }
    });
    address
}

async fn forward_and_count(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    byte_count: Arc<AtomicU64>,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        byte_count.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

fn control_process_ids(system: &System) -> Vec<String> {
    system
        .zones
        .iter()
        .filter_map(|zone| zone.control.id())
        .map(|id| id.to_string())
        .collect()
}

fn control_cpu(system: &System) -> Vec<f64> {
    control_process_ids(system)
        .iter()
        .map(|id| cpu_seconds(id))
        .collect()
}

fn control_memory(system: &System) -> Vec<u64> {
    control_process_ids(system)
        .iter()
        .map(|id| resident_megabytes(id))
        .collect()
}

/// CPU time that a process has used, in seconds.
fn cpu_seconds(process: &str) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).expect("the process runs");
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<f64>().expect("CPU times are numbers");
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Resident memory of a process, in MB.
fn resident_megabytes(process: &str) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{process}/status")).expect("the process runs");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .expect("the status has a VmRSS line");
    let kilobytes: u64 = line
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .expect("VmRSS is a number");
    kilobytes / 1024
}

fn percent(spent: &[f64], seconds: f64) -> Vec<String> {
    spent
        .iter()
        .map(|spent| format!("{:.2}", spent / seconds * 100.0))
        .collect()
}
