//! The binary: ready lines, and flags that are passed on to the doubles.

#[path = "support/common.rs"]
mod common;

use std::net::SocketAddr;
use std::process::Stdio;

use azurelug_http::Client;
use common::{TIMEOUT, get};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Starts a subcommand and returns the addresses in its ready line. Dropping the child kills it.
async fn start(arguments: &[&str]) -> (Child, Vec<SocketAddr>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_azurelug-testkit"))
        .args(arguments)
        .args(["--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the binary starts");
    let output = child.stdout.take().expect("a piped output");
    let mut line = String::new();
    let mut output = BufReader::new(output);
    let read = tokio::time::timeout(TIMEOUT, output.read_line(&mut line)).await;
    read.expect("a ready line in time")
        .expect("a readable output");
    let addresses = line.strip_prefix("ready ").expect("a ready line");
    let addresses = addresses.split_whitespace().map(str::parse);
    (child, addresses.map(|a| a.expect("an address")).collect())
}

/// Guards against a subcommand that does not start, or that prints an address it does not serve.
#[tokio::test]
async fn each_subcommand_serves_on_its_ready_address() {
    let client = Client::pooled().unwrap();
    let (_engine, engine) = start(&["engine", "--model", "m+wax@2", "--limit", "3"]).await;
    let state = get(&client, engine[0], "/v1/state").await;
    assert_eq!(state["loaded"][0], "m+wax@2");
    assert_eq!(get(&client, engine[0], "/v1/load").await["limit"], 3);

    let (_service, service) = start(&["service"]).await;
    get(&client, service[0], "/test/executions").await;

    let engine_address = engine[0].to_string();
    let (_reporter, reporter) = start(&["reporter", "--engine", &engine_address]).await;
    get(&client, reporter[0], "/v1/loads").await;

    let (_platform, platform) = start(&["platform", "--vm", "vm-1,a,127.0.0.1:9"]).await;
    let vms = get(&client, platform[0], "/v1/vms").await;
    assert_eq!(vms[0]["name"], "vm-1");

    let (_proxy, proxy) = start(&["proxy", "--target", &engine_address]).await;
    assert_eq!(get(&client, proxy[0], "/v1/load").await["limit"], 3);
    let link = get(&client, proxy[1], "/test/link").await;
    assert_eq!(link["forward"], "pass");
}
