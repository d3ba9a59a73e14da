//! Cost of spreading one change to all entries and agents.
//!
//! The model follows the protocol of the processes: entries learn a change from
//! their platform watch or, if the watch is down, from a peer they exchange
//! versions with; each agent follows two home entries, of which the first sends
//! objects and the second only its version.

use std::time::Duration;

use rand::Rng;

use crate::clock::Instant;
use crate::home;

/// Wait of an agent for the objects of a version that its second home shows.
const OBJECT_WAIT: Duration = Duration::from_millis(200);

/// Time between two version exchanges of an entry with a random peer.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(1);

/// Bytes of a message without objects: framing, headers and the sender.
pub const MESSAGE_OVERHEAD: u64 = 128;

/// The processes and their delays.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Entries whose watch is down, in percent.
    pub silent_percent: u32,
    /// Longest delay of a watch event.
    pub watch_delay: Duration,
    /// Longest delay between two processes, one way.
    pub peer_delay: Duration,
}

/// What one change cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Messages with objects that the busiest entry sent and received.
    pub entry_messages: u64,
    /// Bytes that the busiest entry sent and received for the change.
    pub entry_bytes: u64,
    /// Most bytes that an agent received for the change.
    pub agent_bytes: u64,
    /// Time until every process had the change.
    pub time: Duration,
}

/// Spreads a change of `bytes`, written at the origin of the clock.
pub fn spread<R: Rng>(fleet: &Fleet, bytes: u64, random: &mut R) -> Cost {
    let size = bytes + MESSAGE_OVERHEAD;
    let mut messages = vec![0; fleet.entries];
    let mut known = watches(fleet, &mut messages, random);
    exchanges(fleet, &mut known, &mut messages, random);
    let mut last = known.iter().flatten().copied().max().unwrap_or_default();
    let mut versions = vec![0; fleet.entries];
    let mut agent_bytes = 0;
    for agent in 0..fleet.agents {
        let order = home::entry_order(agent, fleet.entries);
        let first = order[0];
        messages[first] += 1;
        let mut received = size;
        let mut at = known[first].map(|at| at + delay(fleet.peer_delay, random));
        if let Some(&second) = order.get(1) {
            versions[second] += 1;
            received += MESSAGE_OVERHEAD;
            let shown = known[second].map(|at| at + delay(fleet.peer_delay, random));
            let due = shown.map(|shown| shown + OBJECT_WAIT);
            if due.is_some_and(|due| at.is_none_or(|at| due < at)) {
                messages[second] += 1;
                received += size;
                let there_and_back =
                    delay(fleet.peer_delay, random) + delay(fleet.peer_delay, random);
                at = due
                    .map(|due| at.map_or(due + there_and_back, |at| at.min(due + there_and_back)));
            }
        }
        agent_bytes = agent_bytes.max(received);
        last = last.max(at.unwrap_or_default());
    }
    let bytes = messages
        .iter()
        .zip(&versions)
        .map(|(messages, versions)| messages * size + versions * MESSAGE_OVERHEAD);
    Cost {
        entry_messages: messages.iter().copied().max().unwrap_or_default(),
        entry_bytes: bytes.max().unwrap_or_default(),
        agent_bytes,
        time: last.since(Instant::ORIGIN),
    }
}

fn delay<R: Rng>(longest: Duration, random: &mut R) -> Duration {
    longest.mul_f64(random.random_range(0.1..=1.0))
}

/// Times at which entries learn the change from their watch.
fn watches<R: Rng>(fleet: &Fleet, messages: &mut [u64], random: &mut R) -> Vec<Option<Instant>> {
    let mut known = Vec::new();
    for (entry, messages) in messages.iter_mut().enumerate() {
        // At least one watch has to work for the change to arrive at all.
        let silent = entry > 0 && random.random_range(0..100) < fleet.silent_percent;
        known.push((!silent).then(|| {
            *messages += 1;
            Instant::ORIGIN + delay(fleet.watch_delay, random)
        }));
    }
    known
}

/// Lets the entries without the change ask random peers until all have it.
fn exchanges<R: Rng>(
    fleet: &Fleet,
    known: &mut [Option<Instant>],
    messages: &mut [u64],
    random: &mut R,
) {
    let phases: Vec<Duration> = known
        .iter()
        .map(|_| EXCHANGE_PERIOD.mul_f64(random.random_range(0.0..1.0)))
        .collect();
    let mut round = 0;
    while known.iter().any(Option::is_none) {
        let before = known.to_vec();
        for entry in 0..known.len() {
            let peer = random.random_range(0..known.len());
            let at = Instant::ORIGIN + EXCHANGE_PERIOD * round + phases[entry];
            let Some(peer_known) = before[peer] else {
                continue;
            };
            if known[entry].is_some() || peer_known > at {
                continue;
            }
            messages[entry] += 1;
            messages[peer] += 1;
            let there_and_back = delay(fleet.peer_delay, random) + delay(fleet.peer_delay, random);
            known[entry] = Some(at + there_and_back);
        }
        round += 1;
    }
}
