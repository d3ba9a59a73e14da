//! A whole system of real processes and fakes on one host.
//!
//! Every entry, backend server and service of a sheet gets a process; the
//! sheet that is applied has the addresses these processes listen on.

mod plan;
mod replace;
mod scratch;
pub mod sheet;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::control;
use crate::launch::{self, Process};
use crate::proxy::Proxy;
use plan::Plan;
use scratch::Scratch;

/// An error of starting or stopping a cluster.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Error(String);

impl Error {
    pub(crate) fn new(message: impl Into<String>) -> Self {
        Error(message.into())
    }
}

impl From<launch::Error> for Error {
    fn from(error: launch::Error) -> Self {
        Error(error.to_string())
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Error(error.to_string())
    }
}

/// Extra command line arguments of the fakes, and proxies.
#[derive(Clone, Debug, Default)]
pub struct Extra {
    /// Arguments of the fake platform.
    pub platform: Vec<String>,
    /// Arguments of each fake rank group.
    pub engine: Vec<String>,
    /// Arguments of each fake service.
    pub service: Vec<String>,
    /// Whether a fault proxy stands in front of each agent.
    pub proxied: bool,
    /// Whether a fault proxy stands between each entry and the platform, and
    /// one in front of its peer address.
    pub proxied_entries: bool,
    /// Further lines of the settings of each entry.
    pub entry: String,
    /// Further lines of the settings of each agent.
    pub agent: String,
    /// Greatest age of a load report in the settings of each agent, if not the
    /// default.
    pub report_lag_ms: Option<u64>,
    /// Whether the bytes between entries and the platform, and to the peer
    /// interfaces of entries, are counted.
    pub counted: bool,
}

/// Relays that count the control traffic of one entry.
#[derive(Clone, Debug)]
pub struct Counted {
    /// In front of the platform.
    pub platform: Proxy,
    /// In front of the entry's peer interface.
    pub peers: Proxy,
    /// Address of the relay in front of the peer interface.
    pub address: SocketAddr,
}

/// A process of the product.
#[derive(Debug)]
pub struct Member {
    /// Name in the sheet.
    pub name: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Address in the sheet: of callers for an entry, gRPC for an agent.
    pub address: SocketAddr,
    /// Fault proxy that listens on the address, if there is one.
    pub proxy: Option<Fake>,
    /// Fault proxies of an entry, if it has them.
    pub links: Option<Links>,
    /// Settings file.
    pub settings: PathBuf,
    /// Relays that count its control traffic, of an entry.
    pub counted: Option<Counted>,
    /// The process.
    pub process: Process,
    binary: &'static str,
}

/// Fault proxies of one entry.
#[derive(Debug)]
pub struct Links {
    /// Between the entry and the platform.
    pub platform: Fake,
    /// In front of the peer address, where other entries and agents come in.
    pub peers: Fake,
}

impl Member {
    /// Address for other berylgw processes that no fault affects.
    ///
    /// # Errors
    ///
    /// Fails if the process does not listen.
    pub async fn direct(&self) -> Result<SocketAddr, Error> {
        let interface = if self.process.name() == "berylgw-entry" {
            "peers"
        } else {
            "agent"
        };
        Ok(self.process.address(interface).await?)
    }

    async fn peer_address(&self) -> Result<SocketAddr, Error> {
        if let Some(counted) = &self.counted {
            return Ok(counted.address);
        }
        match &self.links {
            Some(links) => Ok(links.peers.process.address("proxy").await?),
            None => Ok(self.process.address("peers").await?),
        }
    }

    /// Kills the process and starts another one on the same addresses.
    ///
    /// # Errors
    ///
    /// Fails if the new process does not start.
    pub async fn restart(&mut self) -> Result<(), Error> {
        let mut text = std::fs::read_to_string(&self.settings)?;
        for interface in ["callers", "peers", "agent"] {
            let any = format!("{interface}: '127.0.0.1:0'");
            if !text.contains(&any) {
                continue;
            }
            let address = self.process.address(interface).await?;
            text = text.replace(&any, &format!("{interface}: '{address}'"));
        }
        std::fs::write(&self.settings, text)?;
        // It has ended already after a graceful stop.
        let _ = self.process.signal(nix::sys::signal::Signal::SIGKILL);
        self.process.wait().await?;
        self.process = launch::start(self.binary, [Path::new("--settings"), &self.settings])?;
        let interfaces = self.process.address("metrics").await;
        interfaces.map(drop).map_err(Error::from)
    }

    async fn behind_proxy(mut self) -> Result<Member, Error> {
        let proxy = start_proxy(&self.name, self.address).await?;
        self.address = proxy.process.address("proxy").await?;
        self.proxy = Some(proxy);
        Ok(self)
    }
}

