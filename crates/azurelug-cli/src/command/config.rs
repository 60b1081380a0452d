//! `azurelug config`.

use azurelug_types::id::Version;
use bpaf::Bpaf;

use crate::control::Control;
use crate::error::Error;
use crate::output;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// An earlier version; the one in force if absent
    #[bpaf(argument("VERSION"))]
    version: Option<u64>,
}

pub(crate) async fn run(control: &Control, arguments: &Arguments) -> Result<(), Error> {
    let config = match arguments.version {
        Some(version) => control.version(Version(version)).await?,
        None => control.config().await?,
    };
    output::json(&config);
    Ok(())
}
