//! Targets of the entry daemon whose connection ends inside the head of an answer, against real
//! processes.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use azurelug_system::booking::Booking;
use azurelug_system::operator::Operator;
use azurelug_system::system::{ACCOUNT_KEY, System, wait_until};
use azurelug_testkit::caller::{self, CallResult};
use azurelug_testkit::service::{self, digest};
use azurelug_types::config::StageKind;
use azurelug_types::patch::Change;
use http::{HeaderName, HeaderValue};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Deadline of the calls.
const DEADLINE: Duration = Duration::from_secs(4);

/// Calls without a cut answer at the start, so that retry budgets aren't empty.
const EARLIER_CALLS: u64 = 24;

/// Where and how answers are cut.
#[derive(Clone, Copy, Debug)]
struct Cut {
    /// Bytes of the head that are passed on.
    bytes: usize,
    is_reset: bool,
    /// Whether all answers are cut, not only the next one.
    is_for_all: bool,
}

/// What happens to the answers of the targets of one role.
#[derive(Default)]
struct Plan {
    cut: Option<Cut>,
    /// Answers that were cut.
    count: usize,
    /// The last head that was passed on.
    head: String,
}

type Plans = BTreeMap<String, Arc<Mutex<Plan>>>;

async fn forward(listener: TcpListener, target: SocketAddr, plan: Arc<Mutex<Plan>>) {
    while let Ok((client, _)) = listener.accept().await {
        let plan = Arc::clone(&plan);
        // Errors are ignored, because either side may close a connection at any time.
        tokio::spawn(async move { forward_connection(client, target, &plan).await.ok() });
    }
}

async fn forward_connection(
    mut client: TcpStream,
    target: SocketAddr,
    plan: &Mutex<Plan>,
) -> io::Result<()> {
    let mut server = TcpStream::connect(target).await?;
    let (mut request, mut answer) = (vec![0; 65_536], vec![0; 65_536]);
    let mut is_answer_due = false;
    loop {
        tokio::select! {
            count = client.read(&mut request) => {
                let count = count?;
                if count == 0 {
                    return Ok(());
                }
                is_answer_due = true;
                server.write_all(&request[..count]).await?;
            }
            count = server.read(&mut answer) => {
                let bytes = &answer[..count?];
                if bytes.is_empty() {
                    return Ok(());
                }
                let is_start = std::mem::take(&mut is_answer_due);
                let cut = is_start.then(|| plan.lock().unwrap().next_cut(bytes)).flatten();
                let Some(cut) = cut else {
                    client.write_all(bytes).await?;
                    continue;
                };
                client.write_all(&bytes[..cut.bytes]).await?;
                // The bytes arrive before the end.
                sleep(Duration::from_millis(20)).await;
                if cut.is_reset {
                    client.set_zero_linger()?;
                }
                return Ok(());
            }
        }
    }
}

impl Plan {
    /// The cut for an answer that starts with `bytes`, which contain its head.
    fn next_cut(&mut self, bytes: &[u8]) -> Option<Cut> {
        let cut = match self.cut {
            Some(cut) if !cut.is_for_all => self.cut.take(),
            cut => cut,
        };
        if cut.is_some() {
            self.count += 1;
        } else {
            let text = String::from_utf8_lossy(bytes);
            let head = text.split_inclusive("\r\n\r\n").next();
            self.head = head.unwrap_or_default().to_owned();
        }
        cut
    }
}

/// Cuts inside the status line, inside and after each line of a head, and inside the blank line, with
/// both ends of the connection in turn. Every eighth one is made for all answers as well.
fn cuts(head: &str) -> Vec<Cut> {
    assert!(head.ends_with("\r\n\r\n"), "{head:?}");
    let mut places = vec![5, "HTTP/1.1 200".len()];
    let mut start = 0;
    for line in head.split_inclusive("\r\n").filter(|it| *it != "\r\n") {
        places.extend([line.len() / 2, line.len() - 1, line.len()].map(|it| start + it));
        start += line.len();
    }
    places.push(start + 1);
    let places = places.iter().enumerate();
    let all = places.flat_map(|(number, bytes)| {
        [false, true].map(|is_for_all| {
            let cut = Cut {
                bytes: *bytes,
                is_reset: (number % 2 == 0) != is_for_all,
                is_for_all,
            };
            (!is_for_all || number % 8 == 0).then_some(cut)
        })
    });
    all.flatten().collect()
}

