//! Values of one row.

use std::net::SocketAddr;
use std::sync::Arc;

use csv::StringRecord;

use crate::sheet::column::{Column, Kind};
use crate::sheet::finding::Finding;
use crate::sheet::parse::{Content, Located, Mention};
use crate::{backend, client, failure, host, service};

/// Maximum length of a name in bytes. The name of a failure domain becomes part
/// of an object name.
const MAX_NAME_LENGTH: usize = 64;

/// Number of hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// The values of one row.
pub(super) struct Cells<'a> {
    row: u64,
    columns: &'a [Option<Column>],
    record: &'a StringRecord,
    content: &'a mut Content,
    findings: &'a mut Vec<Finding>,
}

impl<'a> Cells<'a> {
    pub(super) fn new(
        row: u64,
        columns: &'a [Option<Column>],
        record: &'a StringRecord,
        content: &'a mut Content,
        findings: &'a mut Vec<Finding>,
    ) -> Self {
        Cells {
            row,
            columns,
            record,
            content,
            findings,
        }
    }

    /// Reads the row into the content of the file.
    pub(super) fn read(&mut self) {
        let label = self.value(Column::Kind);
        let Some(kind) = Kind::from_label(label) else {
            let message = match label {
                "" => "missing value".to_owned(),
                label => format!("unknown kind {label:?}"),
            };
            return self.report(Column::Kind, message);
        };
        self.check_unexpected_values(kind);
        match kind {
            Kind::Domain => self.domain(),
            Kind::Entry => self.entry(),
            Kind::Service => self.service(),
            Kind::Server => self.server(),
            Kind::Account => self.account(),
            Kind::Grant => self.grant(),
        };
    }

    fn located<T>(&self, value: T) -> Located<T> {
        let row = self.row;
        Located { row, value }
    }

    fn mention<T>(&self, column: Column, kind: Kind, value: T) -> Mention<T> {
        Mention {
            row: self.row,
            column,
            kind,
            value,
        }
    }

    fn declare(&mut self, kind: Kind) -> Option<Arc<str>> {
        let name = self.name(Column::Name);
        // An invalid name is declared as well, so that references to it are not
        // reported too.
        let value = self.value(Column::Name).into();
        let mention = self.mention(Column::Name, kind, value);
        self.content.declarations.push(mention);
        name
    }

    fn reference(&mut self, column: Column, kind: Kind) -> Option<Arc<str>> {
        let name = self.name(column)?;
        let mention = self.mention(column, kind, name.clone());
        self.content.references.push(mention);
        Some(name)
    }

    /// Reports values in columns that the kind does not use.
    fn check_unexpected_values(&mut self, kind: Kind) {
        for (index, value) in self.record.iter().enumerate() {
            let column = self.columns.get(index).copied().flatten();
            let used = column
                .is_some_and(|column| column == Column::Kind || kind.columns().contains(&column));
            if used || value.is_empty() {
                continue;
            }
            let label = column.map_or("", Column::label);
            let message = format!("superfluous value: a {kind} row leaves this empty");
            self.findings
                .push(Finding::new(self.row, column_name(index, label), message));
        }
    }

