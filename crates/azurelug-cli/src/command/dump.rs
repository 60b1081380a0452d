//! `azurelug dump`.

use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::control::Control;
use crate::error::Error;
use crate::output;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Operators' address of a control daemon, or admin address of an entry daemon
    #[bpaf(positional("ADDRESS"))]
    address: SocketAddr,
}

pub(crate) async fn run(control: &Control, arguments: &Arguments) -> Result<(), Error> {
    let state: serde_json::Value = control.get(arguments.address, "/debug/state").await?;
    output::json(&state);
    Ok(())
}
