//! Gives the order to hold a group for its leader, from a host without a rank.
//!
//! Load pattern: the host that gave the order stands still right after it. Where
//! that is the host of a rank, the rank can be neither armed nor released, and
//! the group is held until the host goes on. From another host the order is a
//! datagram's way later, and the leader goes on without the holder.

use std::net::SocketAddr;
use std::time::Duration;

use berylgw_wire::rank as wire;
use prost::Message;
use tokio::net::UdpSocket;

use crate::engine::{Action, Failure, Order};

/// Largest datagram that is read, in bytes: an address and two numbers.
const DATAGRAM_BYTES: usize = 256;

/// Pause after a failed read of the socket.
const PAUSE: Duration = Duration::from_millis(100);

/// Carries out what leaders ask for at `socket`, for ever.
///
/// `order` gives an order to the rank at an address; without an answer it may be
/// carried out later, which the leader allows for.
pub async fn serve<F>(socket: UdpSocket, order: impl Fn(SocketAddr, Order) -> F)
where
    F: Future<Output = Result<(), Failure>>,
{
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "no datagram received");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        let hold = wire::Hold::decode(&buffer[..length]);
        let hold = hold.map_err(|error| error.to_string());
        let read = hold.and_then(|hold| match hold.rank.parse::<SocketAddr>() {
            Ok(rank) => Ok((rank, hold)),
            Err(error) => Err(format!("rank {:?}: {error}", hold.rank)),
        });
        let (rank, hold) = match read {
            Ok(read) => read,
            Err(error) => {
                tracing::warn!(%from, error, "hold not read");
                continue;
            }
        };
        let (epoch, pass) = (hold.epoch, hold.pass);
        let action = Action::Hold { pass };
        match order(rank, Order { epoch, action }).await {
            Ok(()) => tracing::info!(%rank, %from, epoch, pass, "hold accepted"),
            Err(error) => tracing::info!(%rank, %from, epoch, pass, %error, "hold not accepted"),
        }
    }
}
