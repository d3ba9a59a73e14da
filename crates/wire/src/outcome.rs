//! Conversions of refusals and outcomes.

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
    /// A missing outcome reads as `unknown` and a reason of a newer release as
    /// a server failure: only an explicit statement makes a request `not run`.
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