    fn value(&self, column: Column) -> &'a str {
        let index = self.columns.iter().position(|&known| known == Some(column));
        index
            .and_then(|index| self.record.get(index))
            .unwrap_or_default()
    }

    fn report(&mut self, column: Column, message: impl Into<Arc<str>>) {
        self.findings
            .push(Finding::new(self.row, column.label(), message));
    }

    fn required(&mut self, column: Column) -> Option<&'a str> {
        let value = self.value(column);
        if value.is_empty() {
            self.report(column, "missing value");
            return None;
        }
        Some(value)
    }

    fn name(&mut self, column: Column) -> Option<Arc<str>> {
        let value = self.required(column)?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let valid_start = value.starts_with(|c: char| c.is_ascii_alphanumeric());
        if valid_start && value.len() <= MAX_NAME_LENGTH && value.chars().all(allowed) {
            return Some(value.into());
        }
        let rule =
            "use up to 64 letters, digits, '-', '_' and '.', starting with a letter or digit";
        self.report(column, format!("bad name {value:?}: {rule}"));
        None
    }

    fn number(&mut self, column: Column, min: u32) -> Option<u32> {
        let value = self.required(column)?;
        let only_digits = value.bytes().all(|byte| byte.is_ascii_digit());
        match value.parse::<u32>() {
            Ok(number) if only_digits && number >= min => return Some(number),
            _ => {}
        }
        let range = format!("expected a whole number from {min} to {}", u32::MAX);
        self.report(column, format!("bad number {value:?}: {range}"));
        None
    }

    fn address(&mut self, column: Column, kind: Kind) -> Option<SocketAddr> {
        let value = self.required(column)?;
        match value.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => {
                let mention = self.mention(column, kind, address);
                self.content.addresses.push(mention);
                return Some(address);
            }
            _ => {}
        }
        let rule = "expected IP:PORT with a specific IP address and a port above 0";
        self.report(column, format!("bad address {value:?}: {rule}"));
        None
    }

    fn choice<T: Copy>(&mut self, column: Column, choices: &[(&str, T)]) -> Option<T> {
        let value = self.required(column)?;
        for (label, choice) in choices {
            if *label == value {
                return Some(*choice);
            }
        }
        let labels: Vec<&str> = choices.iter().map(|choice| choice.0).collect();
        let expected = labels.join(" or ");
        self.report(column, format!("bad value {value:?}: expected {expected}"));
        None
    }

    fn domain(&mut self) -> Option<()> {
        let name = self.declare(Kind::Domain);
        let region = self.name(Column::Region);
        self.content.regions.push(self.value(Column::Region).into());
        let value = failure::Domain {
            name: name?,
            region: region?,
        };
        let located = self.located(value);
        self.content.domains.push(located);
        Some(())
    }

    fn entry(&mut self) -> Option<()> {
        let name = self.declare(Kind::Entry);
        let domain = self.reference(Column::Domain, Kind::Domain);
        let address = self.address(Column::Address, Kind::Entry);
        let peer_address = self.address(Column::PeerAddress, Kind::Entry);
        let value = host::Entry {
            name: name?,
            domain: domain?,
            address: address?,
            peer_address: peer_address?,
        };
        let located = self.located(value);
        self.content.entries.push(located);
        Some(())
    }

    fn service(&mut self) -> Option<()> {
        let name = self.declare(Kind::Service);
        let region = self.name(Column::Region);
        let kinds = [
            ("model", service::Kind::Model),
            ("plain", service::Kind::Plain),
        ];
        let kind = self.choice(Column::Type, &kinds);
        let fencing = self.fencing(kind);
        let value = service::Service {
            name: name?,
            region: region?,
            kind: kind?,
            fencing: fencing?,
        };
        let located = self.located(value);
        self.content.services.push(located);
        Some(())
    }

    fn fencing(&mut self, kind: Option<service::Kind>) -> Option<service::Fencing> {
        // Plain services take no orders.
        if kind == Some(service::Kind::Plain) && self.value(Column::Fencing).is_empty() {
            return Some(service::Fencing::Ignored);
        }
        let choices = [
            ("enforced", service::Fencing::Enforced),
            ("ignored", service::Fencing::Ignored),
        ];
        self.choice(Column::Fencing, &choices)
    }

    fn server(&mut self) -> Option<()> {
        let name = self.declare(Kind::Server);
        let service = self.reference(Column::Service, Kind::Service);
        let domain = self.reference(Column::Domain, Kind::Domain);
        let address = self.address(Column::Address, Kind::Server);
        let limit = self.number(Column::Limit, 1);
        let cold_limit = self.number(Column::ColdLimit, 1);
        let rank = self.rank();
        if let (Some(limit), Some(cold)) = (limit, cold_limit)
            && cold > limit
        {
            self.report(Column::ColdLimit, format!("{cold} is above limit {limit}"));
        }
        // Counts the group as incomplete until every value of the row has been parsed;
        // removed again below.
        let group = self.value(Column::Group);
        self.content.incomplete_groups.push(group.into());
        let value = backend::Server {
            name: name?,
            service: service?,
            domain: domain?,
            address: address?,
            limit: limit?,
            cold_limit: cold_limit?,
            rank: rank?,
        };
        self.content.incomplete_groups.pop();
        let located = self.located(value);
        self.content.servers.push(located);
        Some(())
    }

    fn rank(&mut self) -> Option<Option<backend::Rank>> {
        if self.value(Column::Group).is_empty() && self.value(Column::Rank).is_empty() {
            return Some(None);
        }
        let group = self.name(Column::Group);
        let index = self.number(Column::Rank, 0);
        Some(Some(backend::Rank {
            group: group?,
            index: index?,
        }))
    }

    fn account(&mut self) -> Option<()> {
        let name = self.declare(Kind::Account);
        let weight = self.number(Column::Weight, 1);
        let rate = self.number(Column::Rate, 1);
        let concurrency = self.number(Column::Concurrency, 1);
        let token_sha256 = self.digest();
        let value = client::Account {
            name: name?,
            weight: weight?,
            rate: rate?,
            concurrency: concurrency?,
            token_sha256: token_sha256?,
        };
        let located = self.located(value);
        self.content.accounts.push(located);
        Some(())
    }

    fn digest(&mut self) -> Option<Arc<str>> {
        let value = self.required(Column::TokenSha256)?;
        let is_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if value.len() == DIGEST_DIGITS && value.bytes().all(is_hex) {
            let mention = self.mention(Column::TokenSha256, Kind::Account, value.into());
            self.content.tokens.push(mention);
            return Some(value.into());
        }
        // The message leaves out the value, which may be the token itself.
        let message = "bad digest: expected the SHA-256 of the token, 64 lower-case hex digits";
        self.report(Column::TokenSha256, message);
        None
    }

    fn grant(&mut self) -> Option<()> {
        let account = self.reference(Column::Name, Kind::Account);
        let service = self.reference(Column::Service, Kind::Service);
        let value = client::Grant {
            account: account?,
            service: service?,
        };
        let located = self.located(value);
        self.content.grants.push(located);
        Some(())
    }
}

/// Returns the name of a column in findings: its label, or its position if the
/// label is empty.
pub(super) fn column_name(index: usize, label: &str) -> Arc<str> {
    if label.is_empty() {
        format!("#{}", index + 1).into()
    } else {
        label.into()
    }
}