/// Puts a forwarder before each target of a system.
async fn add_forwarders(system: &System) -> Plans {
    let operator = Operator::new();
    let config = operator.config(system.operators_address(0)).await.unwrap();
    let mut plans = Plans::new();
    let mut changes = Vec::new();
    for (name, mut target) in config.targets {
        let role = name.as_str().split('-').next().unwrap().to_owned();
        let plan = Arc::clone(plans.entry(role).or_default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(forward(listener, target.address, plan));
        target.address = address;
        changes.push(Change::SetTarget { name, target });
    }
    let version = operator.change(system.operators_address(0), changes).await;
    system
        .wait_state(0, |state| state["version"] == version.0)
        .await;
    plans
}

/// Calls the idempotent operation of the service; returns whether it was successful.
async fn look_up(client: &Client, entry: SocketAddr) -> bool {
    let body = json!({"item": "roasted corn"});
    let mut call = Call::post_json(entry, "/v1/services/stock/look-up", &body, DEADLINE * 2);
    for (name, text) in [
        ("authorization", format!("Bearer {ACCOUNT_KEY}")),
        ("azurelug-deadline-ms", DEADLINE.as_millis().to_string()),
    ] {
        let value = HeaderValue::from_str(&text).unwrap();
        call.headers.push((HeaderName::from_static(name), value));
    }
    let (status, answer) = client.send_whole(call, 64 * 1024).await.unwrap();
    if status == 200 {
        let answer: service::Answer = serde_json::from_slice(&answer).unwrap();
        assert_eq!(answer.echo_digest, digest(body.to_string().as_bytes()));
    }
    status == 200
}

/// Makes a call of a kind; returns whether it was successful.
async fn make_call(system: &System, client: &Client, role: &str, number: u64) -> bool {
    let entry = system.callers_address(0);
    if role == "book" {
        let booking = Booking::new(DEADLINE);
        let answer = booking.send(entry).await.expect("an answer");
        let executions = system.executions_of_key(&booking.key);
        assert!(executions <= 1, "{answer:?}");
        if answer.status == 200 {
            let answer: service::Answer = serde_json::from_value(answer.body).unwrap();
            assert_eq!((answer.operation.as_str(), executions), ("book", 1));
        } else if answer.is_not_run() {
            assert_eq!(executions, 0, "{answer:?}");
        }
        return answer.status == 200;
    }
    if role == "stock" {
        return look_up(client, entry).await;
    }
    let mut settings = system.call_settings(&[0], 1, Duration::from_millis(1));
    settings.deadline = DEADLINE;
    settings.max_tokens = 4;
    match caller::make_call(client, &settings, number).await {
        CallResult::Correct { .. } => true,
        CallResult::Refused { .. } => false,
        CallResult::Wrong { message } => panic!("{role}: {message}"),
    }
}

/// Guards against a success that is not the whole answer of a target, and against bookings that run
/// twice, when the head of an answer is cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_whose_head_is_cut_is_not_passed_on_as_success() {
    let system = System::start().await;
    let plans = add_forwarders(&system).await;
    let client = Client::pooled().unwrap();
    let roles = StageKind::ALL.map(StageKind::as_str);
    let mut number = 0;
    while number < EARLIER_CALLS {
        number += 1;
        assert!(make_call(&system, &client, "encode", number).await);
    }
    for role in roles.into_iter().chain(["stock", "book"]) {
        let plan = &plans[if role == "book" { "stock" } else { role }];
        // Calls by whether all answers or one were to be cut, whether one was, and their success.
        let mut outcomes = BTreeMap::<_, usize>::new();
        // Targets whose answers were all cut aren't called for some time.
        wait_until(role, || make_call(&system, &client, role, number)).await;
        let cuts = cuts(&plan.lock().unwrap().head);
        for cut in cuts {
            // The second number makes it a call for a stream.
            number += 2;
            make_call(&system, &client, role, number).await;
            *plan.lock().unwrap() = Plan {
                cut: Some(cut),
                ..Plan::default()
            };
            let is_success = make_call(&system, &client, role, number + 1).await;
            let is_cut = std::mem::take(&mut *plan.lock().unwrap()).count > 0;
            let may_succeed = !is_cut || (!cut.is_for_all && role != "book");
            assert!(may_succeed || !is_success, "{role}: {cut:?}");
            *outcomes
                .entry((cut.is_for_all, is_cut, is_success))
                .or_default() += 1;
        }
        let count = |wanted| outcomes.get(&wanted).copied().unwrap_or_default();
        // Retry budgets are used up at times, and failing targets aren't called.
        let is_exercised = count((false, true, true)) > 0 || role == "book";
        let is_cut_everywhere = count((true, true, false)) > 0;
        assert!(is_exercised && is_cut_everywhere, "{role}: {outcomes:?}");
    }
}
