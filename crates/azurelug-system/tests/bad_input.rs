//! Malformed input from callers and from the private network, against real processes.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use azurelug_system::Booking;
use azurelug_system::system::{System, wait_until};
use azurelug_testkit::caller;
use azurelug_wire::codec::{self, Reader};
use azurelug_wire::handshake::Identity;
use azurelug_wire::{Connection, Error, Frame};
use bytes::Bytes;
use h2::client::SendRequest;
use http::{HeaderName, HeaderValue, Method};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PIPELINE: &str = "/v1/pipelines/season-summary";
const BOOK: &str = "/v1/services/stock/book";
const VALID_BODY: &str = r#"{"input": "how was the season?", "max_tokens": 4}"#;

/// The key that the system's processes share.
const SHARED_KEY: &str = "0123456789abcdef0123456789abcdef";

/// One request that must be refused.
struct Case {
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: String,
    status: u16,
    reason: &'static str,
    /// Text that the refusal's help must contain.
    help: &'static str,
}

fn case(status: u16, reason: &'static str) -> Case {
    Case {
        path: PIPELINE,
        headers: vec![("authorization", "Bearer carts-key")],
        body: VALID_BODY.to_owned(),
        status,
        reason,
        help: "",
    }
}

fn cases() -> Vec<Case> {
    let body = |text: &str, help| Case {
        body: text.to_owned(),
        help,
        ..case(400, "bad_request")
    };
    let deadline = |text| Case {
        headers: vec![
            ("authorization", "Bearer carts-key"),
            ("azurelug-deadline-ms", text),
        ],
        ..case(400, "deadline_passed")
    };
    let booking = |headers: &[(&'static str, &'static str)], help| {
        let mut all = vec![("authorization", "Bearer carts-key")];
        all.extend(headers);
        Case {
            path: BOOK,
            headers: all,
            help,
            ..case(400, "bad_request")
        }
    };
    let path = |path, reason| Case {
        path,
        ..case(404, reason)
    };
    let key = |headers| Case {
        headers,
        ..case(401, "unauthorized")
    };
    vec![
        body("{\"input\": \"how", "line 1"),
        body("", "line 1"),
        body("[1, 2]", "JSON object"),
        body(r#" ["how was the season?", 4, false]"#, "JSON object"),
        body(r#"{"input": "x", "speed": 9}"#, "speed"),
        body(r#"{"input": "x", "max_tokens": 0}"#, "max_tokens"),
        body(r#"{"input": "x", "max_tokens": -4}"#, "-4"),
        Case {
            body: format!(r#"{{"input": "{}"}}"#, "x".repeat(1024 * 1024)),
            ..case(413, "too_large")
        },
        path("/v1/pipelines/none", "unknown_pipeline"),
        path("/v1/services/none/book", "unknown_service"),
        path("/v1/services/stock/none", "unknown_service"),
        deadline("0"),
        deadline("-5"),
        deadline("12001"),
        deadline("soon"),
        key(vec![]),
        key(vec![("authorization", "Bearer wrong")]),
        key(vec![("authorization", "carts-key")]),
        booking(&[], "UUIDv7"),
        booking(&[("idempotency-key", "order 12")], "UUIDv7"),
        booking(
            &[("idempotency-key", "7f7a1a53-52a9-4b5c-9d3c-0d8f1a2b3c4d")],
            "UUIDv7",
        ),
    ]
}

/// Guards against a malformed request that is executed, that gets no clear refusal, or that disturbs
/// other requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_malformed_request_gets_one_clear_refusal() {
    let mut system = System::start().await;
    let client = Client::pooled().unwrap();
    for case in cases() {
        let mut headers = vec![];
        for (name, value) in &case.headers {
            headers.push((
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            ));
        }
        let body_start: String = case.body.chars().take(60).collect();
        let call = Call {
            method: Method::POST,
            address: system.callers_address(0),
            path: case.path.to_owned(),
            headers,
            body: Bytes::from(case.body),
            timeout: Duration::from_secs(5),
        };
        let sent = format!("{} {:?} {body_start}", case.path, case.headers);
        let answer = client.send_whole(call, 64 * 1024).await;
        let (status, body) = answer.unwrap_or_else(|error| panic!("{sent}: {error}"));
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let reason = body["reason"].as_str().unwrap_or_default();
        assert_eq!((status, reason), (case.status, case.reason), "{sent}");
        assert_eq!(body["execution"], "not_run", "{sent}");
        let help = body["help"].as_str().unwrap_or_default();
        assert!(
            !help.is_empty() && help.contains(case.help),
            "{sent}: {help}"
        );
    }
    assert!(system.zones.iter().all(|zone| {
        let engines = zone.engines.values().map(|engine| engine.counts().started);
        engines.sum::<u64>() == 0 && zone.stock.executions().operations.is_empty()
    }));
    assert_system_works(&mut system).await;
}

/// Checks that all processes run and that pipelines and bookings work.
async fn assert_system_works(system: &mut System) {
    let calls = system.call_settings(&[0, 1, 2], 9, Duration::from_millis(5));
    let report = caller::run(calls).await.unwrap();
    let problems = (report.refused(), report.wrong());
    assert_eq!(report.correct(), 9, "{problems:?}");
    for zone in 0..3 {
        let booking = Booking::new(Duration::from_secs(4));
        let answer = booking.send(system.callers_address(zone)).await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    for zone in &mut system.zones {
        assert!(!zone.control.has_ended() && !zone.entry.has_ended());
    }
}

fn identity(cluster: &str, key: &str) -> Identity {
    Identity {
        cluster: cluster.to_owned(),
        daemon: "entry-z".into(),
        zone: "zone-a".into(),
        incarnation: 1,
        key: key.as_bytes().to_vec(),
    }
}

/// Guards against bytes of another protocol on the internal port that stop the daemon or keep a
/// connection open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn garbage_on_the_internal_port_ends_only_its_connection() {
    let mut system = System::start().await;
    let http = b"GET / HTTP/1.1\r\nhost: control\r\n\r\n".to_vec();
    let noise: Vec<u8> = (0..64 * 1024_u32).map(|i| (i * 31 % 251) as u8).collect();
    for bytes in [http, noise, vec![0; 4096], vec![0xff; 4096], Vec::new()] {
        let mut stream = TcpStream::connect(system.internal_address(0))
            .await
            .unwrap();
        // The daemon may close the connection before it has read everything.
        let _ = stream.write_all(&bytes).await;
        let mut rest = Vec::new();
        let closed = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut rest));
        assert!(
            closed.await.is_ok(),
            "the connection is still open after {} bytes",
            bytes.len()
        );
    }
    assert_system_works(&mut system).await;
}

/// Opens an h2 connection to a control daemon without the handshake of the internal protocol.
async fn connect_without_handshake(system: &System) -> SendRequest<Bytes> {
    let stream = TcpStream::connect(system.internal_address(0))
        .await
        .unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(async move {
        // The daemon may end the connection at any time.
        let _ = connection.await;
    });
    sender
}

async fn open_stream(sender: &SendRequest<Bytes>) -> Option<(h2::SendStream<Bytes>, Reader)> {
    let mut ready = sender.clone().ready().await.ok()?;
    let request = http::Request::post("http://azurelug/").body(()).unwrap();
    let (response, body) = ready.send_request(request, false).ok()?;
    Some((body, Reader::new(response.await.ok()?.into_body())))
}

/// Sends a frame length of 4 GiB and only 1 KiB of data, and checks that the peer ends the stream.
async fn announce_4_gib(body: &mut h2::SendStream<Bytes>, reader: &mut Reader) {
    let mut bytes = vec![0xff; 4];
    bytes.extend(vec![7; 1024]);
    body.send_data(Bytes::from(bytes), false).unwrap();
    let ended = tokio::time::timeout(Duration::from_secs(5), reader.next());
    let ended = ended
        .await
        .expect("the stream is still open after a frame length of 4 GiB");
    let is_refusal = matches!(ended, Err(_) | Ok(None | Some(Frame::Refused { .. })));
    assert!(is_refusal, "{ended:?}");
}

/// Guards against a daemon that allocates, or waits for, the 4 GiB that the length of a frame
/// announces, before and after the handshake.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frame_that_announces_4_gib_is_refused() {
    let mut system = System::start().await;
    let sender = connect_without_handshake(&system).await;
    let (mut body, mut reader) = open_stream(&sender).await.unwrap();
    let challenge = reader.next().await.unwrap();
    assert!(matches!(challenge, Some(Frame::Challenge { .. })));
    announce_4_gib(&mut body, &mut reader).await;

    let sender = connect_without_handshake(&system).await;
    let (mut body, mut reader) = open_stream(&sender).await.unwrap();
    let Some(Frame::Challenge { nonce }) = reader.next().await.unwrap() else {
        panic!("the daemon sent no challenge")
    };
    let hello = identity("test", SHARED_KEY).hello(&nonce, [1; 16]);
    codec::send(&mut body, &Frame::Hello(hello), true)
        .await
        .unwrap();
    let welcome = reader.next().await.unwrap();
    assert!(matches!(welcome, Some(Frame::Welcome { .. })));
    let (mut body, mut reader) = open_stream(&sender).await.unwrap();
    announce_4_gib(&mut body, &mut reader).await;
    assert_system_works(&mut system).await;
    let peak = system.zones[0].control.peak_memory_kib().unwrap();
    assert!(
        peak < 256 * 1024,
        "the control daemon's peak memory is {peak} KiB"
    );
}

/// Whether a request on a new stream of the connection gets an answer.
async fn is_answered(sender: &SendRequest<Bytes>) -> bool {
    let exchange = async {
        let (mut body, mut reader) = open_stream(sender).await?;
        let renew = Frame::Renew {
            version: azurelug_types::id::Version(0),
            in_flight: 0,
            sequence: 1,
            heard: 0,
        };
        codec::send(&mut body, &renew, true).await.ok()?;
        reader.next().await.ok()?
    };
    let answer = tokio::time::timeout(Duration::from_secs(3), exchange).await;
    answer.is_ok_and(|answer| answer.is_some())
}

/// Guards against a process of another cluster, or without the shared key, that is accepted as a
/// peer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_peer_with_a_wrong_key_or_cluster_is_refused_with_the_cause() {
    let mut system = System::start().await;
    let wrong_key = "fedcba9876543210fedcba9876543210";
    for (identity, cause) in [
        (identity("test", wrong_key), "shared key"),
        (identity("other", SHARED_KEY), "cluster 'other'"),
    ] {
        // The handshake is written out because `Connection::open` would also reject the acceptor's
        // proof.
        let sender = connect_without_handshake(&system).await;
        let (mut body, mut reader) = open_stream(&sender).await.unwrap();
        let Some(Frame::Challenge { nonce }) = reader.next().await.unwrap() else {
            panic!("the daemon sent no challenge")
        };
        let hello = identity.hello(&nonce, [1; 16]);
        let sent = codec::send(&mut body, &Frame::Hello(hello), true).await;
        sent.unwrap();
        match reader.next().await {
            Ok(Some(Frame::Refused { message })) => assert!(message.contains(cause), "{message}"),
            other => panic!("expected a refusal with '{cause}', got {other:?}"),
        }
        assert!(
            !is_answered(&sender).await,
            "{cause}: a refused peer gets answers"
        );

        let opened = Connection::open(system.internal_address(0), Arc::new(identity)).await;
        match opened.map(|connection| connection.peer().to_string()) {
            Err(Error::Handshake { message }) => assert!(message.contains(cause), "{message}"),
            other => panic!("expected a handshake error with '{cause}', got {other:?}"),
        }
    }
    assert_system_works(&mut system).await;
}

