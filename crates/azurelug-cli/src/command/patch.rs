//! `azurelug patch`.

use std::path::{Path, PathBuf};

use azurelug_types::id::Version;
use azurelug_types::patch::{Change, Patch};
use bpaf::Bpaf;

use crate::control::Control;
use crate::error::Error;

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
    /// Check the patch and change nothing
    #[bpaf(switch)]
    dry_run: bool,
    /// YAML file with a list of changes
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

pub(crate) async fn run(control: &Control, arguments: Arguments) -> Result<(), Error> {
    let changes = read(&arguments.file)?;
    let base_version = match arguments.base {
        Some(base) => Version(base),
        None => control.config().await?.version,
    };
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
    if arguments.dry_run {
        println!("the patch fits and would create version {version}");
    } else {
        println!("accepted as version {version}, patch id {}", patch.patch_id);
    }
    Ok(())
}

fn read(path: &Path) -> Result<Vec<Change>, Error> {
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
