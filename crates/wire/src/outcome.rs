//! Conversions between refusals and outcomes of the core and their messages.

use std::time::Duration;

use berylgw_core::outcome;

use crate::generated::{Outcome, Refusal};

impl From<outcome::Outcome> for Outcome {
    fn from(outcome: outcome::Outcome) -> Self {
        match outcome {
            outcome::Outcome::Done => Outcome::Done,
            outcome::Outcome::NotRun => Outcome::NotRun,
            outcome::Outcome::Unknown => Outcome::Unknown,
        }
    }
}

impl From<&outcome::Refusal> for Refusal {
    fn from(refusal: &outcome::Refusal) -> Self {
        Refusal {
            reason: refusal.reason.label().to_owned(),
            outcome: Outcome::from(refusal.outcome).into(),
            retry_after_ms: refusal.retry_after.as_millis() as u64,
            message: refusal.message.to_string(),
        }
    }
}

impl From<&Refusal> for outcome::Refusal {
    /// Decodes a missing outcome as `unknown` and an unknown reason, which a newer
    /// release may send, as a server failure. Only an explicit outcome marks a
    /// request as `not run`.
    fn from(refusal: &Refusal) -> Self {
        let reason = outcome::Reason::from_label(&refusal.reason);
        outcome::Refusal {
            reason: reason.unwrap_or(outcome::Reason::ServerFailed),
            outcome: match refusal.outcome() {
                Outcome::Done => outcome::Outcome::Done,
                Outcome::NotRun => outcome::Outcome::NotRun,
                Outcome::Unknown | Outcome::Unspecified => outcome::Outcome::Unknown,
            },
            retry_after: Duration::from_millis(refusal.retry_after_ms),
            message: refusal.message.as_str().into(),
        }
    }
}
