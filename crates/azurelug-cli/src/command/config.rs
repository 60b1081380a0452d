//! `azurelug config`.

use crate::control::Control;
use crate::error::Error;
use crate::output;

pub(crate) async fn run(control: &Control) -> Result<(), Error> {
    output::json(&control.config().await?);
    Ok(())
}
