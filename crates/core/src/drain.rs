//! Graceful shutdown of a process and withdrawal of a backend server.

use crate::config::Snapshot;

/// Whether a backend server may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It accepts work.
    Open,
    /// The configuration does not list it or has its failure domain out.
    Withdrawn,
    /// Its agent is shutting down.
    Leaving,
}

/// State of the backend server `name` in failure domain `domain`.
///
/// The failure domain of the settings and that of the sheet both count: a
/// server that either of them places in a domain out of service gets no work.
pub fn state(snapshot: &Snapshot, name: &str, domain: &str, leaving: bool) -> State {
    if leaving {
        return State::Leaving;
    }
    let Some(server) = snapshot.server(name) else {
        return State::Withdrawn;
    };
    if snapshot.is_out(domain) || snapshot.is_out(&server.domain) {
        return State::Withdrawn;
    }
    State::Open
}
