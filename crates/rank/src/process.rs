//! Assembly and lifecycle of the sidecar.

use std::net::SocketAddr;
use std::rc::Rc;

use berylgw_runtime::{log, metrics as endpoint};
use tokio::net::UdpSocket;

use crate::engine::Engine;
use crate::leader::Leader;
use crate::member::Member;
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::settings::Settings;

/// Error that prevents the sidecar from starting.
#[derive(Debug, thiserror::Error)]
#[error("{component}: {message}")]
pub struct Error {
    component: &'static str,
    message: String,
}

impl Error {
    fn new(component: &'static str, message: impl ToString) -> Self {
        Error {
            component,
            message: message.to_string(),
        }
    }
}

/// Runs the sidecar until `stop` resolves.
///
/// # Errors
///
/// Fails if a socket cannot be bound or a metric cannot be registered.
pub async fn run(
    settings: Settings,
    engine: Engine,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let metrics = Metrics::new().map_err(|error| Error::new("metrics", error))?;
    let mut settings = settings;
    let socket = bind("members", &mut settings.listen).await?;
    let lead = bind("leader", &mut settings.lead).await?;
    let registry = metrics.registry();
    let engine = Rc::new(engine);
    let outbox = Outbox::new(socket, settings.link_mbps, metrics.clone());
    let member = Rc::new(Member::new(engine, metrics, settings.engine, outbox));
    let leader = Leader::new(member.clone(), lead, &settings);
    let metrics = async {
        let served = endpoint::serve(settings.metrics, registry, std::future::pending()).await;
        if let Err(error) = served {
            tracing::error!(%error, "metrics not served");
        }
        std::future::pending::<()>().await
    };
    tokio::select! {
        () = member.receive() => {}
        () = member.outbox.run() => {}
        () = member.execute_plans() => {}
        () = member.report_samples() => {}
        () = leader.run() => {}
        () = metrics => {}
        () = stop => {}
    }
    tracing::info!("stopped");
    Ok(())
}

/// Binds a UDP socket and replaces `address` with the bound address.
async fn bind(interface: &'static str, address: &mut SocketAddr) -> Result<UdpSocket, Error> {
    let failed = |error: std::io::Error| Error::new(interface, error);
    let socket = UdpSocket::bind(*address).await.map_err(failed)?;
    *address = socket.local_addr().map_err(failed)?;
    log::listening(interface, *address);
    Ok(socket)
}
