//! Home entries of an agent: the entries from which it receives the
//! configuration.

use std::net::SocketAddr;

use crate::config::Snapshot;
use crate::directory::region_of;
use crate::host::Entry;

/// Returns the order in which the agent at position `index` tries `count` entries.
///
/// The numbers of agents that try each entry first differ by at most one. Agents
/// with the same first entry have different second ones, so that the load of a
/// failed entry spreads over all others.
///
/// ```
/// use berylgw_core::home::entry_order;
///
/// assert_eq!(entry_order(4, 3), [1, 0, 2]);
/// assert_eq!(entry_order(7, 3), [1, 2, 0]);
/// ```
pub fn entry_order(index: usize, count: usize) -> Vec<usize> {
    let mut order = Vec::with_capacity(count);
    if count == 0 {
        return order;
    }
    let first = index % count;
    order.push(first);
    let others = count - 1;
    for next in 0..others {
        let step = 1 + (index / count + next) % others;
        order.push((first + step) % count);
    }
    order
}

/// Returns the peer addresses of the entries that the agent of the backend server
/// `name` follows, in order of preference.
///
/// Entries of its region come first and, within a region, those in a failure
/// domain out of service last. The second entry is in another failure domain than
/// the first if there is one. The result is empty if the sheet does not list the
/// server.
pub fn addresses(snapshot: &Snapshot, name: &str) -> Vec<SocketAddr> {
    let Some(server) = snapshot.server(name) else {
        return Vec::new();
    };
    let region = region_of(snapshot, &server.domain);
    let is_near = |domain: &str| region_of(snapshot, domain) == region;
    let servers = snapshot.sheet.servers.iter();
    let index = servers
        .take_while(|other| *other.name < *name)
        .filter(|other| is_near(&other.domain))
        .count();
    let entries = snapshot.sheet.entries.iter();
    let (near, far): (Vec<&Entry>, Vec<&Entry>) = entries.partition(|entry| is_near(&entry.domain));
    let mut chosen = Vec::new();
    for entries in [near, far] {
        let indexes = entry_order(index, entries.len());
        chosen.extend(indexes.into_iter().map(|position| entries[position]));
    }
    chosen.sort_by_key(|entry| {
        (
            !is_near(&entry.domain),
            snapshot.is_domain_out(&entry.domain),
        )
    });
    separate_domains(&mut chosen);
    chosen.iter().map(|entry| entry.peer_address).collect()
}

/// Moves the first entry in another failure domain than `entries[0]` to the second
/// position.
fn separate_domains(entries: &mut [&Entry]) {
    let Some((first, rest)) = entries.split_first_mut() else {
        return;
    };
    let other = rest.iter().position(|entry| entry.domain != first.domain);
    if let Some(other) = other {
        rest[..=other].rotate_right(1);
    }
}
