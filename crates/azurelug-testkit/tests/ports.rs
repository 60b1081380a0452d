//! Tests of the ports that are handed out for daemons.

use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use azurelug_testkit::port;

/// Ports that are taken and listened on.
const PORTS: usize = 20_000;

/// Threads that start processes.
const STARTERS: usize = 16;

/// Guards against a port that can't be listened on for a while, because a process that another thread
/// starts has a copy of the socket by which the port was found free.
#[test]
fn a_free_port_can_be_listened_on_while_processes_start() {
    let address = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let status = Command::new("/bin/true").status();
                    assert!(status.is_ok_and(|status| status.success()));
                }
            });
        }
        let ports = (0..PORTS).map(|_| port::free(&[address]));
        let failed = ports.filter(|port| TcpListener::bind((address, *port)).is_err());
        let failed = failed.count();
        is_over.store(true, Ordering::Relaxed);
        assert_eq!(failed, 0, "of {PORTS} ports");
    });
}
