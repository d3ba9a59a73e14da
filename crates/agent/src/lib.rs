//! Agent process on a backend server host.
//!
//! All requests to the local engine or plain service go through its agent,
//! which alone decides what the server receives.
//!
//! - [`settings`] describes the settings file.
//! - [`control`] follows the configuration on a dedicated thread and publishes
//!   immutable [`control::Published`] values.
//! - [`admission`] applies admission control to every request.
//! - [`idempotency`] tracks claims ([`claim`]) and tickets, so that each runs at
//!   most once.
//! - [`dispatch`] serves the `Agent` interface, [`sync`] the `Sync` interface.
//! - [`run`] carries a request from the queue to its last frame, [`call`] tracks
//!   it while it is in flight at the server, [`forward`] is the HTTP client of
//!   the server, and [`origin`] detects answers that belong to other requests.
//! - [`engine`] serves the `Engine` interface: [`orders`] passes orders to the
//!   engine one at a time, [`report`] reads the engine's state.
//! - [`process`] starts all parts and runs them until a graceful shutdown has
//!   finished.

pub mod admission;
pub mod call;
pub mod claim;
pub mod control;
pub mod convert;
pub mod dispatch;
pub mod engine;
pub mod forward;
mod gaps;
pub mod idempotency;
mod identity;
pub mod metrics;
pub mod orders;
pub mod origin;
pub mod permit;
pub mod process;
pub mod report;
pub mod run;
pub mod settings;
pub mod sse;
pub mod sync;
