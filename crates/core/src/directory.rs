//! List of entry addresses for callers.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::config::Snapshot;

/// Address of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Address {
    /// Address for callers (HTTP).
    pub address: SocketAddr,
    /// Failure domain of the entry.
    pub domain: Arc<str>,
}

/// Lists the entries that accept callers, nearest to `domain` first.
///
/// `leaving` holds the sorted names of hosts that are about to stop, `down` the
/// sorted names of entries that do not answer. Entries of equal distance are
/// rotated by `rotation`, so that callers spread over them.
///
/// Entries that do not answer come last, and only if fewer than two others are
/// listed: this process may itself be partitioned from them, and a caller needs
/// more than one address.
pub fn addresses(
    snapshot: &Snapshot,
    leaving: &[Arc<str>],
    down: &[Arc<str>],
    domain: &str,
    rotation: usize,
) -> Vec<Address> {
    let region = region_of(snapshot, domain);
    let mut tiers = [Vec::new(), Vec::new(), Vec::new()];
    let mut unreachable = Vec::new();
    for entry in &snapshot.sheet.entries {
        if snapshot.is_domain_out(&entry.domain) || leaving.binary_search(&entry.name).is_ok() {
            continue;
        }
        if down.binary_search(&entry.name).is_ok() {
            unreachable.push(Address {
                address: entry.address,
                domain: entry.domain.clone(),
            });
            continue;
        }
        let tier = if *entry.domain == *domain {
            0
        } else if region.is_some() && region_of(snapshot, &entry.domain) == region {
            1
        } else {
            2
        };
        tiers[tier].push(Address {
            address: entry.address,
            domain: entry.domain.clone(),
        });
    }
    for tier in &mut tiers {
        let count = tier.len().max(1);
        tier.rotate_left(rotation % count);
    }
    let mut listed: Vec<Address> = tiers.into_iter().flatten().collect();
    if listed.len() < 2 {
        listed.extend(unreachable);
    }
    listed
}

/// Returns the region of a failure domain, `None` if the sheet has no such domain.
pub fn region_of<'a>(snapshot: &'a Snapshot, domain: &str) -> Option<&'a Arc<str>> {
    let domains = &snapshot.sheet.domains;
    let index = domains
        .binary_search_by(|candidate| (*candidate.name).cmp(domain))
        .ok()?;
    Some(&domains[index].region)
}
