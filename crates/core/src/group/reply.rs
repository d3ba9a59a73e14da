//! What the head of a server's answer states of whether the request has run.
//!
//! To callers, some statuses promise that a request has not run and never will. A server
//! may send them without such a promise, so that they are only forwarded where a request
//! may run again.

/// What counts in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The status code.
    pub status: u16,
    /// Whether the server states that it has not run the request.
    pub not_run: bool,
    /// Whether the answer names a server that failed.
    pub names_failed: bool,
    /// Whether it answers another request.
    pub is_other: bool,
    /// Whether the server has signed it.
    pub is_signed: bool,
}

/// What an answer means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Another process at the address of the server answered; the request has not run.
    Replaced,
    /// The request has not run.
    NotRun {
        /// Whether the group of the server is broken.
        group_broken: bool,
    },
    /// The request may have run, and the answer cannot be forwarded.
    Unproven,
    /// The server ran the request and failed.
    Failed,
    /// The answer is forwarded.
    Answered,
}

/// Returns whether a status promises callers that the request has not run.
pub const fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Decides what the head of an answer means. `repeatable` states whether the request may
/// run more than once.
///
/// ```
/// use berylgw_core::group::reply::{Head, Verdict, judge};
///
/// let head = Head { status: 429, is_signed: true, ..Head::default() };
/// assert_eq!(judge(head, false), Verdict::Unproven);
/// let stated = Head { not_run: true, ..head };
/// assert_eq!(judge(stated, false), Verdict::NotRun { group_broken: false });
/// ```
pub const fn judge(head: Head, repeatable: bool) -> Verdict {
    const MISDIRECTED: u16 = 421;
    let status = head.status;
    if head.is_other {
        return Verdict::Unproven;
    }
    if status == MISDIRECTED && !head.names_failed {
        return Verdict::Replaced;
    }
    if head.not_run || status == MISDIRECTED {
        return Verdict::NotRun {
            group_broken: head.names_failed,
        };
    }
    let is_success = status >= 200 && status < 300;
    // A final answer has no informational status.
    if status < 200 || (is_success && !head.is_signed) {
        return Verdict::Unproven;
    }
    if promises_not_run(status) && !repeatable {
        return Verdict::Unproven;
    }
    if status >= 500 {
        return Verdict::Failed;
    }
    Verdict::Answered
}
