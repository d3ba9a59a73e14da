//! Scenarios of the load command.

mod cost;
mod domain;
mod fair;
mod idle;
mod once;
mod retry;
mod route;
mod slow;

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

pub use cost::cost;
pub use domain::domain;
pub use fair::fair;
pub use idle::idle;
pub use once::once;
pub use retry::retry;
pub use route::route;
pub use slow::slow;

use super::drive::{Path, Work};
use super::sheet::{self, MODEL, Plan};
use super::usage::{Usage, metric};
use super::{Offer, Record};
use crate::client::Client;
use crate::cluster::{Cluster, Extra};

/// Time for which a new agent asks its server for earlier work.
const SETTLE: Duration = Duration::from_secs(3);

/// Pause between calls until the first one is answered.
const PAUSE: Duration = Duration::from_millis(100);

/// Calls until a cluster is given up on.
const CALLS: u32 = 200;

/// Result of a scenario.
pub type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// What all scenarios take from the command line.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time for which each part offers load.
    pub time: Duration,
}

/// A running cluster with callers of each client account.
struct Bench {
    cluster: Cluster,
}

fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

impl Bench {
    /// Starts a cluster and waits until every entry serves the model.
    async fn start(plan: &Plan, extra: &Extra) -> Result<Bench> {
        let cluster = Cluster::start(&plan.render(), extra).await?;
        let bench = Bench { cluster };
        tokio::time::sleep(SETTLE).await;
        for client in bench.clients(0) {
            let mut calls = 0;
            while let Err(error) = client.chat(MODEL, "ready", 1).await {
                calls += 1;
                if calls == CALLS {
                    return Err(error.into());
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
        Ok(bench)
    }

    /// Callers of one client account, one for each entry.
    fn clients(&self, account: usize) -> Vec<Client> {
        let entries = self.cluster.entries.iter();
        entries
            .map(|entry| Client::new(entry.address, sheet::token(account)))
            .collect()
    }

    /// Addresses of the fake servers of a service.
    fn servers(&self, prefix: &str) -> Vec<SocketAddr> {
        let servers = self.cluster.fakes.iter().flat_map(|fake| &fake.servers);
        servers
            .filter(|(name, _)| name.starts_with(prefix))
            .map(|(_, address)| *address)
            .collect()
    }

    fn offer(&self, name: &str, account: usize, work: Work, rate: f64) -> Offer {
        Offer {
            name: name.to_owned(),
            path: Path::Entries(self.clients(account)),
            work,
            rate,
        }
    }

    /// Runs the operator command line against the platform of the cluster.
    async fn operate(&self, args: &[&str]) -> Result<()> {
        let platform = self.cluster.platform.to_string();
        let args = [args, &["--platform", &platform]].concat();
        Ok(self.cluster.operate(&args).await.map(drop)?)
    }

    fn usage(&self, entry: usize) -> Result<Usage> {
        Ok(Usage::read(self.cluster.entries[entry].process.id())?)
    }

    /// Sum of a metric over all entries.
    async fn entries_metric(&self, name: &str) -> Result<f64> {
        let mut sum = 0.0;
        for entry in &self.cluster.entries {
            let address = entry.process.address("metrics").await?;
            let series = metric(address, name).await?;
            sum += series.iter().map(|(_, value)| value).sum::<f64>();
        }
        Ok(sum)
    }

    /// Prints retries of each entry by cause.
    async fn show_retries(&self) -> Result<()> {
        for entry in &self.cluster.entries {
            let address = entry.process.address("metrics").await?;
            for (labels, value) in metric(address, "berylgw_retries_total").await? {
                if value > 0.0 {
                    println!("{} retries {value} {labels}", entry.name);
                }
            }
        }
        Ok(())
    }
}

fn show(title: &str, records: &[Record]) {
    println!("{title}");
    println!("{}", Record::heading());
    for record in records {
        println!("{record}");
    }
}

/// One record of all offers.
fn merged(name: &str, records: &[Record]) -> Record {
    let mut all = Record::new(name);
    for record in records {
        all.merge(record);
    }
    all
}
