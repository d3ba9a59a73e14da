//! Bounded prefix cache of a rank and its events.

use std::collections::VecDeque;
use std::time::Instant;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::Settings;
use super::answer::hash;

const BLOCK_BYTES: usize = 64;
const KEPT_EVENTS: usize = 10_000;

/// A cache event as `GET /events` reports it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    pub sequence: u64,
    #[serde(rename = "type")]
    pub kind: &'static str,
    pub block: String,
    #[serde(skip)]
    visible_at: Instant,
}

#[derive(Debug)]
pub(super) struct Cache {
    /// Least recently used first.
    blocks: VecDeque<u64>,
    events: VecDeque<Event>,
    sequence: u64,
    rng: ChaCha8Rng,
    /// Blocks of prompts that were cached, and all blocks of prompts.
    pub counts: (u64, u64),
}

impl Cache {
    pub fn new(seed: u64) -> Self {
        Cache {
            blocks: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            counts: (0, 0),
        }
    }

    /// Stores a prompt and returns which part of it was not cached, from 0 to 1.
    pub fn store(&mut self, prompt: &str, settings: &Settings) -> f64 {
        let mut prefix = hash(0, &[]);
        let mut missed = 0_usize;
        let mut total = 0_usize;
        for block in prompt.as_bytes().chunks(BLOCK_BYTES) {
            prefix = hash(prefix, block);
            total += 1;
            missed += usize::from(!self.touch(prefix, settings));
        }
        self.counts.0 += (total - missed) as u64;
        self.counts.1 += total as u64;
        missed as f64 / total.max(1) as f64
    }

    /// Forgets all blocks.
    pub fn clear(&mut self, settings: &Settings) {
        while let Some(block) = self.blocks.pop_front() {
            self.publish("removed", block, settings);
        }
    }

    /// Events after `sequence` that are already visible.
    pub fn events(&self, sequence: u64, now: Instant) -> Vec<Event> {
        let visible = |event: &&Event| event.sequence > sequence && event.visible_at <= now;
        self.events.iter().filter(visible).cloned().collect()
    }

    fn touch(&mut self, block: u64, settings: &Settings) -> bool {
        let known = self.blocks.iter().position(|known| *known == block);
        if let Some(index) = known {
            self.blocks.remove(index);
        }
        self.blocks.push_back(block);
        if known.is_some() {
            return true;
        }
        self.publish("stored", block, settings);
        if self.blocks.len() > settings.cache_blocks
            && let Some(oldest) = self.blocks.pop_front()
        {
            self.publish("removed", oldest, settings);
        }
        false
    }

    fn publish(&mut self, kind: &'static str, block: u64, settings: &Settings) {
        // A missing event uses up its sequence number, so that readers see the gap.
        self.sequence += 1;
        if self.rng.random_bool(settings.event_gaps.clamp(0.0, 1.0)) {
            return;
        }
        if self.events.len() == KEPT_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            sequence: self.sequence,
            kind,
            block: format!("{block:016x}"),
            visible_at: Instant::now() + settings.event_delay,
        });
    }
}
