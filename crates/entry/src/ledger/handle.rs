//! Channels from other tasks to the partition loops.

use std::sync::Arc;

use berylgw_core::ledger::{Completion, Digest, Grant, Reply, Target};
use tokio::sync::{mpsc, oneshot, watch};

/// Capacity of the command queue of a partition; further commands are refused.
const COMMAND_CAPACITY: usize = 1_024;

/// Capacity of the queue of peers to check; a request that does not fit is
/// dropped, and the next claim makes it again.
const CHECK_CAPACITY: usize = 16;

/// Command to the loop of a partition.
#[derive(Debug)]
pub enum Command {
    /// Claim a key.
    Claim {
        key: Digest,
        body: Digest,
        target: Target,
        reply: oneshot::Sender<Reply>,
    },
    /// Record the outcome of a grant.
    Complete {
        grant: Grant,
        completion: Completion,
        accepted: oneshot::Sender<bool>,
    },
}

/// Access to the partition loops and to the names of unresponsive entries.
#[derive(Debug)]
pub struct Handle {
    pub(super) partitions: Vec<mpsc::Sender<Command>>,
    pub(super) check_requests: mpsc::Sender<Arc<str>>,
    /// Sorted names of entries that do not answer.
    pub(super) unresponsive: watch::Sender<Vec<Arc<str>>>,
}

/// Receiving end of a [`Handle`].
#[derive(Debug)]
pub struct Inbox {
    pub(super) partitions: Vec<mpsc::Receiver<Command>>,
    pub(super) check_requests: mpsc::Receiver<Arc<str>>,
}

/// Creates the channels of `partitions` partitions.
pub fn channel(partitions: u32) -> (Handle, Inbox) {
    let (senders, receivers) = (0..partitions)
        .map(|_| mpsc::channel(COMMAND_CAPACITY))
        .unzip();
    let (check_requests, check_receiver) = mpsc::channel(CHECK_CAPACITY);
    let handle = Handle {
        partitions: senders,
        check_requests,
        unresponsive: watch::Sender::new(Vec::new()),
    };
    let inbox = Inbox {
        partitions: receivers,
        check_requests: check_receiver,
    };
    (handle, inbox)
}

impl Handle {
    /// Returns the names of entries that do not answer.
    pub fn unresponsive(&self) -> Vec<Arc<str>> {
        self.unresponsive.borrow().clone()
    }

    /// Marks an entry as not answering.
    pub fn mark_unresponsive(&self, name: &Arc<str>) {
        self.unresponsive.send_if_modified(|names| {
            let Err(index) = names.binary_search(name) else {
                return false;
            };
            names.insert(index, name.clone());
            true
        });
    }

    /// Marks an entry as answering.
    pub(super) fn mark_responsive(&self, name: &Arc<str>) {
        self.unresponsive.send_if_modified(|names| {
            let Ok(index) = names.binary_search(name) else {
                return false;
            };
            names.remove(index);
            true
        });
    }
}
