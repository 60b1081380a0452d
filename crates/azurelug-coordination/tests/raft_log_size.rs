//! Limits on the size of the log, with the largest commands.
#![allow(dead_code)]

#[path = "support/net.rs"]
mod net;

use std::sync::Arc;

use azurelug_coordination::raft::{Action, Event, Settings};

use net::Net;

/// More commands than fill the log several times.
const COMMANDS: u64 = 300;

impl Net {
    /// Commits a command of the largest size, then passes the requested snapshots to the nodes.
    fn commit_large_command(&mut self, token: u64) {
        let command = vec![0; Settings::default().max_command_bytes];
        let leader = self.leader();
        let first = self.actions.len();
        self.step(leader, Event::Propose { token, command });
        self.run(10);
        let requested = self.actions[first..]
            .iter()
            .filter_map(|(slot, action)| match action {
                Action::TakeSnapshot { index } => Some((*slot, *index)),
                _ => None,
            });
        let requested: Vec<(u32, u64)> = requested.collect();
        for (slot, index) in requested {
            let data = Arc::from(vec![0; 1024]);
            self.step(slot, Event::SnapshotTaken { index, data });
        }
        // The actions hold the commands.
        self.actions
            .retain(|(_, action)| matches!(action, Action::Refused { .. }));
    }
}

/// Guards against a log that stays full because the entries kept below a snapshot fill it, so that
/// no command is accepted again.
#[test]
fn large_commands_do_not_fill_the_log_for_good() {
    let mut net = Net::started();
    net.actions.clear();
    for token in 0..COMMANDS {
        net.commit_large_command(token);
        assert_eq!(net.refusal(), None, "command {token} was refused");
    }
    let limit = Settings::default().max_log_bytes;
    for slot in 0..3 {
        let held = net.state(slot).log_bytes;
        assert!(held < limit, "slot {slot} holds {held} bytes");
    }
}

/// Guards against a member that can't catch up because the entries it needs were not kept.
#[test]
fn a_member_that_missed_more_than_the_kept_entries_catches_up() {
    let mut net = Net::started();
    net.actions.clear();
    let away = net.follower();
    net.isolate(away);
    for token in 0..40 {
        net.commit_large_command(token);
    }
    assert!(net.state(net.leader()).base.index > net.state(away).commit);
    net.closed.clear();
    net.run(3000);
    let leader = net.leader();
    assert_eq!(net.state(away).commit, net.state(leader).commit);
}
