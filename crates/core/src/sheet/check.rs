//! Checks across rows.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::backend::Rank;
use crate::service;
use crate::sheet::column::{Column, Kind};
use crate::sheet::finding::Finding;
use crate::sheet::parse::{Content, Located, Mention};

/// Adds findings about duplicates, references, regions and ranks.
pub(super) fn content(content: &Content, findings: &mut Vec<Finding>) {
    check_names(content, findings);
    check_addresses(content, findings);
    check_references(content, findings);
    check_regions(content, findings);
    check_ranks(content, findings);
}

/// Reports every row whose key an earlier row has.
fn report_duplicates<K: Ord>(
    mut keys: Vec<(K, u64)>,
    column: Column,
    message: impl Fn(&K, u64) -> String,
    findings: &mut Vec<Finding>,
) {
    keys.sort();
    let mut first = 0;
    for index in 1..keys.len() {
        if keys[index].0 != keys[first].0 {
            first = index;
            continue;
        }
        let message = message(&keys[index].0, keys[first].1);
        findings.push(Finding::new(keys[index].1, column.label(), message));
    }
}

fn keys<T: Clone>(mentions: &[Mention<T>], kinds: &[Kind]) -> Vec<(T, u64)> {
    let mut keys = Vec::new();
    for mention in mentions {
        if kinds.contains(&mention.kind) {
            keys.push((mention.value.clone(), mention.row));
        }
    }
    keys
}

fn check_names(content: &Content, findings: &mut Vec<Finding>) {
    // Processes identify themselves by name, so entries and backend servers
    // share one namespace.
    let namespaces: [&[Kind]; 4] = [
        &[Kind::Domain],
        &[Kind::Service],
        &[Kind::Account],
        &[Kind::Entry, Kind::Server],
    ];
    for kinds in namespaces {
        let mut names = keys(&content.declarations, kinds);
        names.retain(|name| !name.0.is_empty());
        let message = |name: &Arc<str>, row| format!("duplicate name {name:?}, first in row {row}");
        report_duplicates(names, Column::Name, message, findings);
    }
    let grants = content.grants.iter();
    let grants = grants.map(|grant| (&grant.value, grant.row)).collect();
    let message = |_: &_, row| format!("duplicate grant, first in row {row}");
    report_duplicates(grants, Column::Name, message, findings);
    let tokens = keys(&content.tokens, &[Kind::Account]);
    let message = |_: &_, row| format!("duplicate token, first in row {row}");
    report_duplicates(tokens, Column::TokenSha256, message, findings);
}

fn check_addresses(content: &Content, findings: &mut Vec<Finding>) {
    let mut addresses: Vec<&Mention<SocketAddr>> = content.addresses.iter().collect();
    addresses.sort_by_key(|mention| (mention.value, mention.row, mention.column));
    for pair in addresses.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        if first.value != second.value {
            continue;
        }
        let message = format!(
            "duplicate address {}, also in row {}",
            second.value, first.row
        );
        findings.push(Finding::new(second.row, second.column.label(), message));
    }
}

fn check_references(content: &Content, findings: &mut Vec<Finding>) {
    let declared = content.declarations.iter();
    let mut declared: Vec<(Kind, &Arc<str>)> = declared
        .map(|mention| (mention.kind, &mention.value))
        .collect();
    declared.sort();
    for reference in &content.references {
        let (kind, name) = (reference.kind, &reference.value);
        if declared.binary_search(&(kind, name)).is_ok() {
            continue;
        }
        let message = format!("unknown {kind} {name:?}: add a row for it or correct its row");
        findings.push(Finding::new(
            reference.row,
            reference.column.label(),
            message,
        ));
    }
}

fn check_regions(content: &Content, findings: &mut Vec<Finding>) {
    for service in &content.services {
        let region = &service.value.region;
        if content.regions.contains(region) {
            continue;
        }
        let message = format!("region {region:?} has no failure domain");
        findings.push(Finding::new(service.row, Column::Region.label(), message));
    }
    for server in &content.servers {
        let service = find(&content.services, |service| {
            service.name == server.value.service
        });
        let domain = find(&content.domains, |domain| {
            domain.name == server.value.domain
        });
        let (Some(service), Some(domain)) = (service, domain) else {
            continue;
        };
        if service.region == domain.region {
            continue;
        }
        let message = format!(
            "failure domain {:?} is in region {:?}, service {:?} in region {:?}",
            domain.name, domain.region, service.name, service.region
        );
        findings.push(Finding::new(server.row, Column::Domain.label(), message));
    }
}

fn find<T>(items: &[Located<T>], matches: impl Fn(&T) -> bool) -> Option<&T> {
    let mut values = items.iter().map(|item| &item.value);
    values.find(|value| matches(value))
}

fn check_ranks(content: &Content, findings: &mut Vec<Finding>) {
    let mut ranks: Vec<(&Rank, &Arc<str>, u64)> = Vec::new();
    for server in &content.servers {
        let Some(rank) = &server.value.rank else {
            continue;
        };
        ranks.push((rank, &server.value.service, server.row));
        let service = find(&content.services, |service| {
            service.name == server.value.service
        });
        if service.is_some_and(|service| service.kind == service::Kind::Plain) {
            let message = "a backend server of a plain service has no rank group";
            findings.push(Finding::new(server.row, Column::Group.label(), message));
        }
    }
    ranks.sort();
    for group in ranks.chunk_by(|a, b| a.0.group == b.0.group) {
        let complete = !content.incomplete_groups.contains(&group[0].0.group);
        check_group(group, complete, findings);
    }
}

/// Reports servers of another service, duplicate ranks and, if `complete`,
/// missing ranks. A group with a row that could not be read is not complete.
fn check_group(group: &[(&Rank, &Arc<str>, u64)], complete: bool, findings: &mut Vec<Finding>) {
    let name = &group[0].0.group;
    let service = group[0].1;
    let mut expected = 0;
    for (index, &(rank, other, row)) in group.iter().enumerate() {
        if other != service {
            let message = format!("group {name:?} also has servers of service {service:?}");
            findings.push(Finding::new(row, Column::Group.label(), message));
        }
        if index > 0 && group[index - 1].0.index == rank.index {
            let first = group[index - 1].2;
            let message = format!(
                "duplicate rank {} in group {name:?}, also in row {first}",
                rank.index
            );
            findings.push(Finding::new(row, Column::Rank.label(), message));
            continue;
        }
        if complete && rank.index != expected {
            let message = format!(
                "gap in group {name:?}: rank {expected} is missing before {}",
                rank.index
            );
            findings.push(Finding::new(row, Column::Rank.label(), message));
        }
        expected = rank.index.saturating_add(1);
    }
}
