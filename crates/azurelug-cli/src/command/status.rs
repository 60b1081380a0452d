//! `azurelug status`.

use std::net::SocketAddr;

use crate::control::{self, Control, EntryDaemon, Status};
use crate::error::Error;
use crate::output;

pub(crate) async fn run(control: &Control, is_json: bool) -> Result<(), Error> {
    let statuses = control.statuses().await;
    if statuses.is_empty() {
        return Err(Error::NoControl);
    }
    if statuses.iter().all(|(_, status)| status.is_err()) {
        let message = "none of the given addresses answers".to_owned();
        return Err(Error::Unreachable { message });
    }
    if is_json {
        let known: Vec<_> = statuses
            .iter()
            .filter_map(|(_, status)| status.as_ref().ok())
            .collect();
        output::json(&known);
        return Ok(());
    }
    let mut rows: Vec<Vec<String>> = statuses.iter().map(control_row).collect();
    let known = statuses
        .iter()
        .filter_map(|(_, status)| status.as_ref().ok());
    rows.extend(control::entry_daemons(known).into_values().map(entry_row));
    output::table(&["DAEMON", "KIND", "ZONE", "VERSION", "STATE"], &rows);
    Ok(())
}

fn control_row((address, status): &(SocketAddr, Result<Status, Error>)) -> Vec<String> {
    let Ok(status) = status else {
        let unknown = || "?".to_owned();
        let state = "does not answer".to_owned();
        return vec![
            address.to_string(),
            "control".to_owned(),
            unknown(),
            unknown(),
            state,
        ];
    };
    let text = |key| status.more.get(key).and_then(|value| value.as_str());
    let role = text("role").unwrap_or("unknown").to_lowercase();
    let refused = text("refused_join").map(|refused| format!("; {refused}"));
    vec![
        status.daemon.to_string(),
        "control".to_owned(),
        status.zone.to_string(),
        status.version.to_string(),
        format!("{role}{}", refused.unwrap_or_default()),
    ]
}

fn entry_row(entry: &EntryDaemon) -> Vec<String> {
    let reason = match entry.reason.as_str() {
        "" => String::new(),
        reason => format!(" ({reason})"),
    };
    let state = format!("{}{reason}, {} in flight", entry.state, entry.in_flight);
    vec![
        entry.name.to_string(),
        "entry".to_owned(),
        entry.zone.to_string(),
        entry.version.to_string(),
        state,
    ]
}