/// A fake with the servers it plays.
#[derive(Debug)]
pub struct Fake {
    /// Name of the rank group or plain service.
    pub name: Arc<str>,
    /// Names and addresses of its servers.
    pub servers: Vec<(Arc<str>, SocketAddr)>,
    /// Client of its control listener.
    pub control: control::Client,
    /// The process.
    pub process: Process,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Address of the fake platform.
    pub platform: SocketAddr,
    /// Control client and process of the fake platform.
    pub platform_fake: Fake,
    /// Entries in the order of the sheet.
    pub entries: Vec<Member>,
    /// Agents in the order of the sheet, one for each backend server.
    pub agents: Vec<Member>,
    /// Fake rank groups and plain services.
    pub fakes: Vec<Fake>,
    sheet: PathBuf,
    _scratch: Scratch,
}

impl Cluster {
    /// Starts everything in the sheet and applies it.
    ///
    /// # Errors
    ///
    /// Fails if the sheet cannot be read, a process does not start or the
    /// sheet is not accepted.
    pub async fn start(sheet: &str, extra: &Extra) -> Result<Cluster, Error> {
        let plan = Plan::parse(sheet)?;
        let scratch = Scratch::create()?;
        let platform_fake = start_fake("platform", "fake-platform", &extra.platform).await?;
        let platform = platform_fake.process.address("platform").await?;
        let fakes = start_fakes(&plan, extra).await?;
        let entries = start_entries(&plan, &scratch, platform, extra).await?;
        let mut agents = Vec::new();
        for agent in start_agents(&plan, &scratch, &entries, &fakes, extra).await? {
            agents.push(if extra.proxied {
                agent.behind_proxy().await?
            } else {
                agent
            });
        }
        let mut addresses = Vec::new();
        for member in &entries {
            let peer = member.peer_address().await?;
            addresses.push((member.name.clone(), member.address, Some(peer)));
        }
        for member in &agents {
            addresses.push((member.name.clone(), member.address, None));
        }
        let sheet = scratch.write("sheet.csv", &plan.with_addresses(&addresses)?)?;
        let cluster = Cluster {
            platform,
            platform_fake,
            entries,
            agents,
            fakes,
            sheet,
            _scratch: scratch,
        };
        cluster.apply(&cluster.sheet).await?;
        Ok(cluster)
    }

    /// The sheet with the addresses of the running processes.
    pub fn sheet(&self) -> &Path {
        &self.sheet
    }

    /// Applies a sheet with the operator command line.
    ///
    /// # Errors
    ///
    /// Fails if the sheet is not accepted.
    pub async fn apply(&self, sheet: &Path) -> Result<(), Error> {
        let sheet = sheet.display().to_string();
        let platform = self.platform.to_string();
        self.operate(&["apply", &sheet, "--platform", &platform])
            .await
            .map(drop)
    }

    /// Runs the operator command line and returns its output.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started or does not exit with 0.
    pub async fn operate(&self, args: &[&str]) -> Result<Vec<String>, Error> {
        let mut process = launch::start("berylgw", args)?;
        let status = process.finish().await?;
        let output = process.recent();
        if !status.success() {
            let text = output.join("\n");
            return Err(Error(format!(
                "berylgw {}: {status}\n{text}",
                args.join(" ")
            )));
        }
        Ok(output)
    }

    /// The fake that plays a rank group or plain service.
    pub fn fake(&self, name: &str) -> Option<&Fake> {
        self.fakes.iter().find(|fake| &*fake.name == name)
    }

    /// Stops all processes of the product, agents first.
    ///
    /// # Errors
    ///
    /// Fails with the names of the processes that did not exit with 0.
    pub async fn stop(&mut self) -> Result<(), Error> {
        let mut failed = Vec::new();
        for members in [&mut self.agents, &mut self.entries] {
            for member in members.iter() {
                member.process.signal(nix::sys::signal::Signal::SIGTERM)?;
            }
            for member in members {
                let status = member.process.wait().await?;
                if !status.success() {
                    failed.push(format!("{}: {status}", member.name));
                }
            }
        }
        if failed.is_empty() {
            Ok(())
        } else {
            Err(Error(failed.join("\n")))
        }
    }
}

async fn start_fake(name: &str, binary: &str, args: &[String]) -> Result<Fake, Error> {
    let process = launch::start(binary, args)?;
    let control = process.address("control").await?;
    Ok(Fake {
        name: name.into(),
        servers: Vec::new(),
        control: control::Client::new(control),
        process,
    })
}

async fn start_proxy(name: &str, upstream: SocketAddr) -> Result<Fake, Error> {
    let args = ["--upstream".to_owned(), upstream.to_string()];
    start_fake(name, "fault-proxy", &args).await
}

