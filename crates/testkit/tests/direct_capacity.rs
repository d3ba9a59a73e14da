//! Paces of ranks from their sidecars to direct entries, with a fake store and fake
//! ranks.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use berylgw_testkit::direct::group::{Group, Shape};
use berylgw_testkit::direct::rank::{self, Sidecar};
use berylgw_testkit::direct::site::{Entry, Failure, KEY, configuration};
use berylgw_testkit::direct::store::{Store, Treatment};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::sync::watch;

type Result<T = ()> = std::result::Result<T, Failure>;

const SHAPE: Shape = Shape {
    ranks: 4,
    sets: 2,
    experts: 16,
    slots: 6,
};

/// Time within which a changed pace is known to all entries, with a margin for a busy
/// machine.
const PACE_TIMEOUT: Duration = Duration::from_secs(3);

struct Site {
    store: Store,
    _treatment: watch::Sender<Treatment>,
    group: Group,
    sidecars: Vec<Sidecar>,
}

fn host(number: u8) -> IpAddr {
    Ipv4Addr::new(127, 9, 0, number).into()
}

fn store(group: &Group) -> Store {
    let store = Store::default();
    let mut spec = configuration(3, &[KEY]);
    spec["Services"][0]["Engine"] = json!({
        "Experts": SHAPE.experts, "Placements": SHAPE.slots, "Spare": 2,
        "step_ms": 2.0, "per_seq_ms": 0.5, "Stride": 8,
    });
    store.put("config", "main", spec);
    for (rank, address) in group.addresses.iter().enumerate() {
        let server = json!({
            "Service": "model", "Address": address, "Zone": "shed", "Slots": 8,
            "State": "ready",
        });
        store.put("servers", &format!("i-{rank}"), server);
    }
    store
}

async fn site(number: u16) -> Result<Site> {
    let group = Group::start(SHAPE, number).await?;
    let store = store(&group);
    let (address, treatment) = store.listen().await?;
    let sidecars = rank::start_all(&group, "model", address)?;
    Ok(Site {
        store,
        _treatment: treatment,
        group,
        sidecars,
    })
}

impl Site {
    /// Starts an entry that receives reports of ranks.
    async fn entry(&self, store: &Store, number: u8) -> Result<Entry> {
        let (ip, lead) = (host(number), self.sidecars[0].lead);
        let holds = format!("  holds: {ip}:{lead}\n");
        let name = format!("edge-{number}");
        let entry = Entry::start_on(ip, store, &name, "shed", &holds).await?;
        entry
            .wait_for_view(&[("servers", json!(SHAPE.ranks))])
            .await?;
        Ok(entry)
    }

    /// Waits until all sidecars report to `entries` entries.
    async fn wait_for_reports(&self, entries: usize) -> Result {
        for sidecar in &self.sidecars {
            let reports = |line: &Value| {
                let told = line["entries"].as_str().unwrap_or_default();
                line["message"] == "pace reported to entries"
                    && told.matches("127.9.").count() == entries
            };
            sidecar.process.line(reports).await?;
        }
        Ok(())
    }
}

/// Waits until an entry has logged the ratio of a server to the usual pace.
async fn wait_for_ratio(entry: &Entry, server: &str, ratio: f64) -> Result {
    let fields = [("server", json!(server)), ("ratio", json!(ratio))];
    let line = entry.wait_for_line("capacity of a server changed", &fields);
    tokio::time::timeout(PACE_TIMEOUT, line).await??;
    Ok(())
}

/// Guards against a pace that is lost with the entry that heard it: two more have heard
/// it, and an entry that ranks do not report to knows it from datagrams.
#[tokio::test]
async fn pace_known_after_entry_killed() -> Result {
    let site = site(210).await?;
    let killed = site.entry(&site.store, 1).await?;
    let second = site.entry(&site.store, 2).await?;
    let distant = Entry::start(&site.store, "edge-9", "shed").await?;
    distant
        .wait_for_view(&[("servers", json!(SHAPE.ranks))])
        .await?;
    // The host of the entry without reports is in the list of the leader as well.
    site.wait_for_reports(2).await?;
    site.group.set_pace(2, 4.0);
    for entry in [&killed, &second, &distant] {
        wait_for_ratio(entry, "i-2", 4.0).await?;
    }
    killed.process.signal(Signal::SIGKILL)?;
    let before = Instant::now();
    site.group.set_pace(1, 3.0);
    for entry in [&second, &distant] {
        wait_for_ratio(entry, "i-1", 3.0).await?;
    }
    println!("known {:?} after the change", before.elapsed());
    site.group.set_pace(1, 1.0);
    site.group.set_pace(2, 1.0);
    for entry in [&second, &distant] {
        wait_for_ratio(entry, "i-1", 1.0).await?;
        wait_for_ratio(entry, "i-2", 1.0).await?;
    }
    Ok(())
}

/// Guards against a pace that only the entries on one side of a cut link know.
#[tokio::test]
async fn pace_known_with_links_cut() -> Result {
    let site = site(220).await?;
    let one = site.entry(&site.store, 3).await?;
    // The entries read different stores, so that neither sends a datagram to the other.
    // Sidecars find both hosts in the first store.
    let other_store = store(&site.group);
    let other = site.entry(&other_store, 4).await?;
    let nowhere = format!("{}:1", host(4));
    site.store
        .put("entries", "edge-4", json!({ "Address": nowhere }));
    site.wait_for_reports(2).await?;
    site.group.set_pace(3, 4.0);
    for entry in [&one, &other] {
        wait_for_ratio(entry, "i-3", 4.0).await?;
    }
    Ok(())
}

/// Guards against a slow rank that stays known as slow after its sidecar has ended, and
/// against a report that passes through the leader.
#[tokio::test]
async fn pace_expires_without_sidecar() -> Result {
    let site = site(230).await?;
    let entry = site.entry(&site.store, 5).await?;
    site.wait_for_reports(1).await?;
    site.sidecars[0].process.signal(Signal::SIGSTOP)?;
    site.group.set_pace(2, 4.0);
    wait_for_ratio(&entry, "i-2", 4.0).await?;
    site.sidecars[0].process.signal(Signal::SIGCONT)?;
    site.sidecars[2].process.signal(Signal::SIGKILL)?;
    let fields = [("server", json!("i-2")), ("ratio", json!(1.0))];
    let expired = entry.wait_for_line("capacity of a server changed", &fields);
    tokio::time::timeout(Duration::from_secs(9), expired).await??;
    Ok(())
}
