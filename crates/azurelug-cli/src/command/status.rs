//! `azurelug status`.

use crate::control::Control;
use crate::error::Error;
use crate::output;

pub(crate) async fn run(control: &Control, is_json: bool) -> Result<(), Error> {
    let statuses = control.statuses().await;
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
    let mut rows = Vec::new();
    for (address, status) in &statuses {
        match status {
            Err(error) => rows.push(vec![
                address.to_string(),
                "control".to_owned(),
                "?".to_owned(),
                "?".to_owned(),
                error.to_string(),
            ]),
            Ok(status) => {
                let role = status.more.get("role").and_then(|role| role.as_str());
                rows.push(vec![
                    status.daemon.to_string(),
                    "control".to_owned(),
                    status.zone.to_string(),
                    status.version.to_string(),
                    role.unwrap_or("serving").to_owned(),
                ]);
                rows.extend(status.entry_daemons.iter().map(|entry| {
                    vec![
                        entry.name.to_string(),
                        "entry".to_owned(),
                        entry.zone.to_string(),
                        entry.version.to_string(),
                        format!("{}, {} in flight", entry.state, entry.in_flight),
                    ]
                }));
            }
        }
    }
    output::table(&["DAEMON", "KIND", "ZONE", "VERSION", "STATE"], &rows);
    Ok(())
}