async fn start_fakes(plan: &Plan, extra: &Extra) -> Result<Vec<Fake>, Error> {
    let mut fakes = Vec::new();
    for fake in &plan.fakes {
        let count = fake.servers.len();
        let (binary, flag, interface, more) = if fake.model {
            ("fake-engine", "--ranks", "engine", &extra.engine)
        } else {
            ("fake-service", "--servers", "service", &extra.service)
        };
        let mut args = vec![flag.to_owned(), count.to_string()];
        args.extend(more.iter().cloned());
        let mut started = start_fake(&fake.name, binary, &args).await?;
        let addresses = started.process.addresses(interface, count).await?;
        started.servers = fake.servers.iter().cloned().zip(addresses).collect();
        fakes.push(started);
    }
    Ok(fakes)
}

async fn start_entries(
    plan: &Plan,
    scratch: &Scratch,
    platform: SocketAddr,
    extra: &Extra,
) -> Result<Vec<Member>, Error> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut entries: Vec<Member> = Vec::new();
    let mut seeds: Vec<SocketAddr> = Vec::new();
    for entry in &plan.entries {
        let mut link = None;
        let mut reached = platform;
        if extra.proxied_entries {
            let proxy = start_proxy(&entry.name, platform).await?;
            reached = proxy.process.address("proxy").await?;
            link = Some(proxy);
        }
        let counter = Proxy::new(reached);
        if extra.counted {
            reached = counter.listen(any).await?;
        }
        let settings = format!(
            "name: {}\ndomain: {}\n\
             listen: {{callers: '127.0.0.1:0', peers: '127.0.0.1:0', metrics: '127.0.0.1:0'}}\n\
             platform: {{address: '{reached}', timeout_ms: 1000}}\n\
             seeds: {}\n{}",
            entry.name,
            entry.domain,
            quoted(&seeds),
            extra.entry,
        );
        let mut member =
            start_member("berylgw-entry", "callers", entry, scratch, &settings).await?;
        if let Some(platform) = link {
            let peers = start_proxy(&entry.name, member.direct().await?).await?;
            member.links = Some(Links { platform, peers });
        }
        if extra.counted {
            let peers = Proxy::new(member.peer_address().await?);
            let address = peers.listen(any).await?;
            member.counted = Some(Counted {
                platform: counter,
                peers,
                address,
            });
        }
        // Two seeds are enough: the sheet names all other entries.
        if seeds.len() < 2 {
            seeds.push(member.peer_address().await?);
        }
        entries.push(member);
    }
    Ok(entries)
}

async fn start_agents(
    plan: &Plan,
    scratch: &Scratch,
    entries: &[Member],
    fakes: &[Fake],
    extra: &Extra,
) -> Result<Vec<Member>, Error> {
    let mut agents = Vec::new();
    for server in &plan.servers {
        let mut homes = Vec::new();
        for entry in entries {
            if plan.region(&entry.domain) == plan.region(&server.domain) {
                // A fault between entries leaves agents this way.
                homes.push(match &entry.counted {
                    Some(counted) => counted.address,
                    None => entry.direct().await?,
                });
            }
        }
        let mut served = fakes.iter().flat_map(|fake| &fake.servers);
        let local = served.find(|(name, _)| *name == server.name);
        let (_, local) = local.ok_or_else(|| Error(format!("{}: no fake", server.name)))?;
        let lag = extra
            .report_lag_ms
            .map(|lag| format!(", report_lag_ms: {lag}"));
        let settings = format!(
            "name: {}\ndomain: {}\n\
             listen: {{agent: '127.0.0.1:0', metrics: '127.0.0.1:0'}}\n\
             entries: {}\n\
             server: {{address: '{local}'{}}}\n{}",
            server.name,
            server.domain,
            quoted(&homes),
            lag.unwrap_or_default(),
            extra.agent,
        );
        agents.push(start_member("berylgw-agent", "agent", server, scratch, &settings).await?);
    }
    Ok(agents)
}

async fn start_member(
    binary: &'static str,
    interface: &str,
    host: &plan::Host,
    scratch: &Scratch,
    settings: &str,
) -> Result<Member, Error> {
    let file = scratch.write(&format!("{}.yaml", host.name), settings)?;
    let process = launch::start(binary, [Path::new("--settings"), &file])?;
    Ok(Member {
        name: host.name.clone(),
        domain: host.domain.clone(),
        address: process.address(interface).await?,
        proxy: None,
        links: None,
        settings: file,
        counted: None,
        process,
        binary,
    })
}

fn quoted(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<String> = addresses
        .iter()
        .map(|address| format!("'{address}'"))
        .collect();
    format!("[{}]", quoted.join(", "))
}
