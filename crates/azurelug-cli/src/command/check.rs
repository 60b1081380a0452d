//! `azurelug check`.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use azurelug_core::gateway::lint;
use azurelug_platform::document;
use azurelug_types::deployment::Field;
use azurelug_types::id::ServiceName;
use bpaf::Bpaf;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::control::Control;
use crate::difference::{self, Difference};
use crate::error::Error;
use crate::output;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Show what differs from the version in force; the address `deployment.operators` of a control
    /// daemon
    #[bpaf(argument("ADDRESS"))]
    against: Option<SocketAddr>,
    /// Number of targets of a service, which the document doesn't contain; may be repeated
    #[bpaf(argument("SERVICE=COUNT"))]
    targets: Vec<TargetCount>,
    /// The configuration document
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

#[derive(Clone, Debug)]
struct TargetCount {
    service: String,
    count: usize,
}

impl FromStr for TargetCount {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let help = || format!("'{text}' is not SERVICE=COUNT, for example chat=4");
        let (service, count) = text.split_once('=').ok_or_else(help)?;
        let count = count.parse().map_err(|_| help())?;
        let service = service.to_owned();
        Ok(Self { service, count })
    }
}

#[derive(Debug, Serialize)]
struct Warning {
    file: String,
    field: String,
    problem: String,
    remedy: &'static str,
}

/// What the check found, as printed with `--json`.
#[derive(Debug, Serialize)]
struct Report {
    version: u64,
    warnings: Vec<Warning>,
    #[serde(skip_serializing_if = "Option::is_none")]
    differences: Option<Vec<Difference>>,
}

pub(crate) async fn run(
    control: &Control,
    arguments: &Arguments,
    is_json: bool,
) -> Result<(), Error> {
    let path = &arguments.file;
    let bytes = std::fs::read(path).map_err(|error| {
        let remedy = "check the path and the permissions";
        invalid(path, format!("can't be read: {error}; {remedy}"))
    })?;
    let deployment = document::read(&bytes).map_err(|error| match error.field() {
        Some(field) => invalid(path, format!("{field}: {error}")),
        None => invalid(path, error.to_string()),
    })?;
    let targets = arguments.targets.iter();
    let targets: HashMap<ServiceName, usize> = targets
        .map(|it| (ServiceName(it.service.clone()), it.count))
        .collect();
    let findings = lint::check(&deployment, &targets).into_iter();
    let warnings = findings.map(|finding| Warning {
        file: path.display().to_string(),
        field: document::field_path(finding.list, &finding.entry, finding.field),
        problem: finding.problem,
        remedy: finding.remedy,
    });
    let warnings: Vec<Warning> = warnings.collect();
    let in_force = match arguments.against {
        Some(address) => Some(in_force(control, address).await?),
        None => None,
    };
    let differences = match &in_force {
        Some(in_force) => Some(differences(path, &bytes, in_force)?),
        None => None,
    };
    let report = Report {
        version: deployment.version,
        warnings,
        differences,
    };
    show(&report, is_json);
    let current = in_force.and_then(|document| document.get("version")?.as_u64());
    let current = current.filter(|current| *current >= deployment.version);
    current.map_or(Ok(()), |current| {
        let field = document::field_name(Field::Version);
        let version = deployment.version;
        let message = format!(
            "{field}: {version} has no effect, because {current} is in force; choose a higher number"
        );
        Err(invalid(path, message))
    })
}

fn invalid(path: &Path, message: String) -> Error {
    let path = path.to_owned();
    Error::Document { path, message }
}

async fn in_force(control: &Control, address: SocketAddr) -> Result<Value, Error> {
    control.get(address, document::CONFIGURATION_PATH).await
}

fn differences(path: &Path, bytes: &[u8], in_force: &Value) -> Result<Vec<Difference>, Error> {
    let document: Value =
        serde_json::from_slice(bytes).map_err(|error| invalid(path, error.to_string()))?;
    let trees = [in_force.clone(), document].map(|mut document| {
        if let Some(fields) = document.as_object_mut() {
            fields.remove(document::field_name(Field::Version));
        }
        by_name(document)
    });
    let [before, after] = trees;
    Ok(difference::between_values(&before, &after))
}

/// Replaces lists of named entries by objects, so that an entry that moves is no difference.
fn by_name(value: Value) -> Value {
    let name = |entry: &Value| {
        let name = entry.get(document::field_name(Field::Name))?;
        name.as_str().map(str::to_owned)
    };
    match value {
        Value::Object(fields) => {
            let fields = fields.into_iter();
            let keys = document::field_name(Field::Keys);
            let fields = fields.map(|(key, value)| {
                let value = if key == keys {
                    hide(&value)
                } else {
                    by_name(value)
                };
                (key, value)
            });
            Value::Object(fields.collect())
        }
        Value::Array(entries)
            if !entries.is_empty() && entries.iter().all(|it| name(it).is_some()) =>
        {
            let named = entries
                .into_iter()
                .filter_map(|entry| Some((name(&entry)?, entry)));
            let fields: Map<String, Value> = named.map(|(name, it)| (name, by_name(it))).collect();
            Value::Object(fields)
        }
        other => other,
    }
}

/// Replaces secrets by a hash, so that a change is shown and the secret is not.
fn hide(secrets: &Value) -> Value {
    let mut hasher = DefaultHasher::new();
    secrets.to_string().hash(&mut hasher);
    Value::String(format!("hash {:016x}", hasher.finish()))
}

fn show(report: &Report, is_json: bool) {
    if is_json {
        output::json(report);
        return;
    }
    for warning in &report.warnings {
        let Warning {
            file,
            field,
            problem,
            remedy,
        } = warning;
        println!("warning: {file}: {field}: {problem}; {remedy}");
    }
    if report.warnings.is_empty() {
        println!("version {}: no errors and no warnings", report.version);
    }
    if let Some(differences) = &report.differences {
        difference::print(differences, false);
    }
}
