//! Measures the memory and processor time of an entry's control plane.
//!
//! `cargo run --release -p berylgw-core --example capacity` prints, for fleets
//! of several sizes, the memory of the configuration view, snapshot and routing
//! table, the time to apply one changed account, and the time of one routing
//! decision. `docs/CAPACITY.md` uses the slopes.

use std::time::{Duration, Instant};

use berylgw_core::clock;
use berylgw_core::config::{Object, Sheet, Snapshot, StoredSheet, View, split};
use berylgw_core::route::{Request, Table, affinity};
use fleet::sheet;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[path = "support/fleet.rs"]
mod fleet;

const SEED: u64 = 7;
const CHANGES: u32 = 20;
const DECISIONS: u32 = 100_000;
const PAGE_BYTES: u64 = 4_096;

fn main() {
    println!(
        "{:>7} {:>7} {:>8} {:>9} {:>11} {:>11} {:>11}",
        "entries", "servers", "accounts", "state KB", "change ms", "random ns", "affinity ns"
    );
    // Keeps all fleets in memory, so that a larger one does not reuse the memory
    // of a smaller one.
    let mut retained = Vec::new();
    for (entries, servers, accounts) in [
        (14, 38, 20),
        (95, 650, 525),
        (190, 1_300, 1_050),
        (380, 2_600, 2_100),
    ] {
        let before = resident_bytes();
        let (view, snapshot, table) = load(&sheet(entries, servers, accounts));
        let state = resident_bytes().saturating_sub(before) / 1_024;
        let change = change_time(&view, &table, entries, servers, accounts);
        let random = decision_time(&table, None);
        let affine = decision_time(&table, Some(affinity("account-0007", b"prefix")));
        println!(
            "{entries:>7} {servers:>7} {accounts:>8} {state:>9} {:>11.2} {:>11} {:>11}",
            change.as_secs_f64() * 1e3,
            random.as_nanos(),
            affine.as_nanos(),
        );
        retained.push((view, snapshot, table));
    }
}

fn load(sheet: &Sheet) -> (View, Snapshot, Table) {
    let mut view = View::new();
    let objects = objects(sheet, 1);
    view.merge(0.into(), 1.into(), &objects);
    let snapshot = view.snapshot().expect("objects form a sheet");
    let mut table = Table::new("domain-00");
    table.update(&snapshot);
    (view, snapshot, table)
}

/// Returns the platform objects of a sheet, as `berylgw apply` writes them.
fn objects(sheet: &Sheet, version: u64) -> Vec<Object> {
    let (index, parts) = split(sheet).expect("parts are JSON");
    let json = |text: serde_json::Result<String>| text.expect("value is JSON");
    let mut objects: Vec<Object> = parts
        .iter()
        .map(|part| Object {
            name: part.name.clone(),
            version: version.into(),
            value: json(serde_json::to_string(&part.content)).into(),
        })
        .collect();
    objects.push(Object {
        name: "sheet".into(),
        version: version.into(),
        value: json(serde_json::to_string(&StoredSheet::Split(index))).into(),
    });
    objects
}

/// Returns the mean time to merge one changed account, resolve the snapshot and
/// update the routing table.
fn change_time(
    view: &View,
    table: &Table,
    entries: usize,
    servers: usize,
    accounts: usize,
) -> Duration {
    let mut view = view.clone();
    let mut table = table.clone();
    let mut sheet = sheet(entries, servers, accounts);
    let mut spent = Duration::ZERO;
    for round in 0..CHANGES {
        sheet.accounts[7].weight += 1;
        let version = u64::from(round) + 2;
        let mut delta = objects(&sheet, version);
        delta.retain(|object| {
            view.get(&object.name)
                .is_none_or(|old| old.value != object.value)
        });
        let start = Instant::now();
        view.merge((version - 1).into(), version.into(), &delta);
        let snapshot = view.snapshot().expect("objects form a sheet");
        table.update(&snapshot);
        spent += start.elapsed();
    }
    spent / CHANGES
}

fn decision_time(table: &Table, affinity: Option<u64>) -> Duration {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let request = Request {
        service: "service-00",
        affinity,
        tried: &[],
    };
    let now = clock::Instant::from_millis(1);
    let start = Instant::now();
    let mut found = 0_u32;
    for _ in 0..DECISIONS {
        found += u32::from(table.pick(request, now, &mut random).is_some());
    }
    assert_eq!(found, DECISIONS);
    start.elapsed() / DECISIONS
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
