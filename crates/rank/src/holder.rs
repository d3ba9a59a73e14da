//! Sends the hold order to a group on behalf of its leader, from a host without
//! a rank.
//!
//! Guards against a host that freezes right after it has sent the order. If that
//! host runs a rank, the rank can be neither armed nor released, and the group
//! stays held until the host resumes. Sent from another host, the order arrives
//! one datagram latency later, and the leader can continue without the holder.
//!
//! The reports of the [`pace`](crate::pace) of ranks arrive at the same socket and are
//! handed on.

use std::net::SocketAddr;
use std::time::Duration;

use berylgw_wire::rank as wire;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use prost::Message;
use tokio::net::UdpSocket;

use crate::engine::{Action, Failure, Order};

/// Size of the receive buffer in bytes: an address and a few numbers fit in it.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Delay after a failed read of the socket.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Largest number of orders without a response; further hold requests are dropped.
/// Leaders repeat them, and a group has one at a time.
const MAX_ORDERS: usize = 64;

/// Executes the hold requests that leaders send to `socket`, forever.
///
/// `order` sends an order to the rank at an address. An order without a reply
/// may still be executed later; the leader allows for that.
///
/// `report` is called with the paces that ranks report.
pub async fn serve<F>(
    socket: UdpSocket,
    order: impl Fn(SocketAddr, Order) -> F,
    report: impl Fn(wire::Pace),
) where
    F: Future<Output = Result<(), Failure>>,
{
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    // Run beside the loop: an unreachable rank must not delay the reports of others.
    let mut orders = FuturesUnordered::new();
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            Some(()) = orders.next() => continue,
        };
        let (length, from) = match received {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "hold request not received");
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        // The messages have no field in common, so a hold decodes as an empty pace.
        if let Ok(pace) = wire::Pace::decode(&buffer[..length])
            && !pace.rank.is_empty()
        {
            report(pace);
            continue;
        }
        let hold = wire::Hold::decode(&buffer[..length]);
        let hold = hold.map_err(|error| error.to_string());
        let read = hold.and_then(|hold| match hold.rank.parse::<SocketAddr>() {
            Ok(rank) => Ok((rank, hold)),
            Err(error) => Err(format!("rank {:?}: {error}", hold.rank)),
        });
        let (rank, hold) = match read {
            Ok(read) => read,
            Err(error) => {
                tracing::warn!(%from, error, "hold request not decoded");
                continue;
            }
        };
        let (epoch, pass) = (hold.epoch, hold.pass);
        let action = Action::Hold { pass };
        if orders.len() >= MAX_ORDERS {
            tracing::warn!(%rank, %from, epoch, pass, "hold dropped: too many orders");
            continue;
        }
        let ordered = order(rank, Order { epoch, action });
        orders.push(async move {
            match ordered.await {
                Ok(()) => tracing::info!(%rank, %from, epoch, pass, "hold accepted"),
                Err(error) => {
                    tracing::info!(%rank, %from, epoch, pass, %error, "hold not accepted");
                }
            }
        });
    }
}
