//! Runs `azurelug check` on documents, and against a fake of a control daemon.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::mpsc;

use azurelug_http::{Server, answer};
use serde_json::{Value, json};
use volo_http::server::route::{Router, get};

fn document(version: u64) -> Value {
    json!({
        "version": version,
        "services": [{ "name": "chat" }],
        "routes": [{
            "name": "chat", "host": "chat.example", "path_prefix": "/", "kind": "safe",
            "timeout_ms": 2000, "target_latency_ms": 1000, "service": "chat",
        }],
        "tenants": [{ "name": "shop", "api_keys": ["first-secret"] }],
    })
}

fn check(document: &Value, arguments: &[&str]) -> (i32, String, String) {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), document.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_azurelug"));
    let output: Output = command
        .arg("check")
        .arg(file.path())
        .args(arguments)
        .output()
        .unwrap();
    let text = |bytes: &[u8]| {
        let path = file.path().display().to_string();
        String::from_utf8_lossy(bytes).replace(&path, "FILE")
    };
    let code = output.status.code().unwrap();
    (code, text(&output.stdout), text(&output.stderr))
}

/// Serves the document in force on a port chosen by the kernel until the test process ends.
fn serve(in_force: Value) -> SocketAddr {
    let (sender, address) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.unwrap().block_on(async {
            let server = Server::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
            sender.send(server.address()).unwrap();
            let handler = get(move || async move { answer::json(200, &in_force) });
            let router = Router::new().route("/configuration", handler);
            server.serve(router, None).await.unwrap();
        });
    });
    address.recv().unwrap()
}

/// A check that reports what is in order would be ignored.
#[test]
fn a_sound_document_has_no_findings() {
    let (code, shown, error) = check(&document(7), &[]);
    assert_eq!(
        (code, &shown[..], &error[..]),
        (0, "version 7: no errors and no warnings\n", "")
    );
}

/// An invalid document that a script sends on because the check exits with 0.
#[test]
fn an_error_names_file_field_and_remedy_and_exits_with_3() {
    let mut unknown = document(7);
    unknown["routes"][0]["service"] = json!("chta");
    let (code, _, error) = check(&unknown, &[]);
    assert_eq!(code, 3);
    assert_eq!(
        error,
        "azurelug: FILE: routes[chat].traffic_split: route 'chat' names the service 'chta', \
         which is not listed; list it or correct the name\n"
    );
    let mut shared = document(7);
    let desk = json!({ "name": "desk", "api_keys": ["first-secret"] });
    shared["tenants"].as_array_mut().unwrap().push(desk);
    let (code, _, error) = check(&shared, &[]);
    assert_eq!(code, 3);
    assert!(error.contains("tenants[desk].api_keys"), "{error}");
    assert!(!error.contains("first-secret"), "{error}");
}

/// A warning that a script takes for an error, or without the place that it is about.
#[test]
fn a_warning_names_file_field_and_remedy_and_exits_with_0() {
    let mut late = document(7);
    late["routes"][0]["target_latency_ms"] = json!(2001);
    let (code, shown, _) = check(&late, &["--targets", "chat=1"]);
    assert_eq!(code, 0);
    assert_eq!(
        shown,
        "warning: FILE: routes[chat].target_latency_ms: the latency objective of 2001 ms is above \
         the time limit of 2000 ms; lower the objective or raise the time limit\n"
    );
}

/// A change that an operator doesn't expect, or one that a new order of the entries hides.
#[test]
fn the_differences_from_the_version_in_force_are_shown_by_name_and_without_keys() {
    let mut in_force = document(6);
    in_force["services"] = json!([{ "name": "old" }, { "name": "chat" }]);
    in_force["tenants"][0]["api_keys"] = json!(["earlier-secret"]);
    let address = serve(in_force).to_string();
    let (code, shown, error) = check(&document(7), &["--against", &address]);
    assert_eq!((code, &error[..]), (0, ""));
    assert!(shown.contains("\n- services.old: "), "{shown}");
    assert!(shown.contains("\n~ tenants.shop.api_keys: "), "{shown}");
    assert!(
        !shown.contains("services.chat") && !shown.contains("secret"),
        "{shown}"
    );
}

/// Control daemons acknowledge a document with a version that is not newer, but ignore it.
#[test]
fn a_version_that_is_not_above_the_one_in_force_is_an_error() {
    let address = serve(document(7)).to_string();
    let (code, _, error) = check(&document(7), &["--against", &address]);
    assert_eq!(code, 3);
    assert!(error.contains("FILE: version: 7 has no effect"), "{error}");
}
