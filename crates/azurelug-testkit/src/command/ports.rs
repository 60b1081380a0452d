//! `azurelug-testkit ports`: prints ports of the loopback address that are currently free.

use std::net::{Ipv4Addr, TcpListener};

use bpaf::Bpaf;

use super::Error;

#[derive(Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Number of ports
    #[bpaf(positional("COUNT"))]
    count: usize,
}

/// Binds all listeners before printing, so that no port is printed twice.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners: Vec<TcpListener> = (0..arguments.count).map(bind).collect::<Result<_, _>>()?;
    for listener in &listeners {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(())
}
