//! Pure decision core of berylgw.
//!
//! Every decision is a function of state, an event and an explicit
//! [`clock::Instant`]; the result is a list of actions for the process to
//! carry out. Nothing in this crate reads a clock, opens a socket, spawns a
//! task or draws from a global random source.
//!
//! - Configuration: [`sheet`] parses the operators' CSV, [`config`] holds
//!   versioned objects and resolves them into a [`config::Snapshot`] of
//!   [`client`], [`failure`], [`backend`], [`service`] and [`host`] values.
//!   [`revision`] orders changes of a store that may come back from a copy,
//!   [`freshness`] decides when an entry reads the store itself, [`transit`] tells how
//!   long the datagrams of others waited.
//! - Request handling in an entry: [`directory`], [`route`], [`retry`],
//!   [`ledger`], [`stream`] and [`buffer`]; [`outcome`] classifies the result.
//! - Request handling in an agent: [`admission`], [`fair`], [`ticket`],
//!   [`quarantine`] and [`drain`]. An agent receives the configuration from its
//!   [`home`] entries.
//! - Membership: [`member`] merges the membership states that entries gossip,
//!   [`identity`] decides between processes of the same name.
//! - Load balancing for services that entries reach without an agent: [`group`].
//! - Metering: [`usage`] counts the starts of requests by account, in the true time of
//!   [`wall`].
//! - Roles and model groups: [`lease`], [`expert`], [`step`], [`order`]. Calls of the
//!   holder of a role: [`duty`].

pub mod admission;
pub mod backend;
pub mod buffer;
pub mod client;
pub mod clock;
pub mod config;
pub mod directory;
pub mod drain;
pub mod duty;
pub mod error;
pub mod expert;
pub mod failure;
pub mod fair;
pub mod freshness;
pub mod group;
pub mod home;
pub mod host;
pub mod identity;
pub mod lease;
pub mod ledger;
pub mod link;
pub mod member;
pub mod order;
pub mod outcome;
pub mod quarantine;
pub mod retry;
pub mod revision;
pub mod route;
pub mod service;
pub mod sheet;
pub mod step;
pub mod stop;
pub mod stream;
pub mod ticket;
pub mod transit;
pub mod usage;
pub mod wall;

pub use error::{Error, Result};