/// Guards against an entry daemon that logs nothing while control daemons refuse its handshake.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_daemon_with_a_wrong_key_or_cluster_logs_the_cause() {
    let mut system = System::start().await;
    let folder = system.folder().to_owned();
    std::fs::write(folder.join("other-key"), "fedcba9876543210fedcba9876543210").unwrap();
    let valid_settings = std::fs::read_to_string(folder.join("entry-a.yaml")).unwrap();
    let key_line = format!("{}/key", folder.display());
    let other_key = format!("{}/other-key", folder.display());
    for (text, cause) in [
        (valid_settings.replace(&key_line, &other_key), "shared key"),
        (
            valid_settings.replace("cluster: test", "cluster: other"),
            "cluster 'other'",
        ),
    ] {
        system.zones[0].entry.kill();
        std::fs::write(folder.join("entry-a.yaml"), &text).unwrap();
        system.zones[0].entry.start();
        let log = || system.zones[0].entry.log();
        wait_until("a warning with the cause in the log", || async {
            log()
                .lines()
                .any(|line| line.contains("WARN") && line.contains(cause))
        })
        .await;
        // The cause is logged once for each control daemon, not with every attempt.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let count = log().lines().filter(|line| line.contains(cause)).count();
        assert!(count <= 3, "the cause was logged in {count} lines");
        let answer = Booking::new(Duration::from_secs(4))
            .send(system.callers_address(0))
            .await
            .unwrap();
        assert_eq!(answer.refusal(), (503, "no_configuration", "not_run"));
    }
    std::fs::write(folder.join("entry-a.yaml"), &valid_settings).unwrap();
    system.zones[0].entry.kill();
    system.zones[0].entry.start();
    system.wait_ready().await;
    assert_system_works(&mut system).await;
}

