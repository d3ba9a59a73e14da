//! The way from other tasks to the owner loops.

use std::sync::Arc;

use berylgw_core::ledger::{Completion, Digest, Grant, Reply, Target};
use tokio::sync::{mpsc, oneshot, watch};

/// Commands waiting at one partition; more are refused.
const WAITING: usize = 1_024;

/// Doubts about peers waiting to be looked into; each claim repeats them.
const DOUBTS: usize = 16;

/// What the loop of a partition is asked to do.
#[derive(Debug)]
pub enum Command {
    /// Claim a key.
    Claim {
        key: Digest,
        body: Digest,
        target: Target,
        reply: oneshot::Sender<Reply>,
    },
    /// Take in what became of a grant.
    Complete {
        grant: Grant,
        completion: Completion,
        accepted: oneshot::Sender<bool>,
    },
}

/// Access to the owner loops and to what is known about peers.
#[derive(Debug)]
pub struct Handle {
    pub(super) partitions: Vec<mpsc::Sender<Command>>,
    pub(super) doubts: mpsc::Sender<Arc<str>>,
    /// Sorted names of entries that do not answer.
    pub(super) suspected: watch::Sender<Vec<Arc<str>>>,
}

/// The loops' end of a [`Handle`].
#[derive(Debug)]
pub struct Inbox {
    pub(super) partitions: Vec<mpsc::Receiver<Command>>,
    pub(super) doubts: mpsc::Receiver<Arc<str>>,
}

/// Makes a handle for a number of partitions.
pub fn channel(partitions: u32) -> (Handle, Inbox) {
    let (senders, receivers) = (0..partitions).map(|_| mpsc::channel(WAITING)).unzip();
    let (doubts, doubted) = mpsc::channel(DOUBTS);
    let handle = Handle {
        partitions: senders,
        doubts,
        suspected: watch::Sender::new(Vec::new()),
    };
    let inbox = Inbox {
        partitions: receivers,
        doubts: doubted,
    };
    (handle, inbox)
}

impl Handle {
    /// Names of entries that do not answer.
    pub fn suspects(&self) -> Vec<Arc<str>> {
        self.suspected.borrow().clone()
    }

    /// Notes that an entry did not answer.
    pub fn suspect(&self, name: &Arc<str>) {
        self.suspected.send_if_modified(|names| {
            let Err(index) = names.binary_search(name) else {
                return false;
            };
            names.insert(index, name.clone());
            true
        });
    }

    /// Notes that an entry answers.
    pub(super) fn clear(&self, name: &Arc<str>) {
        self.suspected.send_if_modified(|names| {
            let Ok(index) = names.binary_search(name) else {
                return false;
            };
            names.remove(index);
            true
        });
    }
}
