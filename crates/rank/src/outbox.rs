//! Sending of datagrams at the rate of the host's link.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::link::Schedule;
use berylgw_runtime::clock::Clock;
use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::metrics::Metrics;

/// Share of the link that maps may take up; the rest is left for the answers of
/// the rank and for short datagrams.
const LINK_SHARE: f64 = 0.65;

/// Longest backlog. A map that would arrive later is replaced by a newer one.
const MAX_BACKLOG: Duration = Duration::from_secs(1);

/// Sends datagrams of maps one after the other, and short ones at once.
#[derive(Debug)]
pub struct Outbox {
    /// The socket, from which datagrams are also received.
    pub socket: UdpSocket,
    clock: Clock,
    schedule: RefCell<Schedule>,
    queue: RefCell<VecDeque<(Instant, SocketAddr, Bytes)>>,
    queued: Notify,
    metrics: Metrics,
}

impl Outbox {
    /// Creates an outbox for a link of `link_mbps` megabits per second.
    pub fn new(socket: UdpSocket, link_mbps: f64, metrics: Metrics) -> Self {
        let bytes_per_second = link_mbps * 1e6 / 8.0 * LINK_SHARE;
        Outbox {
            socket,
            clock: Clock::start(),
            schedule: RefCell::new(Schedule::new(bytes_per_second)),
            queue: RefCell::default(),
            queued: Notify::new(),
            metrics,
        }
    }

    /// Queues a datagram until the link has room for it.
    pub fn queue(&self, address: SocketAddr, datagram: Bytes) {
        let now = self.clock.now();
        let mut schedule = self.schedule.borrow_mut();
        if schedule.backlog(now) > MAX_BACKLOG {
            let backlog_ms = MAX_BACKLOG.as_millis() as u64;
            tracing::debug!(%address, backlog_ms, "datagram dropped: the link is behind");
            self.metrics.dropped.inc();
            return;
        }
        let at = schedule.reserve(now, datagram.len());
        self.queue.borrow_mut().push_back((at, address, datagram));
        self.queued.notify_one();
    }

    /// Returns the time until all queued datagrams are sent.
    pub fn backlog(&self) -> Duration {
        self.schedule.borrow().backlog(self.clock.now())
    }

    /// Returns the time that the link takes for `bytes` bytes in datagrams.
    pub fn duration(&self, bytes: usize) -> Duration {
        self.schedule.borrow().duration(bytes)
    }

    /// Sends queued datagrams, forever.
    pub async fn run(&self) {
        loop {
            let next = self.queue.borrow().front().map(|(at, ..)| *at);
            let Some(at) = next else {
                self.queued.notified().await;
                continue;
            };
            let wait = self.clock.until(at);
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
            let next = self.queue.borrow_mut().pop_front();
            if let Some((_, address, datagram)) = next {
                self.send(address, &datagram);
            }
        }
    }

    /// Sends a datagram at once.
    pub fn send(&self, address: SocketAddr, datagram: &[u8]) {
        if let Err(error) = self.socket.try_send_to(datagram, address) {
            tracing::info!(%address, %error, bytes = datagram.len(), "datagram not sent");
            self.metrics.dropped.inc();
        }
    }
}