/// Guards against a control daemon that can't join its cluster and logs no cause, and against one
/// with a wrong key that disturbs the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_daemon_with_a_wrong_key_logs_the_cause() {
    let mut system = System::start().await;
    let folder = system.folder().to_owned();
    let follower = (system.wait_leader().await + 1) % 3;
    let name = system.control_data_folder(follower).with_extension("yaml");
    std::fs::write(folder.join("other-key"), "fedcba9876543210fedcba9876543210").unwrap();
    let valid_settings = std::fs::read_to_string(&name).unwrap();
    let key_line = format!("{}/key", folder.display());
    let other_key = format!("{}/other-key", folder.display());
    system.zones[follower].control.kill();
    std::fs::write(&name, valid_settings.replace(&key_line, &other_key)).unwrap();
    system.zones[follower].control.start();
    wait_until("a warning with the cause in the log", || async {
        let log = system.zones[follower].control.log();
        let is_warning_with_cause =
            |line: &str| line.contains("WARN") && line.contains("shared key");
        log.lines().any(is_warning_with_cause)
    })
    .await;
    assert_system_works(&mut system).await;
    system.zones[follower].control.kill();
    std::fs::write(&name, &valid_settings).unwrap();
    system.zones[follower].control.start();
    system.wait_ready().await;
    assert_system_works(&mut system).await;
}
