//! The `berylgw-rank` processes beside the ranks of a group.

use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};

use crate::direct::group::Group;
use crate::direct::site::Failure;
use crate::launch::{self, Process};

/// A process beside a rank, which can be started again.
#[derive(Debug)]
pub struct Sidecar {
    /// The process.
    pub process: Process,
    /// Port that it listens on.
    pub listen: u16,
    /// Port that it uses as the leader.
    pub lead: u16,
    settings: PathBuf,
}

impl Sidecar {
    /// Starts the process again after it has ended.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub fn start(&mut self) -> Result<(), Failure> {
        self.process = launch(&self.settings)?;
        Ok(())
    }
}

/// Starts a process beside each rank of a group.
///
/// # Errors
///
/// Fails if a settings file cannot be written or a process does not start.
pub fn start_all(group: &Group, service: &str, store: SocketAddr) -> Result<Vec<Sidecar>, Failure> {
    start_all_at(
        [free_port(group)?, free_port(group)?],
        group,
        service,
        store,
    )
}

/// Starts a process beside each rank of a group. The first port is the one that
/// they listen on, the second the one that the leader uses.
///
/// # Errors
///
/// Fails if a settings file cannot be written or a process does not start.
pub fn start_all_at(
    ports: [u16; 2],
    group: &Group,
    service: &str,
    store: SocketAddr,
) -> Result<Vec<Sidecar>, Failure> {
    let mut started = Vec::new();
    for engine in &group.addresses {
        let (ip, [listen, lead]) = (engine.ip(), ports);
        let text = format!(
            "rank:\n  name: host-{ip}\n  engine: {engine}\n  listen: {ip}:{listen}\n  \
             lead: {ip}:{lead}\n  metrics: 127.0.0.1:0\nplatform:\n  store: {store}\n  \
             service: {service}\n"
        );
        let name = format!("berylgw-rank-{}-{ip}-{listen}.yaml", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::File::create(&settings)?.write_all(text.as_bytes())?;
        let process = launch(&settings)?;
        started.push(Sidecar {
            process,
            listen,
            lead,
            settings,
        });
    }
    Ok(started)
}

/// Returns a port that is free on the first host. Nothing else uses these
/// hosts, so that it is free on all of them.
fn free_port(group: &Group) -> Result<u16, Failure> {
    let socket = UdpSocket::bind((group.addresses[0].ip(), 0))?;
    Ok(socket.local_addr()?.port())
}

fn launch(settings: &Path) -> Result<Process, Failure> {
    Ok(launch::start(
        "berylgw-rank",
        [Path::new("--settings"), settings],
    )?)
}
