//! The programs and stand-ins of one run.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::watch;

use crate::direct::backend::{Reply, Server};
use crate::direct::caller::{Call, send};
use crate::direct::duty::{self, Interface, Rules};
use crate::direct::group::{Group, Shape};
use crate::direct::rank::{self, Sidecar};
use crate::direct::site::{self, Entry, Failure, KEY};
use crate::direct::store::{Store, Treatment};
use crate::proxy::Proxy;

/// Events of an answer, and the pause before each.
pub const EVENTS: u32 = 12;
const PAUSE: Duration = Duration::from_millis(15);

const ENTRIES: usize = 3;

/// Rules of the duties. The lease is short, so that several holders follow each other in
/// a run of seconds.
const RULES: Rules = Rules {
    lease: Duration::from_millis(2_000),
    thaw: Duration::from_millis(300),
    per_s: 4,
};
const SHAPE: Shape = Shape {
    ranks: 4,
    sets: 2,
    experts: 16,
    slots: 6,
};

/// Where callers reach the entries; changes with restarts.
pub type Doors = Arc<Mutex<Vec<SocketAddr>>>;

/// Sets how the interface for duties treats the calls of each process.
pub type DutyCalls = Arc<Mutex<Vec<watch::Sender<duty::Treatment>>>>;

/// All processes and stand-ins.
pub struct World {
    /// The store.
    pub store: Store,
    /// Entries, each with the proxy before it.
    pub entries: Vec<(Entry, Proxy)>,
    /// Entries that were told to end.
    pub leaving: Vec<(Entry, Proxy)>,
    /// Servers, each with the proxy before it and the entry in the store.
    pub servers: Vec<(Server, Proxy, Value)>,
    /// The group of ranks, and the processes beside them.
    pub group: Group,
    /// Processes beside the ranks.
    pub ranks: Vec<Sidecar>,
    /// Version of the newest configuration.
    pub version: u64,
    /// The interface for duties.
    pub interface: Interface,
    /// Treatment of the calls of each entry that was started.
    pub duty_calls: DutyCalls,
    doors: Doors,
    _rank_door: watch::Sender<Treatment>,
}

impl World {
    /// Starts everything and waits until the entries are ready.
    pub async fn start(seed: u64) -> Result<World, Failure> {
        let store = Store::default();
        let version = 1;
        store.put("config", "main", configuration(version));
        let mut servers = Vec::new();
        for index in 0..6 {
            let (service, reply) = match index % 2 {
                0 => ("model", Reply::Events(EVENTS, PAUSE)),
                _ => ("yard", Reply::Complete),
            };
            let server = Server::start(&format!("i-{index}"), reply).await?;
            let proxy = Proxy::new(server.address);
            let address = proxy.listen(([127, 0, 0, 1], 0).into()).await?;
            let mut entry = server.object(service, "shed", "ready");
            entry["Address"] = json!(address);
            store.put("servers", &server.id, entry.clone());
            servers.push((server, proxy, entry));
        }
        // Hosts of runs at the same time differ.
        let host = 256 + (seed % 1_000) as u16 * 8;
        let group = Group::start(SHAPE, host).await?;
        for (rank, address) in group.addresses.iter().enumerate() {
            let entry = json!({
                "Service": "ranks", "Address": address, "Zone": "shed", "Slots": 8,
                "State": "ready",
            });
            store.put("servers", &format!("r-{rank}"), entry);
        }
        let (address, rank_door) = store.listen().await?;
        let ranks = rank::start_all(&group, "ranks", address)?;
        let mut world = World {
            store,
            entries: Vec::new(),
            leaving: Vec::new(),
            servers,
            group,
            ranks,
            version,
            interface: Interface::new(RULES),
            duty_calls: DutyCalls::default(),
            doors: Doors::default(),
            _rank_door: rank_door,
        };
        for index in 0..ENTRIES {
            let entry = world.start_entry(index).await?;
            world.entries.push(entry);
        }
        Ok(world)
    }

    /// Starts an entry, with a proxy before it.
    pub async fn start_entry(&self, index: usize) -> Result<(Entry, Proxy), Failure> {
        let name = format!("edge-{index}");
        let (interface, calls) = self.interface.listen().await?;
        self.duty_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(calls);
        let lease_ms = RULES.lease.as_millis();
        let entry = format!("  duties: {{window_s: 1, late_s: 10, lease_ms: {lease_ms}}}\n");
        let platform = format!(
            "  duties:\n    interface: {interface}\n    kinds: [usage_report]\n    rate_per_s: {}\n",
            RULES.per_s
        );
        let start = Entry::start_with_sections(&self.store, &name, "shed", &entry, &platform);
        let entry = start.await?;
        entry.wait_for_line("view in force", &[]).await?;
        let proxy = Proxy::new(entry.callers);
        let address = proxy.listen(([127, 0, 0, 1], 0).into()).await?;
        let mut doors = self.doors.lock().unwrap_or_else(PoisonError::into_inner);
        doors.resize(ENTRIES, address);
        doors[index] = address;
        Ok((entry, proxy))
    }

    /// Where callers reach the entries.
    pub fn doors(&self) -> Doors {
        self.doors.clone()
    }

    /// Waits until each entry serves each kind of request and passes begin.
    pub async fn recovered(&self) -> Result<(), Failure> {
        let addresses: Vec<SocketAddr> = {
            let doors = self.doors.lock().unwrap_or_else(PoisonError::into_inner);
            doors.clone()
        };
        for (index, address) in addresses.iter().enumerate() {
            for path in ["/notes/", "/pickup/", "/stock/"] {
                let mut tries = 0;
                loop {
                    let question = question(format!("end-{index}-{path}-{tries}"), path);
                    let answer = send(*address, &question).await;
                    if answer.is_ok_and(|answer| answer.status.is_success() && answer.complete) {
                        break;
                    }
                    tries += 1;
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
        let passes = self.group.passes();
        while self.group.passes() < passes + 5 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }
}

/// The configuration of a version, with the service of the ranks.
pub fn configuration(version: u64) -> Value {
    let mut configuration = site::configuration(version, &[KEY]);
    let engine = json!({ "Experts": SHAPE.experts, "Placements": SHAPE.slots, "Spare": 2 });
    if let Some(services) = configuration["Services"].as_array_mut() {
        services.push(json!({ "Name": "ranks", "Engine": engine }));
    }
    configuration
}

/// A request of a caller.
pub fn question(id: String, path: &str) -> Call {
    Call {
        id,
        path: path.to_owned(),
        key: Some(KEY.to_owned()),
        deadline_ms: 4_000,
    }
}
