//! The two directions of one proxied connection.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::Switch;

const READ_BYTES: usize = 64 << 10;

/// Chunks read ahead of a delayed writer.
const QUEUED_CHUNKS: usize = 64;

type Chunk = (Instant, Bytes);

/// What the directions of a connection share.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub switch: watch::Receiver<Switch>,
    /// Freezes before the connection was made.
    pub freezes: u64,
    pub relayed: Arc<AtomicU64>,
}

/// Relays bytes until both directions have ended.
pub(super) async fn run(caller: TcpStream, upstream: TcpStream, relay: Relay) -> io::Result<()> {
    caller.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (from_caller, to_caller) = caller.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    let forth = direction(from_caller, to_upstream, relay.clone(), false);
    let back = direction(from_upstream, to_caller, relay, true);
    tokio::try_join!(forth, back).map(drop)
}

async fn direction(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    relay: Relay,
    back: bool,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(QUEUED_CHUNKS);
    let reading = read(from, sender, relay.switch.clone());
    let writing = write(to, receiver, relay, back);
    tokio::try_join!(reading, writing).map(drop)
}

/// Reads chunks and notes when each may be written.
async fn read(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    switch: watch::Receiver<Switch>,
) -> io::Result<()> {
    loop {
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        let count = from.read_buf(&mut buffer).await?;
        let delay = Duration::from_millis(switch.borrow().fault.delay_ms);
        let chunk = (Instant::now() + delay, buffer.freeze());
        // An empty chunk passes the end of the stream on.
        if sender.send(chunk).await.is_err() || count == 0 {
            return Ok(());
        }
    }
}

async fn write(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
    relay: Relay,
    back: bool,
) -> io::Result<()> {
    while let Some((due, bytes)) = receiver.recv().await {
        tokio::time::sleep_until(due).await;
        let drop_answer = {
            let switch = relay.switch.borrow();
            let frozen = switch.freezes != relay.freezes;
            if frozen {
                None
            } else {
                Some(switch.fault.drop_answer)
            }
        };
        let Some(drop_answer) = drop_answer else {
            return std::future::pending().await;
        };
        if back && drop_answer {
            return Err(io::Error::other("answer dropped"));
        }
        if bytes.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&bytes).await?;
        relay
            .relayed
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
    }
    Ok(())
}
