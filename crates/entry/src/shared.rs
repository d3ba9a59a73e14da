//! State shared by the threads of the entry process.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use berylgw_core::clock::Instant;
use berylgw_core::config::{Snapshot, View};
use berylgw_core::{buffer, quarantine, retry, route};
use berylgw_runtime::clock::Clock;
use berylgw_wire as wire;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, mpsc, watch};

use crate::ledger;
use crate::limits::Limits;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::secure::{self, Credentials};
use crate::settings::Settings;
use crate::suspects;

/// Configuration and host states published by the control thread.
#[derive(Clone, Debug, Default)]
pub struct Current {
    pub view: Arc<View>,
    pub snapshot: Arc<Snapshot>,
    /// Sorted names of hosts that are leaving.
    pub leaving: Arc<[Arc<str>]>,
    /// Sorted names of hosts that the platform lists as live.
    pub live: Arc<[Arc<str>]>,
    /// Sorted names of entries that are down.
    pub down: Arc<[Arc<str>]>,
}

impl Current {
    /// Returns the number of entries that share the limits of client accounts:
    /// those in the region of `domain`, which the directory lists first.
    pub fn live_entries(&self, domain: &str) -> u32 {
        let region = self.region(domain);
        let entries: Vec<_> = self
            .snapshot
            .sheet
            .entries
            .iter()
            .filter(|entry| region.is_none() || self.region(&entry.domain) == region)
            .collect();
        let live = entries
            .iter()
            .filter(|entry| self.live.binary_search(&entry.name).is_ok())
            .count();
        // Without a host list, all entries that are not leaving count.
        let staying = entries
            .iter()
            .filter(|entry| self.leaving.binary_search(&entry.name).is_err())
            .count();
        let count = if live > 0 { live } else { staying };
        count.max(1) as u32
    }

    fn region(&self, domain: &str) -> Option<&str> {
        let domains = &self.snapshot.sheet.domains;
        let index = domains.binary_search_by(|known| (*known.name).cmp(domain));
        Some(&*domains[index.ok()?].region)
    }
}

/// A process that has a newer configuration.
#[derive(Clone, Copy, Debug)]
pub struct NewerConfig {
    pub address: SocketAddr,
    pub version: u64,
}

/// State of one entry process.
pub struct Shared {
    pub settings: Settings,
    pub clock: Clock,
    pub incarnation: u64,
    pub current: watch::Receiver<Current>,
    pub newer: mpsc::Sender<NewerConfig>,
    pub stopping: watch::Receiver<bool>,
    /// Whether another process has taken over the name of this host.
    pub superseded: watch::Sender<bool>,
    /// Wakes the control thread when member states change.
    pub members_changed: Notify,
    members: Mutex<Members>,
    pub pool: Pool,
    pub metrics: Metrics,
    pub ledger: ledger::Handle,
    // Incarnations of agents and peers by name, sorted.
    incarnations: Mutex<Vec<(Arc<str>, u64)>>,
    pub tls: Credentials,
    table: Mutex<route::Table>,
    rng: Mutex<ChaCha8Rng>,
    retries: Mutex<retry::Budget>,
    buffers: Mutex<buffer::Budget>,
    limits: Mutex<Limits>,
    quarantine: Mutex<quarantine::Table>,
}

impl Shared {
    pub fn new(
        settings: Settings,
        tls: Credentials,
        current: watch::Receiver<Current>,
        newer: mpsc::Sender<NewerConfig>,
        stopping: watch::Receiver<bool>,
        metrics: Metrics,
        ledger: ledger::Handle,
    ) -> Self {
        let clock = Clock::start();
        let limits = &settings.limits;
        let table = route::Table::new(&settings.domain).with_policy(settings.routing.policy);
        let buffers = buffer::Budget::new(limits.stream_buffer_bytes, limits.buffer_bytes);
        let mut rng = ChaCha8Rng::from_os_rng();
        let names = current.clone();
        let expected = move |address| secure::name_at(&names.borrow().snapshot, address);
        let pool = Pool::new(limits.connect(), tls.peers.clone(), Arc::new(expected));
        let incarnation = rng.random();
        Shared {
            clock,
            incarnation,
            superseded: watch::Sender::new(false),
            members_changed: Notify::new(),
            members: Mutex::new(Members::new(incarnation, settings.listen.callers)),
            current,
            newer,
            stopping,
            pool,
            metrics,
            ledger,
            incarnations: Mutex::default(),
            tls,
            table: Mutex::new(table),
            rng: Mutex::new(rng),
            retries: Mutex::new(retry::Budget::new(clock.now())),
            buffers: Mutex::new(buffers),
            limits: Mutex::new(Limits::default()),
            quarantine: Mutex::new(suspects::table()),
            settings,
        }
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    pub fn current(&self) -> Current {
        self.current.borrow().clone()
    }

    pub fn table(&self) -> MutexGuard<'_, route::Table> {
        lock(&self.table)
    }

    pub fn rng(&self) -> MutexGuard<'_, ChaCha8Rng> {
        lock(&self.rng)
    }

    pub fn retries(&self) -> MutexGuard<'_, retry::Budget> {
        lock(&self.retries)
    }

    pub fn buffers(&self) -> MutexGuard<'_, buffer::Budget> {
        lock(&self.buffers)
    }

    pub fn quarantine(&self) -> MutexGuard<'_, quarantine::Table> {
        lock(&self.quarantine)
    }

    pub fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        lock(&self.limits)
    }

    /// Returns the sender field of an outgoing message.
    pub fn sender(&self) -> wire::Sender {
        wire::Sender {
            name: self.settings.name.to_string(),
            incarnation: self.incarnation,
            config_version: self.current.borrow().view.version().into(),
        }
    }

    /// Records the sender of a message; requests a pull from `address` if its
    /// configuration is newer.
    pub fn record_sender(&self, address: SocketAddr, sender: Option<&wire::Sender>) {
        let Some(sender) = sender else { return };
        self.record_incarnation(sender);
        let version = sender.config_version;
        if version > self.current.borrow().view.version().into() {
            // If the queue is full, a pull is already in progress.
            let _ = self.newer.try_send(NewerConfig { address, version });
        }
    }
}

impl Shared {
    /// Returns the incarnation in the last message of the process with this name.
    pub fn incarnation_of(&self, name: &str) -> Option<u64> {
        let known = lock(&self.incarnations);
        let index = known.binary_search_by(|(of, _)| (**of).cmp(name)).ok()?;
        Some(known[index].1)
    }

    fn record_incarnation(&self, sender: &wire::Sender) {
        let mut known = lock(&self.incarnations);
        match known.binary_search_by(|(of, _)| (**of).cmp(&sender.name)) {
            Ok(index) => known[index].1 = sender.incarnation,
            Err(index) => known.insert(index, (sender.name.as_str().into(), sender.incarnation)),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
