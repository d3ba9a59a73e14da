//! Faults in an order that the seed decides.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::Instant;

use super::world::{World, configuration};
use crate::direct::backend::Reply;
use crate::direct::site::Failure;
use crate::direct::store::Treatment;
use crate::proxy::Fault;

/// Faults in progress, and what ends each.
#[derive(Default)]
pub struct Faults {
    running: Vec<(Instant, Undo)>,
    count: usize,
}

/// What ends a fault; numbers are places in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Undo {
    ContinueEntry(usize),
    ContinueRank(usize),
    OpenStore(usize),
    HearStore,
    RelayServer(usize),
    RelayEntry(usize),
    Return(usize),
    AnswerOrders,
}

impl Faults {
    /// Faults so far.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Injects a fault and ends those whose time is over.
    pub async fn step(&mut self, world: &mut World, rng: &mut ChaCha8Rng) -> Result<(), Failure> {
        tokio::time::sleep(Duration::from_millis(rng.random_range(40..250))).await;
        self.undo(world, Instant::now())?;
        self.count += 1;
        let until = Instant::now() + Duration::from_millis(rng.random_range(100..1_500));
        let entry = rng.random_range(0..world.entries.len());
        let server = rng.random_range(0..world.servers.len());
        let rank = rng.random_range(0..world.ranks.len());
        let undo = match rng.random_range(0..15) {
            0 => {
                world.entries[entry].0.process.signal(Signal::SIGSTOP)?;
                Some(Undo::ContinueEntry(entry))
            }
            1 => {
                world.entries[entry].0.process.signal(Signal::SIGKILL)?;
                self.replace(world, entry).await?;
                None
            }
            2 => {
                // A process that stands still ends only when it goes on.
                world.entries[entry].0.process.signal(Signal::SIGCONT)?;
                world.entries[entry].0.process.signal(Signal::SIGTERM)?;
                // It goes on with its open requests beside its successor.
                self.replace(world, entry).await?;
                None
            }
            3 => {
                world.entries[entry].0.process.signal(Signal::SIGHUP)?;
                None
            }
            4 => {
                let door = [Treatment::Refusing, Treatment::Silent][rng.random_range(0..2)];
                world.entries[entry].0.treatment.send_replace(door);
                Some(Undo::OpenStore(entry))
            }
            5 => {
                world.store.stall_watches(true);
                Some(Undo::HearStore)
            }
            6 => {
                world.version += rng.random_range(1..9);
                let configuration = configuration(world.version);
                world.store.put("config", "main", configuration);
                None
            }
            7 => {
                world.servers[server].1.set(network_fault(rng));
                Some(Undo::RelayServer(server))
            }
            8 => {
                world.entries[entry].1.set(network_fault(rng));
                Some(Undo::RelayEntry(entry))
            }
            9 => {
                let (known, _, entry) = &world.servers[server];
                let mut leaving = entry.clone();
                leaving["State"] = json!("draining");
                world.store.put("servers", &known.id, leaving);
                Some(Undo::Return(server))
            }
            10 => {
                world.servers[server]
                    .0
                    .queue_reply(server_fault(server, rng));
                None
            }
            11 => {
                world.ranks[rank].process.signal(Signal::SIGSTOP)?;
                Some(Undo::ContinueRank(rank))
            }
            12 => {
                world.ranks[rank].process.signal(Signal::SIGKILL)?;
                world.ranks[rank].process.wait().await?;
                world.ranks[rank].start()?;
                None
            }
            13 => {
                let late = Duration::from_millis(rng.random_range(50..900));
                world.group.lose_orders(rng.random_range(2..6), late);
                Some(Undo::AnswerOrders)
            }
            _ => {
                world.group.set_demand(rng.random_range(0..16));
                if rng.random_bool(0.2) {
                    world.group.restart().await;
                }
                None
            }
        };
        self.running.extend(undo.map(|undo| (until, undo)));
        Ok(())
    }

    /// Ends all faults.
    pub async fn end(&mut self, world: &mut World) -> Result<(), Failure> {
        let Some(last) = self.running.iter().map(|(until, _)| *until).max() else {
            return Ok(());
        };
        self.undo(world, last)
    }

    async fn replace(&mut self, world: &mut World, entry: usize) -> Result<(), Failure> {
        let ended = [
            Undo::ContinueEntry(entry),
            Undo::OpenStore(entry),
            Undo::RelayEntry(entry),
        ];
        self.running.retain(|(_, undo)| !ended.contains(undo));
        let successor = world.start_entry(entry).await?;
        let before = std::mem::replace(&mut world.entries[entry], successor);
        world.leaving.push(before);
        Ok(())
    }

    fn undo(&mut self, world: &mut World, now: Instant) -> Result<(), Failure> {
        let (over, running) = self.running.drain(..).partition(|(until, _)| *until <= now);
        self.running = running;
        let over: Vec<(Instant, Undo)> = over;
        for (_, undo) in over {
            match undo {
                Undo::ContinueEntry(entry) => {
                    // Recorded first: its next call may arrive at once.
                    world.interface.record_resumption(&format!("edge-{entry}"));
                    world.entries[entry].0.process.signal(Signal::SIGCONT)?;
                }
                Undo::ContinueRank(rank) => world.ranks[rank].process.signal(Signal::SIGCONT)?,
                Undo::OpenStore(entry) => {
                    world.entries[entry]
                        .0
                        .treatment
                        .send_replace(Treatment::Open);
                }
                Undo::HearStore => world.store.stall_watches(false),
                Undo::RelayServer(server) => world.servers[server].1.set(Fault::default()),
                Undo::RelayEntry(entry) => world.entries[entry].1.set(Fault::default()),
                Undo::Return(server) => {
                    let (known, _, entry) = &world.servers[server];
                    world.store.put("servers", &known.id, entry.clone());
                }
                Undo::AnswerOrders => world.group.lose_orders(u64::MAX, Duration::ZERO),
            }
        }
        Ok(())
    }
}

/// Connections that are delayed, cut, silent, or open one way only.
fn network_fault(rng: &mut ChaCha8Rng) -> Fault {
    let mut fault = Fault::default();
    match rng.random_range(0..4) {
        0 => fault.delay_ms = rng.random_range(5..120),
        1 => fault.cut = true,
        2 => {
            fault.freeze = true;
            fault.freeze_new = rng.random_bool(0.5);
        }
        _ => fault.drop_answer = true,
    }
    fault
}

/// An answer that is no answer to the request.
fn server_fault(server: usize, rng: &mut ChaCha8Rng) -> Reply {
    let replies = [
        Reply::NotRun,
        Reply::Unavailable,
        Reply::Reset,
        Reply::OtherId,
        Reply::Unsigned,
        Reply::Silent,
        Reply::Truncated(3),
    ];
    // Only servers of the model stream.
    let known = if server.is_multiple_of(2) { 7 } else { 6 };
    replies[rng.random_range(0..known)]
}
