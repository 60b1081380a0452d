//! `azurelug targets`.

use std::net::SocketAddr;

use bpaf::Bpaf;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::control::Control;
use crate::error::Error;
use crate::output;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Admin address of an entry daemon; may be repeated
    #[bpaf(
        positional("ADDRESS"),
        some("name the admin address of at least one entry daemon")
    )]
    addresses: Vec<SocketAddr>,
}

/// The fields of an entry daemon's state dump that are shown.
#[derive(Debug, Deserialize, Serialize)]
struct Dump {
    daemon: String,
    version: u64,
    targets: Vec<Target>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Target {
    name: String,
    zone: String,
    own: u32,
    limit: u32,
    phase: Value,
    granted: Option<u32>,
    /// Reasons why it gets no new work.
    unused: Vec<Map<String, Value>>,
}

pub(crate) async fn run(
    control: &Control,
    arguments: &Arguments,
    is_json: bool,
) -> Result<(), Error> {
    let mut dumps: Vec<Dump> = Vec::new();
    let mut last_error = None;
    for address in &arguments.addresses {
        match control.get(*address, "/debug/state").await {
            Ok(dump) => dumps.push(dump),
            Err(error) => {
                eprintln!("azurelug: {address}: {error}");
                last_error = Some(error);
            }
        }
    }
    if is_json {
        output::json(&dumps);
    } else {
        let rows: Vec<Vec<String>> = dumps.iter().flat_map(rows).collect();
        let heading = [
            "DAEMON",
            "TARGET",
            "ZONE",
            "STATE",
            "IN FLIGHT",
            "LIMIT",
            "LEASED",
            "USED",
        ];
        output::table(&heading, &rows);
    }
    // Prints the answers that arrived, but fails so that a script notices the missing ones.
    last_error.map_or(Ok(()), Err)
}

fn rows(dump: &Dump) -> impl Iterator<Item = Vec<String>> {
    dump.targets.iter().map(|target| {
        let granted = target
            .granted
            .map_or_else(|| "-".to_owned(), |it| it.to_string());
        vec![
            dump.daemon.clone(),
            target.name.clone(),
            target.zone.clone(),
            value_text(&target.phase).to_lowercase(),
            target.own.to_string(),
            target.limit.to_string(),
            granted,
            used_text(&target.unused),
        ]
    })
}

/// `yes`, or all reasons why the target is not used, with their values.
fn used_text(unused: &[Map<String, Value>]) -> String {
    if unused.is_empty() {
        return "yes".to_owned();
    }
    let reason = |unused: &Map<String, Value>| {
        let name = unused.get("reason").map_or_else(String::new, value_text);
        let figures = unused.iter().filter(|(key, _)| *key != "reason");
        let figures: Vec<String> = figures
            .map(|(key, value)| format!("{} {}", key.replace('_', " "), value_text(value)))
            .collect();
        let name = name.replace('_', " ");
        if figures.is_empty() {
            return name;
        }
        format!("{name} ({})", figures.join(", "))
    };
    let reasons: Vec<String> = unused.iter().map(reason).collect();
    format!("no: {}", reasons.join("; "))
}

fn value_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
