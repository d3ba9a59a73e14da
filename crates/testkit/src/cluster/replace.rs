//! Replacement of running processes.

use std::net::SocketAddr;
use std::path::Path;

use nix::sys::signal::Signal;

use super::plan::Plan;
use super::{Cluster, Error, Member};
use crate::launch;

impl Member {
    /// Starts another process with the same name on new addresses.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn twin(&self) -> Result<Member, Error> {
        let process = launch::start(self.binary, [Path::new("--settings"), &self.settings])?;
        let interface = self.interface();
        Ok(Member {
            name: self.name.clone(),
            domain: self.domain.clone(),
            address: process.address(interface).await?,
            proxy: None,
            links: None,
            settings: self.settings.clone(),
            counted: None,
            process,
            binary: self.binary,
        })
    }

    /// Stops the process gracefully and starts another one on the same addresses.
    ///
    /// # Errors
    ///
    /// Fails if it does not exit with 0 or the new process does not start.
    pub async fn replace(&mut self) -> Result<(), Error> {
        self.process.signal(Signal::SIGTERM)?;
        let status = self.process.wait().await?;
        if !status.success() {
            return Err(Error::new(format!("{}: {status}", self.name)));
        }
        self.restart().await
    }

    fn interface(&self) -> &'static str {
        if self.binary == "berylgw-entry" {
            "callers"
        } else {
            "agent"
        }
    }
}

impl Cluster {
    /// Applies the sheet with the addresses of the present members.
    ///
    /// # Errors
    ///
    /// Fails if the sheet is not accepted.
    pub async fn readdress(&self) -> Result<(), Error> {
        let plan = Plan::parse(&std::fs::read_to_string(&self.sheet)?)?;
        let mut addresses: Vec<(_, SocketAddr, Option<SocketAddr>)> = Vec::new();
        for member in &self.entries {
            let peer = member.peer_address().await?;
            addresses.push((member.name.clone(), member.address, Some(peer)));
        }
        for member in &self.agents {
            addresses.push((member.name.clone(), member.address, None));
        }
        std::fs::write(&self.sheet, plan.with_addresses(&addresses)?)?;
        self.apply(&self.sheet).await
    }
}
