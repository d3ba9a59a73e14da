//! Configuration versions that running processes act on.

use std::net::SocketAddr;
use std::time::Duration;

use berylgw_wire as wire;
use tokio::time::{Instant, sleep, timeout};
use tonic::transport::{Channel, Endpoint};
use wire::sync_client::SyncClient;

use crate::cluster::{Cluster, Error, Member};

/// Time after which a version that does not arrive is reported as missing.
const LIMIT: Duration = Duration::from_secs(60);

/// Time allowed for one question to a process.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// Asks one process for its version and checks that it never goes back.
#[derive(Clone, Debug)]
pub struct Probe {
    name: String,
    client: SyncClient<Channel>,
    highest: u64,
}

impl Probe {
    /// A probe of the process that serves `Sync` at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address does not make a valid URI.
    pub fn new(name: &str, address: SocketAddr) -> Result<Probe, Error> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"));
        let endpoint = endpoint.map_err(|error| Error::new(error.to_string()))?;
        Ok(Probe {
            name: name.to_owned(),
            client: SyncClient::new(endpoint.connect_lazy()),
            highest: 0,
        })
    }

    /// A probe of a process of the cluster that faults do not affect.
    ///
    /// # Errors
    ///
    /// Fails if the process does not listen.
    pub async fn of(member: &Member) -> Result<Probe, Error> {
        Probe::new(&member.name, member.direct().await?)
    }

    /// The version the process acts on, `None` if it does not answer.
    ///
    /// # Errors
    ///
    /// Fails if the version is lower than one seen before.
    pub async fn version(&mut self) -> Result<Option<u64>, Error> {
        // Without objects: nothing is newer than the highest version.
        let request = wire::PullRequest {
            since: u64::MAX,
            versions_only: true,
            ..wire::PullRequest::default()
        };
        let Ok(Ok(reply)) = timeout(CALL_LIMIT, self.client.pull(request)).await else {
            return Ok(None);
        };
        let version = reply.get_ref().version;
        if version < self.highest {
            let Probe { name, highest, .. } = self;
            let message = format!("{name} went back from version {highest} to {version}");
            return Err(Error::new(message));
        }
        self.highest = version;
        Ok(Some(version))
    }

    /// Waits until the process acts on `version` or a newer one, asking every
    /// `interval`.
    ///
    /// # Errors
    ///
    /// Fails if it goes back or does not reach the version.
    pub async fn reached(&mut self, version: u64, interval: Duration) -> Result<Instant, Error> {
        let search = async {
            loop {
                if self.version().await?.is_some_and(|own| own >= version) {
                    return Ok(Instant::now());
                }
                sleep(interval).await;
            }
        };
        let found = timeout(LIMIT, search).await;
        let missing = format!("{}: version {version} did not arrive", self.name);
        found.unwrap_or(Err(Error::new(missing)))
    }
}

/// Probes of all entries and agents of a cluster, entries first.
///
/// # Errors
///
/// Fails if a process does not listen.
pub async fn probes(cluster: &Cluster) -> Result<Vec<Probe>, Error> {
    let mut probes = Vec::new();
    for member in cluster.entries.iter().chain(&cluster.agents) {
        probes.push(Probe::of(member).await?);
    }
    Ok(probes)
}
