//! Crashes of servers, the requests that may have caused them, and their quarantine.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::blame::{self, Content};
use berylgw_wire::direct as wire;

use super::{ServiceKey, State};
use crate::backend::{self, Server};

/// Time for which a server that crashed counts as down when it is decided whether a
/// suspect may be sent: other entries have not tried it themselves.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Shortest turn of an entry to send a suspect again: the time in which a request
/// crashes a server and all entries learn of it.
const SUSPECT_TURN: Duration = Duration::from_millis(400);

impl State {
    /// Records that a server answers a request.
    pub fn record_answer(&mut self, now: Instant, content: &Content) {
        self.blame.record_answer(now, content);
    }

    /// Records that a server begins to write a stream.
    pub fn begin_stream(
        &mut self,
        now: Instant,
        service: ServiceKey,
        server: &Server,
        content: &Content,
    ) -> blame::Stream {
        let service = self.pools[service.0].digest;
        let server = backend::digest(&server.id);
        self.blame.begin_stream(now, service, server, content)
    }

    /// Records that a stream broke off, which may be the crash of its server.
    pub fn break_stream(&mut self, now: Instant, stream: blame::Stream) {
        self.blame.break_stream(now, stream);
    }

    /// Forgets a stream that is no longer read.
    pub fn end_stream(&mut self, stream: blame::Stream) {
        self.blame.end_stream(stream);
    }

    /// Returns whether a stream that broke off may have crashed its server.
    pub fn may_have_crashed(&self, stream: blame::Stream) -> bool {
        self.blame.may_have_crashed(stream)
    }

    /// Records that a server crashed before it answered a request, or while it wrote
    /// the `stream` that answers it; returns whether more requests are quarantined.
    pub fn record_crash(
        &mut self,
        now: Instant,
        service: ServiceKey,
        server: &Server,
        content: &Content,
        stream: Option<blame::Stream>,
    ) -> bool {
        match stream {
            Some(stream) => self.blame.record_crash_in_stream(now, stream),
            None => {
                let service = self.pools[service.0].digest;
                let server = backend::digest(&server.id);
                self.blame.record_crash(now, service, server, content);
            }
        }
        self.update_quarantine(now)
    }

    /// Returns the time for which a request must not be sent because a server crashed
    /// under it, and it is the turn of another entry or no server would be left.
    pub fn hold(
        &mut self,
        now: Instant,
        service: ServiceKey,
        content: &Content,
    ) -> Option<Duration> {
        // What follows grows with the fleet; few requests are suspects.
        if !self.blame.is_whole_suspect(content) {
            return None;
        }
        let entries = self.peers.sharing_entries();
        let whole = content.whole() as u32;
        let turn = blame::Turn {
            position: self.peers.position(self.digest, whole),
            entries,
            length: SUSPECT_TURN.max(self.gossip_spacing() * 2),
        };
        let has_spare = self.has_spare_server(now, service);
        self.blame.hold(now, content, turn, has_spare)
    }

    /// Returns whether a server of the service would still run if one crashed. A
    /// service with a single server has none to spare at any time.
    pub fn has_spare_server(&self, now: Instant, service: ServiceKey) -> bool {
        let pool = &self.pools[service.0];
        let servers = self.servers.iter().flatten();
        let servers = servers
            .filter(|server| server.accepts_requests() && server.listed.service == pool.name);
        let (mut listed, mut running) = (0, 0);
        for server in servers {
            listed += 1;
            let crashed = self.blame.last_crash(now, pool.digest, server.digest);
            let restarting = crashed.is_some_and(|age| age < RESTART_TIME);
            running += usize::from(!restarting && server.health.is_available(now));
        }
        listed <= 1 || running > 1
    }

    /// Returns whether a request may have crashed the server that it was sent to.
    pub fn is_suspect(&self, content: &Content) -> bool {
        self.blame.is_suspect(content)
    }

    /// Merges the crashes of servers that another entry knows; returns whether more
    /// requests are quarantined.
    pub fn merge_crashes(&mut self, now: Instant, crashes: &[wire::Crash]) -> bool {
        for crash in crashes {
            let age = Duration::from_millis(crash.age_ms.into());
            let crash = blame::Crash {
                service: crash.service,
                age,
                server: crash.server,
                confirmed: crash.confirmed,
                unanswered: sorted(&crash.unanswered),
                answered: sorted(&crash.answered),
                cleared: sorted(&crash.cleared),
                under_way: sorted(&crash.under_way),
            };
            self.blame.merge(now, crash);
        }
        !crashes.is_empty() && self.update_quarantine(now)
    }

    /// Returns whether the known crashes of servers have changed recently.
    pub fn has_crash_news(&self, now: Instant) -> bool {
        self.blame.has_news(now)
    }

    /// Returns the known crashes of servers, for the datagrams to other entries.
    pub fn crash_report(&mut self, now: Instant) -> Vec<wire::Crash> {
        let crashes = self.blame.report(now).into_iter();
        let crashes = crashes.map(|crash| wire::Crash {
            service: crash.service,
            age_ms: crash.age.as_millis() as u32,
            server: crash.server,
            confirmed: crash.confirmed,
            unanswered: crash.unanswered,
            answered: crash.answered,
            cleared: crash.cleared,
            under_way: crash.under_way,
        });
        crashes.collect()
    }

    /// Returns the time for which a request must not be sent because what it holds
    /// crashes servers, `None` if it may be sent.
    pub fn quarantine(&self, now: Instant, content: &Content) -> Option<Duration> {
        self.blame.quarantine(now, content)
    }

    fn update_quarantine(&mut self, now: Instant) -> bool {
        let quarantined = self.blame.quarantined(now);
        let mut more = false;
        for (digest, left) in &quarantined {
            if self.quarantined.binary_search(digest).is_err() {
                let (digest, left_ms) = (format!("{digest:x}"), left.as_millis() as u64);
                tracing::warn!(digest, left_ms, "requests that hold this are quarantined");
                more = true;
            }
        }
        self.quarantined = quarantined.into_iter().map(|known| known.0).collect();
        more
    }
}

fn sorted<T: Copy + Ord>(list: &[T]) -> Vec<T> {
    let mut list = list.to_vec();
    list.sort_unstable();
    list.dedup();
    list
}
