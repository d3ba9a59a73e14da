//! What the engines of a model service report during a run.

use std::net::SocketAddr;
use std::time::Duration;

use crate::control::{Client, Error};
use crate::engine::{Load, Stats};

/// Time between two readings of the load.
const INTERVAL: Duration = Duration::from_millis(50);

/// Blocks of the prompts that engines received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Blocks {
    /// Blocks that were in the prefix cache.
    pub cached: u64,
    /// All blocks.
    pub total: u64,
}

impl Blocks {
    /// Reads the sum over all engines.
    ///
    /// # Errors
    ///
    /// Fails if an engine does not answer.
    pub async fn read(engines: &[SocketAddr]) -> Result<Blocks, Error> {
        let mut sum = Blocks::default();
        for engine in engines {
            let stats: Stats = Client::new(*engine).get("/stats").await?;
            sum.cached += stats.cached_blocks;
            sum.total += stats.prompt_blocks;
        }
        Ok(sum)
    }

    /// Share of the blocks since `earlier` that were cached.
    pub fn hits_since(&self, earlier: &Blocks) -> f64 {
        let total = (self.total - earlier.total).max(1);
        (self.cached - earlier.cached) as f64 / total as f64
    }
}

/// Requests that engines hold, summed over many readings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Balance {
    highest: f64,
    mean: f64,
}

impl Balance {
    /// Reads the load of all engines until dropped.
    pub async fn watch(engines: &[SocketAddr], balance: &mut Balance) {
        let clients: Vec<Client> = engines.iter().map(|engine| Client::new(*engine)).collect();
        let mut ticks = tokio::time::interval(INTERVAL);
        loop {
            ticks.tick().await;
            let mut held = Vec::new();
            for client in &clients {
                // An engine that is down holds nothing.
                let load = client.get::<Load>("/load").await.unwrap_or_default();
                held.push((load.in_flight + load.queued) as f64);
            }
            balance.highest += held.iter().copied().fold(0.0, f64::max);
            balance.mean += held.iter().sum::<f64>() / held.len().max(1) as f64;
        }
    }

    /// Requests at the fullest engine over the mean of all.
    pub fn imbalance(&self) -> f64 {
        self.highest / self.mean.max(1e-9)
    }
}
