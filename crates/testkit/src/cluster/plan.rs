//! What a sheet asks to be started.

use std::net::SocketAddr;
use std::sync::Arc;

use csv::StringRecord;

use super::Error;

/// An entry or backend server.
#[derive(Clone, Debug)]
pub(super) struct Host {
    pub name: Arc<str>,
    pub domain: Arc<str>,
}

/// A rank group or plain service and the names of its servers, in rank order.
#[derive(Clone, Debug)]
pub(super) struct FakePlan {
    pub name: Arc<str>,
    pub model: bool,
    pub servers: Vec<Arc<str>>,
}

#[derive(Debug)]
pub(super) struct Plan {
    pub entries: Vec<Host>,
    pub servers: Vec<Host>,
    pub fakes: Vec<FakePlan>,
    regions: Vec<(Arc<str>, Arc<str>)>,
    columns: StringRecord,
    rows: Vec<StringRecord>,
}

/// Name of a row with its new address and peer address.
pub(super) type Address = (Arc<str>, SocketAddr, Option<SocketAddr>);

impl Plan {
    pub fn parse(sheet: &str) -> Result<Plan, Error> {
        let mut reader = csv::Reader::from_reader(sheet.as_bytes());
        let columns = reader.headers().map_err(failure)?.clone();
        let rows: Result<Vec<StringRecord>, csv::Error> = reader.records().collect();
        let mut plan = Plan {
            entries: Vec::new(),
            servers: Vec::new(),
            fakes: Vec::new(),
            regions: Vec::new(),
            columns,
            rows: rows.map_err(failure)?,
        };
        plan.entries = plan.hosts("entry");
        plan.servers = plan.hosts("server");
        let domains = plan.of_kind("domain");
        let region = |row| {
            (
                plan.cell(row, "name").into(),
                plan.cell(row, "region").into(),
            )
        };
        plan.regions = domains.map(region).collect();
        plan.fakes = plan.fakes();
        Ok(plan)
    }

    /// Region of a failure domain.
    pub fn region(&self, domain: &str) -> Option<&str> {
        let found = self.regions.iter().find(|(name, _)| &**name == domain);
        found.map(|(_, region)| &**region)
    }

    /// The sheet with other addresses in the rows with the given names.
    pub fn with_addresses(&self, addresses: &[Address]) -> Result<String, Error> {
        let mut writer = csv::Writer::from_writer(Vec::new());
        writer.write_record(&self.columns).map_err(failure)?;
        for row in &self.rows {
            let name = self.cell(row, "name");
            let kind = self.cell(row, "kind");
            let addressed = kind == "entry" || kind == "server";
            let own = addresses
                .iter()
                .find(|(own, _, _)| addressed && &**own == name);
            let cells = self
                .columns
                .iter()
                .zip(row)
                .map(|(column, cell)| match own {
                    Some((_, address, _)) if column == "address" => address.to_string(),
                    Some((_, _, Some(peer))) if column == "peer_address" => peer.to_string(),
                    _ => cell.to_owned(),
                });
            writer.write_record(cells).map_err(failure)?;
        }
        let bytes = writer.into_inner().map_err(failure)?;
        String::from_utf8(bytes).map_err(failure)
    }

    fn cell<'a>(&self, row: &'a StringRecord, column: &str) -> &'a str {
        let index = self.columns.iter().position(|name| name == column);
        index.and_then(|index| row.get(index)).unwrap_or_default()
    }

    fn of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a StringRecord> {
        self.rows
            .iter()
            .filter(move |row| self.cell(row, "kind") == kind)
    }

    fn hosts(&self, kind: &str) -> Vec<Host> {
        let host = |row| Host {
            name: self.cell(row, "name").into(),
            domain: self.cell(row, "domain").into(),
        };
        self.of_kind(kind).map(host).collect()
    }

    fn fakes(&self) -> Vec<FakePlan> {
        let mut fakes: Vec<(FakePlan, Vec<u32>)> = Vec::new();
        for row in self.of_kind("server") {
            let service = self.cell(row, "service");
            let group = self.cell(row, "group");
            let name = if group.is_empty() { service } else { group };
            let rank = self.cell(row, "rank").parse().unwrap_or(0);
            let server: Arc<str> = self.cell(row, "name").into();
            let known = fakes.iter_mut().find(|(fake, _)| &*fake.name == name);
            let Some((fake, ranks)) = known else {
                let fake = FakePlan {
                    name: name.into(),
                    model: self.is_model(service),
                    servers: vec![server],
                };
                fakes.push((fake, vec![rank]));
                continue;
            };
            let index = ranks.partition_point(|other| *other <= rank);
            ranks.insert(index, rank);
            fake.servers.insert(index, server);
        }
        fakes.into_iter().map(|(fake, _)| fake).collect()
    }

    fn is_model(&self, service: &str) -> bool {
        let mut services = self.of_kind("service");
        let row = services.find(|row| self.cell(row, "name") == service);
        row.is_some_and(|row| self.cell(row, "type") == "model")
    }
}

fn failure(error: impl std::fmt::Display) -> Error {
    Error(format!("sheet: {error}"))
}
