//! Fake of a rank group of model engines.
//!
//! All ranks of the group advance in lock-step; a rank that takes more
//! requests than it can hold falls over.

pub mod answer;
mod cache;
mod chat;
mod demand;
mod group;
mod http;
mod job;
mod order;
mod rank;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use group::{Engine, run_steps};
pub use http::{control_router, router};

/// Settings of a fake rank group.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of ranks.
    pub ranks: usize,
    /// Time of one step of a warm rank.
    pub step: Duration,
    /// Requests that a warm rank can hold.
    pub capacity: usize,
    /// Requests that a cold rank can hold.
    pub cold_capacity: usize,
    /// Whether ranks start cold.
    pub cold: bool,
    /// Completed requests after which a cold rank is warm.
    pub warm_after: u64,
    /// Factor on the step time of a cold rank.
    pub cold_factor: f64,
    /// Steps before the first token of a prompt that is not cached.
    pub prefill_steps: usize,
    /// Prompt blocks in the prefix cache of a rank.
    pub cache_blocks: usize,
    /// Time for which a rank that fell over refuses connections.
    pub restart: Duration,
    /// Lag of the reported load.
    pub load_lag: Duration,
    /// Delay of cache events.
    pub event_delay: Duration,
    /// Probability that a cache event is missing.
    pub event_gaps: f64,
    /// Whether orders with an old fencing token are refused.
    pub fencing: bool,
    /// Time to carry out an order.
    pub order: Duration,
    /// Time to load an expert map.
    pub map_load: Duration,
    /// Experts of the layer that decides the step time; 0 for a fixed step time.
    pub experts: u16,
    /// Expert slots of each rank.
    pub expert_slots: u16,
    /// Share of a step that scales with the load of the slowest rank.
    pub expert_share: f64,
    /// Standard deviation of the logarithm of an expert's demand, per step.
    pub drift: f64,
    /// Whether a request goes on to its end after its caller went away.
    pub run_abandoned: bool,
    /// Ranks without the stamped map use another one instead of waiting.
    pub unchecked_maps: bool,
    /// Text in a prompt that makes the rank fall over.
    pub crash_marker: String,
    /// Seed for cache event gaps.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            ranks: 1,
            step: Duration::from_millis(10),
            capacity: 32,
            cold_capacity: 4,
            cold: false,
            warm_after: 20,
            cold_factor: 3.0,
            prefill_steps: 4,
            cache_blocks: 1024,
            restart: Duration::from_millis(500),
            load_lag: Duration::from_millis(200),
            event_delay: Duration::from_millis(500),
            event_gaps: 0.05,
            fencing: true,
            order: Duration::from_millis(100),
            map_load: Duration::from_millis(100),
            experts: 0,
            expert_slots: 0,
            expert_share: 0.4,
            drift: 0.01,
            run_abandoned: false,
            unchecked_maps: false,
            crash_marker: "#crash#".to_owned(),
            seed: 1,
        }
    }
}

/// A change of the faults of one rank.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Index of the rank.
    pub rank: usize,
    /// Stops the rank, and with it the group, until it is set to `false`.
    pub stall: Option<bool>,
    /// Factor on the step time.
    pub slow_factor: Option<f64>,
    /// Turns the rank cold or warm.
    pub cold: Option<bool>,
    /// With `cold`: steps with a token for a caller after which the cold limit
    /// applies. They are the only notice of a rank whose reports are late.
    pub notice_steps: u64,
    /// Makes the rank fall over.
    pub crash: bool,
}

/// Load of a rank as `GET /load` reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests with a first token.
    pub in_flight: usize,
    /// Requests without a first token.
    pub queued: usize,
    /// Requests that a warm rank can hold.
    pub capacity: usize,
    /// Whether the rank is cold.
    pub cold: bool,
    /// Time of the report in milliseconds since the start of the engine.
    pub as_of_ms: u64,
}

/// Steps of the group as `GET /steps` reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Steps {
    /// Steps that all ranks took.
    pub steps: u64,
    /// Steps in which ranks used different expert maps.
    pub mixed: u64,
    /// Times a step waited for a rank that was down, stalled or without the map.
    pub waits: u64,
    /// Times a step was given up because a rank did not load its map.
    pub given_up: u64,
    /// Switches from one map to another.
    pub switches: u64,
    /// Time of the last step of each rank in microseconds.
    pub rank_us: Vec<u64>,
    /// Time of all steps in microseconds.
    pub time_us: u64,
    /// Sum over all steps of the most loaded rank over the mean, in thousandths.
    pub skew_milli: u64,
    /// Expert slots loaded for maps after the first.
    pub transfers: u64,
    /// Tokens that each expert received.
    pub expert_tokens: Vec<u64>,
}

/// Counters of a rank as `GET /stats` reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Number of times each response id was run, sorted by response id.
    pub executions: Vec<Execution>,
    /// Most requests held at one time.
    pub highest_in_flight: usize,
    /// Times the rank fell over because it held too many requests.
    pub overfilled: u64,
    /// Times the rank fell over for any reason.
    pub crashes: u64,
    /// Requests cancelled through the interface.
    pub cancelled: u64,
    /// Requests whose caller went away.
    pub abandoned: u64,
    /// Requests with a complete answer.
    pub completed: u64,
    /// Blocks of prompts that were in the prefix cache on arrival.
    pub cached_blocks: u64,
    /// Blocks of all prompts.
    pub prompt_blocks: u64,
}

/// How often one response id was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Response id.
    pub response_id: String,
    /// Runs, resumed ones included.
    pub count: u64,
}
