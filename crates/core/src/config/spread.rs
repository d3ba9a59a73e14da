//! Cost model of propagating one change to all entries and agents.
//!
//! The model follows the protocol of the processes. Entries receive a change
//! from their platform watch or, if the watch is down, by gossip with a random
//! peer. Each agent is connected to two assigned entries, its home entries: the
//! first sends it changed objects, the second only the version number that it has
//! reached.

use std::time::Duration;

use rand::Rng;

use crate::clock::Instant;
use crate::home;

/// Time that an agent waits for the objects of a version announced by its second
/// home entry before it requests them there.
const OBJECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval of an entry's gossip rounds, each with one random peer.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Size in bytes of a message without objects: framing, headers and the sender.
pub const MESSAGE_OVERHEAD: u64 = 128;

/// Size and network delays of the modelled fleet.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Percentage of entries whose watch is down.
    pub watch_down_percent: u32,
    /// Maximum delay of a watch event.
    pub watch_delay: Duration,
    /// Maximum one-way delay between two processes.
    pub peer_delay: Duration,
}

/// Cost of one change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Messages with objects that the busiest entry sent and received.
    pub entry_messages: u64,
    /// Bytes that the busiest entry sent and received for the change.
    pub entry_bytes: u64,
    /// Most bytes that an agent received for the change.
    pub agent_bytes: u64,
    /// Time until every process has the change.
    pub time: Duration,
}

/// Propagates a change of `bytes` bytes, written at the origin of the clock, and
/// returns its cost.
pub fn propagate<R: Rng>(fleet: &Fleet, bytes: u64, random: &mut R) -> Cost {
    let size = bytes + MESSAGE_OVERHEAD;
    let mut messages = vec![0; fleet.entries];
    let mut received_at = receive_from_watches(fleet, &mut messages, random);
    gossip(fleet, &mut received_at, &mut messages, random);
    let mut last = received_at
        .iter()
        .flatten()
        .copied()
        .max()
        .unwrap_or_default();
    let mut announcements = vec![0; fleet.entries];
    let mut agent_bytes = 0;
    for agent in 0..fleet.agents {
        let order = home::entry_order(agent, fleet.entries);
        let first = order[0];
        messages[first] += 1;
        let mut received = size;
        let mut at = received_at[first].map(|at| at + random_delay(fleet.peer_delay, random));
        if let Some(&second) = order.get(1) {
            announcements[second] += 1;
            received += MESSAGE_OVERHEAD;
            let announced =
                received_at[second].map(|at| at + random_delay(fleet.peer_delay, random));
            let due = announced.map(|announced| announced + OBJECT_TIMEOUT);
            if due.is_some_and(|due| at.is_none_or(|at| due < at)) {
                messages[second] += 1;
                received += size;
                let round_trip =
                    random_delay(fleet.peer_delay, random) + random_delay(fleet.peer_delay, random);
                at = due.map(|due| at.map_or(due + round_trip, |at| at.min(due + round_trip)));
            }
        }
        agent_bytes = agent_bytes.max(received);
        last = last.max(at.unwrap_or_default());
    }
    let bytes = messages
        .iter()
        .zip(&announcements)
        .map(|(messages, announcements)| messages * size + announcements * MESSAGE_OVERHEAD);
    Cost {
        entry_messages: messages.iter().copied().max().unwrap_or_default(),
        entry_bytes: bytes.max().unwrap_or_default(),
        agent_bytes,
        time: last.since(Instant::ORIGIN),
    }
}

fn random_delay<R: Rng>(max: Duration, random: &mut R) -> Duration {
    max.mul_f64(random.random_range(0.1..=1.0))
}

/// Returns the time at which each entry receives the change from its watch.
fn receive_from_watches<R: Rng>(
    fleet: &Fleet,
    messages: &mut [u64],
    random: &mut R,
) -> Vec<Option<Instant>> {
    let mut received_at = Vec::new();
    for (entry, messages) in messages.iter_mut().enumerate() {
        // The first watch always works, otherwise no entry receives the change.
        let watch_down = entry > 0 && random.random_range(0..100) < fleet.watch_down_percent;
        received_at.push((!watch_down).then(|| {
            *messages += 1;
            Instant::ORIGIN + random_delay(fleet.watch_delay, random)
        }));
    }
    received_at
}

/// Runs gossip rounds of the entries without the change until all have it.
fn gossip<R: Rng>(
    fleet: &Fleet,
    received_at: &mut [Option<Instant>],
    messages: &mut [u64],
    random: &mut R,
) {
    let phases: Vec<Duration> = received_at
        .iter()
        .map(|_| GOSSIP_INTERVAL.mul_f64(random.random_range(0.0..1.0)))
        .collect();
    let mut round = 0;
    while received_at.iter().any(Option::is_none) {
        let previous = received_at.to_vec();
        for entry in 0..received_at.len() {
            let peer = random.random_range(0..received_at.len());
            let at = Instant::ORIGIN + GOSSIP_INTERVAL * round + phases[entry];
            let Some(peer_received_at) = previous[peer] else {
                continue;
            };
            if received_at[entry].is_some() || peer_received_at > at {
                continue;
            }
            messages[entry] += 1;
            messages[peer] += 1;
            let round_trip =
                random_delay(fleet.peer_delay, random) + random_delay(fleet.peer_delay, random);
            received_at[entry] = Some(at + round_trip);
        }
        round += 1;
    }
}
