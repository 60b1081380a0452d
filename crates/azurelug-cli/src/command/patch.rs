//! `azurelug patch`.

use std::path::{Path, PathBuf};

use azurelug_core::configuration::{self, VersionStep};
use azurelug_types::config::Config;
use azurelug_types::id::Version;
use azurelug_types::patch::{Change, Patch};
use bpaf::Bpaf;

use crate::control::Control;
use crate::difference;
use crate::error::Error;
use crate::output;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Who sends the patch, for the history
    #[bpaf(argument("NAME"))]
    author: String,
    /// Version the changes were made against; the one in force if absent
    #[bpaf(argument("VERSION"))]
    base: Option<u64>,
    /// Id of the patch; use the same one to send a patch again. Random if absent
    #[bpaf(argument("ID"))]
    patch_id: Option<String>,
    /// Check the patch, show what it would change, and change nothing
    #[bpaf(switch)]
    dry_run: bool,
    /// YAML file with a list of changes
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

pub(crate) async fn run(
    control: &Control,
    arguments: Arguments,
    is_json: bool,
) -> Result<(), Error> {
    let changes = read_changes(&arguments.file)?;
    let current = match arguments.base {
        Some(_) if !arguments.dry_run => None,
        _ => Some(control.config().await?),
    };
    let in_force = current.as_ref().map(|config| config.version);
    let base_version = arguments.base.map(Version).or(in_force).unwrap_or_default();
    let patch_id = arguments
        .patch_id
        .unwrap_or_else(|| uuid::Uuid::now_v7().to_string());
    let patch = Patch {
        patch_id,
        base_version,
        author: arguments.author,
        changes,
    };
    let version = control.patch(&patch, arguments.dry_run).await?;
    if let Some(current) = current.filter(|_| arguments.dry_run) {
        show_difference(&current, patch.changes, version, is_json);
    } else if is_json {
        output::json(&serde_json::json!({ "version": version, "patch_id": patch.patch_id }));
    } else {
        println!("accepted as version {version}, patch id {}", patch.patch_id);
    }
    Ok(())
}

/// Shows the changes that a patch would make after a dry run.
fn show_difference(current: &Config, changes: Vec<Change>, version: Version, is_json: bool) {
    if !is_json {
        println!("the patch fits and would create version {version}");
    }
    match configuration::apply_step(current, &VersionStep { version, changes }) {
        Some(next) => difference::print(&difference::between(current, &next), is_json),
        None => eprintln!("azurelug: another version came into force in the meantime; try again"),
    }
}

fn read_changes(path: &Path) -> Result<Vec<Change>, Error> {
    let problem = |message: String| Error::File {
        path: path.to_owned(),
        message,
    };
    let text = std::fs::read_to_string(path).map_err(|error| problem(error.to_string()))?;
    serde_saphyr::from_str(&text).map_err(|error| {
        let text = error.to_string();
        problem(text.lines().next().unwrap_or_default().to_owned())
    })
}
