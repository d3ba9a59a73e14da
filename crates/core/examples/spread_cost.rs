//! Prints the size of a sheet at the design size and the cost of propagating its
//! changes, as one object and in parts.

use std::time::Duration;

use berylgw_core::config::spread::{Fleet, propagate};
use berylgw_core::config::{Part, Sheet, split};
use fleet::{address, sheet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[path = "support/fleet.rs"]
mod fleet;

const SERVERS: usize = 2_600;
const ACCOUNTS: usize = 2_100;
const CHANGES_PER_DAY: u64 = 5_600;
const DAY_SECONDS: u64 = 86_400;
const AGENTS_PER_ENTRY: f64 = 2_600.0 / 380.0;

fn main() {
    let sheet = sheet(380, SERVERS, ACCOUNTS);
    let whole_size = size(&sheet);
    let (index, parts) = split(&sheet).expect("parts are JSON");
    let index_size = serde_json::to_string(&index).expect("index is JSON").len();
    let largest = parts.iter().map(part_size).max().unwrap_or_default();
    println!(
        "sheet with {SERVERS} servers, {ACCOUNTS} accounts, {} grants",
        sheet.grants.len()
    );
    println!("  whole: {whole_size} bytes of {} allowed", 1 << 20);
    println!(
        "  parts: {}, largest {largest} bytes, index {index_size} bytes",
        parts.len()
    );

    let mut account = sheet.clone();
    account.accounts[7].weight += 1;
    let mut server = sheet.clone();
    server.servers[7].limit += 1;
    let mut entry = sheet.clone();
    entry.entries[7].address = address(9, 9, 9);
    let changes = [("account", account), ("server", server), ("entry", entry)];
    println!("\nbytes of one change");
    let mut mean_bytes = index_size as u64;
    for (label, changed) in &changes {
        let bytes = changed_bytes(&parts, changed);
        mean_bytes += bytes / changes.len() as u64;
        println!(
            "  {label:8} whole {whole_size:8}  parts {:8}",
            bytes + index_size as u64
        );
    }

    for watch_down_percent in [0, 10] {
        println!("\n{watch_down_percent}% of watches down");
        println!(
            "{:>7} {:>6} {:>6} {:>9} {:>12} {:>10} {:>10} {:>7}",
            "entries", "agents", "form", "messages", "entry bytes", "entry B/s", "agent B/s", "ms"
        );
        for entries in [8, 32, 128, 380] {
            row(entries, watch_down_percent, "whole", whole_size as u64);
            row(entries, watch_down_percent, "parts", mean_bytes);
        }
    }
}

fn row(entries: usize, watch_down_percent: u32, form: &str, bytes: u64) {
    let fleet = Fleet {
        entries,
        agents: (entries as f64 * AGENTS_PER_ENTRY) as usize,
        watch_down_percent,
        watch_delay: Duration::from_millis(50),
        peer_delay: Duration::from_millis(10),
    };
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let cost = propagate(&fleet, bytes, &mut random);
    println!(
        "{entries:>7} {:>6} {form:>6} {:>9} {:>12} {:>10} {:>10} {:>7}",
        fleet.agents,
        cost.entry_messages,
        cost.entry_bytes,
        cost.entry_bytes * CHANGES_PER_DAY / DAY_SECONDS,
        cost.agent_bytes * CHANGES_PER_DAY / DAY_SECONDS,
        cost.time.as_millis(),
    );
}

fn size(sheet: &Sheet) -> usize {
    serde_json::to_string(sheet).expect("sheet is JSON").len()
}

fn part_size(part: &Part) -> usize {
    size(&part.content)
}

/// Returns the size in bytes of the parts that only the changed sheet has.
fn changed_bytes(parts: &[Part], changed: &Sheet) -> u64 {
    let (_, after) = split(changed).expect("parts are JSON");
    let is_new = |part: &&Part| !parts.iter().any(|old| old.name == part.name);
    after
        .iter()
        .filter(is_new)
        .map(|part| part_size(part) as u64)
        .sum()
}
