//! Sheets of a given size for the examples.

use berylgw_core::backend::{Rank, Server};
use berylgw_core::client::{Account, Grant, token_digest};
use berylgw_core::config::Sheet;
use berylgw_core::failure::Domain;
use berylgw_core::host::Entry;
use berylgw_core::service::{Fencing, Kind, Service};

const SERVICES: usize = 64;
const DOMAINS: usize = 10;
const GROUP_SIZE: usize = 64;
const GRANTS_PER_ACCOUNT: usize = 6;

/// Returns the address of a port of a host in a region.
pub fn address(region: usize, host: usize, port: usize) -> std::net::SocketAddr {
    let text = format!(
        "10.{region}.{}.{}:{}",
        host / 250,
        host % 250 + 1,
        9000 + port
    );
    text.parse().expect("address is valid")
}

/// Returns a sheet with the proportions of the design size.
pub fn sheet(entries: usize, servers: usize, accounts: usize) -> Sheet {
    let domain = |index: usize| format!("domain-{:02}", index % DOMAINS).into();
    let service = |index: usize| format!("service-{:02}", index % SERVICES).into();
    let mut sheet = Sheet {
        nonce: u64::MAX,
        ..Sheet::default()
    };
    for index in 0..DOMAINS {
        let region = format!("region-{}", index % 4).into();
        sheet.domains.push(Domain {
            name: domain(index),
            region,
        });
    }
    for index in 0..entries {
        sheet.entries.push(Entry {
            name: format!("entry-{index:03}").into(),
            domain: domain(index),
            address: address(1, index, 1),
            peer_address: address(1, index, 2),
        });
    }
    for index in 0..SERVICES {
        sheet.services.push(Service {
            name: service(index),
            region: format!("region-{}", index % 4).into(),
            kind: if index % 2 == 0 {
                Kind::Model
            } else {
                Kind::Plain
            },
            fencing: Fencing::Enforced,
        });
    }
    for index in 0..servers {
        let group = index / GROUP_SIZE;
        sheet.servers.push(Server {
            name: format!("worker-{index:04}").into(),
            service: service(group * 2),
            domain: domain(group),
            address: address(2, index, 1),
            limit: 32,
            cold_limit: 4,
            rank: Some(Rank {
                group: format!("group-{group:02}").into(),
                index: (index % GROUP_SIZE) as u32,
            }),
        });
    }
    for index in 0..accounts {
        let name = format!("account-{index:04}");
        sheet.accounts.push(Account {
            token_sha256: token_digest(&name),
            name: name.into(),
            weight: 4,
            rate: 40,
            concurrency: 64,
        });
    }
    for index in 0..accounts * GRANTS_PER_ACCOUNT {
        sheet.grants.push(Grant {
            account: format!("account-{:04}", index / GRANTS_PER_ACCOUNT).into(),
            service: service(index),
        });
    }
    sheet.grants.sort();
    sheet.grants.dedup();
    sheet
}
