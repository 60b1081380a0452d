//! `azurelug diff`.

use azurelug_types::id::Version;
use bpaf::Bpaf;

use crate::control::Control;
use crate::difference;
use crate::error::Error;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// The earlier version
    #[bpaf(positional("A"))]
    before: u64,
    /// The later version
    #[bpaf(positional("B"))]
    after: u64,
}

pub(crate) async fn run(
    control: &Control,
    arguments: &Arguments,
    is_json: bool,
) -> Result<(), Error> {
    let before = control.version(Version(arguments.before)).await?;
    let after = control.version(Version(arguments.after)).await?;
    difference::print(&difference::between(&before, &after), is_json);
    Ok(())
}
