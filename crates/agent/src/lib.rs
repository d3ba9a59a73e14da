//! Agent process on a backend server host.
//!
//! The agent is the only path to its local engine or plain service and has
//! final authority over what the server receives.
//!
//! - [`settings`] describes the settings file.
//! - [`control`] follows the configuration on a thread of its own and
//!   publishes immutable [`control::Published`] values.
//! - [`gate`] applies the decision core to every request.
//! - [`once`] keeps claims ([`claim`]) and tickets, so that they run at most once.
//! - [`dispatch`] serves the `Agent` interface, [`sync`] the `Sync` interface.
//! - [`run`] takes a request from the queue to its last frame, [`call`] holds it
//!   while it is at the server, [`forward`] speaks HTTP with the server, and
//!   [`origin`] tells answers of other requests apart.
//! - [`engine`] serves the `Engine` interface: [`orders`] passes orders to the
//!   engine one at a time, [`report`] reads its state.
//! - [`process`] runs everything until a graceful shutdown has finished.

pub mod call;
pub mod claim;
pub mod control;
pub mod convert;
pub mod dispatch;
pub mod engine;
pub mod forward;
mod gaps;
pub mod gate;
mod identity;
pub mod metrics;
pub mod once;
pub mod orders;
pub mod origin;
pub mod place;
pub mod process;
pub mod report;
pub mod run;
pub mod settings;
pub mod sse;
pub mod sync;
