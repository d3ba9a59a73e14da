//! Rows of an accepted sheet, in the format of the file.

use std::sync::Arc;

use crate::config::Sheet;
use crate::sheet::column::{Column, Kind};
use crate::{backend, client, failure, host, service};

/// One row: its kind and the filled columns, in the order of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    kind: Kind,
    values: Vec<(Column, Arc<str>)>,
}

impl Row {
    fn new(kind: Kind, values: Vec<(Column, String)>) -> Self {
        let mut values: Vec<(Column, Arc<str>)> = values
            .into_iter()
            .map(|(column, value)| (column, value.into()))
            .collect();
        values.sort();
        Row { kind, values }
    }

    /// Returns the kind of the row.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the value in a column, empty if it is not filled.
    pub fn value(&self, column: Column) -> &str {
        let index = self.values.binary_search_by_key(&column, |value| value.0);
        index.map_or("", |index| &self.values[index].1)
    }

    /// Returns the name that identifies the row within its kind.
    pub fn key(&self) -> Arc<str> {
        let name = self.value(Column::Name);
        match self.kind {
            Kind::Grant => format!("{name}/{}", self.value(Column::Service)).into(),
            _ => name.into(),
        }
    }
}

/// Returns the rows of a sheet, sorted by kind and name.
pub fn rows(sheet: &Sheet) -> Vec<Row> {
    let domains = sheet.domains.iter().map(domain);
    let entries = sheet.entries.iter().map(entry);
    let services = sheet.services.iter().map(service);
    let servers = sheet.servers.iter().map(server);
    let accounts = sheet.accounts.iter().map(account);
    let grants = sheet.grants.iter().map(grant);
    domains
        .chain(entries)
        .chain(services)
        .chain(servers)
        .chain(accounts)
        .chain(grants)
        .collect()
}

/// Writes a sheet as CSV that [`parse`](crate::sheet::parse) reads back.
pub fn write(sheet: &Sheet) -> String {
    let header: Vec<&str> = Column::ALL.iter().map(|column| column.label()).collect();
    let mut text = header.join(",");
    text.push('\n');
    for row in rows(sheet) {
        let values: Vec<&str> = Column::ALL
            .iter()
            .map(|&column| match column {
                Column::Kind => row.kind.label(),
                column => row.value(column),
            })
            .collect();
        // No value needs quoting: names cannot contain commas, quotes or line breaks.
        text.push_str(&values.join(","));
        text.push('\n');
    }
    text
}

fn domain(domain: &failure::Domain) -> Row {
    let values = vec![
        (Column::Name, domain.name.to_string()),
        (Column::Region, domain.region.to_string()),
    ];
    Row::new(Kind::Domain, values)
}

fn entry(entry: &host::Entry) -> Row {
    let values = vec![
        (Column::Name, entry.name.to_string()),
        (Column::Domain, entry.domain.to_string()),
        (Column::Address, entry.address.to_string()),
        (Column::PeerAddress, entry.peer_address.to_string()),
    ];
    Row::new(Kind::Entry, values)
}

fn service(service: &service::Service) -> Row {
    let kind = match service.kind {
        service::Kind::Model => "model",
        service::Kind::Plain => "plain",
    };
    let fencing = match service.fencing {
        service::Fencing::Enforced => "enforced",
        service::Fencing::Ignored => "ignored",
    };
    let values = vec![
        (Column::Name, service.name.to_string()),
        (Column::Region, service.region.to_string()),
        (Column::Type, kind.to_owned()),
        (Column::Fencing, fencing.to_owned()),
    ];
    Row::new(Kind::Service, values)
}

fn server(server: &backend::Server) -> Row {
    let mut values = vec![
        (Column::Name, server.name.to_string()),
        (Column::Service, server.service.to_string()),
        (Column::Domain, server.domain.to_string()),
        (Column::Address, server.address.to_string()),
        (Column::Limit, server.limit.to_string()),
        (Column::ColdLimit, server.cold_limit.to_string()),
    ];
    if let Some(rank) = &server.rank {
        values.push((Column::Group, rank.group.to_string()));
        values.push((Column::Rank, rank.index.to_string()));
    }
    Row::new(Kind::Server, values)
}

fn account(account: &client::Account) -> Row {
    let values = vec![
        (Column::Name, account.name.to_string()),
        (Column::Weight, account.weight.to_string()),
        (Column::Rate, account.rate.to_string()),
        (Column::Concurrency, account.concurrency.to_string()),
        (Column::TokenSha256, account.token_sha256.to_string()),
    ];
    Row::new(Kind::Account, values)
}

fn grant(grant: &client::Grant) -> Row {
    let values = vec![
        (Column::Name, grant.account.to_string()),
        (Column::Service, grant.service.to_string()),
    ];
    Row::new(Kind::Grant, values)
}
