//! State of the fake service.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use super::{Execution, Fault, Settings, Stats};
use crate::serve::Gate;

/// A fake plain service; clones share their state.
#[derive(Clone, Debug)]
pub struct Service {
    state: Arc<Mutex<State>>,
    gates: Arc<Vec<Gate>>,
}

#[derive(Debug)]
pub(super) struct State {
    pub settings: Settings,
    pub fault: Fault,
    pub servers: Vec<Server>,
    executions: BTreeMap<String, Vec<u32>>,
    serial: u64,
    pub started: Instant,
}

#[derive(Debug, Default)]
pub(super) struct Server {
    pub stats: Stats,
    /// Number of requests in flight after each change, for lagging reports.
    history: VecDeque<(Instant, usize)>,
}

/// What happens to a booking after it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    Answer(u64),
    Crash,
    Drop,
    Hang,
}

/// Place of a request on a server, given back when it is dropped.
#[derive(Debug)]
pub(super) struct Place {
    service: Service,
    server: usize,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.service.state();
        state.servers[self.server].change(|held| held - 1);
    }
}

impl Service {
    /// A service without bookings.
    pub fn new(settings: Settings) -> Self {
        let servers = (0..settings.servers).map(|_| Server::default()).collect();
        Service {
            gates: Arc::new((0..settings.servers).map(|_| Gate::new()).collect()),
            state: Arc::new(Mutex::new(State {
                settings,
                fault: Fault::default(),
                servers,
                executions: BTreeMap::new(),
                serial: 0,
                started: Instant::now(),
            })),
        }
    }

    /// Gate of the listener of a server.
    pub fn gate(&self, server: usize) -> Gate {
        self.gates[server].clone()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a place; a server with too many requests crashes.
    pub(super) fn enter(&self, server: usize) -> Place {
        let overfilled = {
            let mut state = self.state();
            let capacity = state.settings.capacity;
            let held = state.servers[server].change(|held| held + 1);
            let overfilled = held > capacity;
            state.servers[server].stats.overfilled += u64::from(overfilled);
            overfilled
        };
        if overfilled {
            self.crash(server);
        }
        Place {
            service: self.clone(),
            server,
        }
    }

    /// Breaks the server's connections and refuses new ones for the restart time.
    pub(super) fn crash(&self, server: usize) {
        let restart = {
            let mut state = self.state();
            state.servers[server].stats.crashes += 1;
            state.settings.restart
        };
        self.gates[server].close();
        tracing::warn!(server, "server crashed");
        let gate = self.gate(server);
        tokio::spawn(async move {
            tokio::time::sleep(restart).await;
            gate.open();
        });
    }
}

impl State {
    /// Runs a booking and decides how it ends.
    pub fn run(&mut self, booking: &str, sending: u32) -> Ending {
        let runs = self.executions.entry(booking.to_owned()).or_default();
        runs.push(sending);
        self.serial += 1;
        let fault = &mut self.fault;
        let faults = [
            (&mut fault.crash_after_run, Ending::Crash),
            (&mut fault.drop_answers, Ending::Drop),
            (&mut fault.hang_answers, Ending::Hang),
        ];
        for (left, ending) in faults {
            if *left > 0 {
                *left -= 1;
                return ending;
            }
        }
        Ending::Answer(self.serial)
    }

    pub fn executions(&self) -> Vec<Execution> {
        let execution = |(booking, sendings): (&String, &Vec<u32>)| Execution {
            booking: booking.clone(),
            count: sendings.len() as u64,
            sendings: sendings.clone(),
        };
        self.executions.iter().map(execution).collect()
    }

    /// Requests that the server held one lag ago.
    pub fn lagging_load(&self, server: usize, now: Instant) -> usize {
        let old = |(at, _): &&(Instant, usize)| *at + self.settings.load_lag <= now;
        let history = &self.servers[server].history;
        history.iter().rev().find(old).map_or(0, |(_, held)| *held)
    }
}

impl Server {
    const KEPT_CHANGES: usize = 10_000;

    fn change(&mut self, changed: impl Fn(usize) -> usize) -> usize {
        let held = changed(self.stats.in_flight);
        self.stats.in_flight = held;
        self.stats.highest_in_flight = self.stats.highest_in_flight.max(held);
        if self.history.len() == Self::KEPT_CHANGES {
            self.history.pop_front();
        }
        self.history.push_back((Instant::now(), held));
        held
    }
}
