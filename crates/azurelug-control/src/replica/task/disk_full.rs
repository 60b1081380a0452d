//! How a member whose disk is full answers requests.

use azurelug_coordination::raft::{Body, Node};

use crate::replica::{ProposeError, Request};

/// The leader as known to a member whose disk is full.
pub(super) struct Leader {
    pub(super) term: u64,
    pub(super) slot: Option<u32>,
}

/// Answers a request while the disk is full. Commands are referred to the leader.
pub(super) fn refuse(request: Request, node: &Node, leader: &mut Leader) {
    match request {
        Request::Propose { reply, .. } => {
            // The caller may have given up.
            let _ = reply.send(Err(ProposeError::NotLeader(leader.slot)));
        }
        Request::LogState(reply) => {
            let _ = reply.send(node.state());
        }
        // The log sends missing messages again.
        Request::Receive(message) => {
            let leads = matches!(message.body, Body::Append { .. } | Body::Chunk { .. });
            if leads && message.term >= leader.term {
                *leader = Leader {
                    term: message.term,
                    slot: Some(message.from.slot),
                };
            }
        }
        // This member does not lead, and can't write the change that takes its vote.
        Request::Leave => {}
    }
}
