//! Conversions between wire and core types.

use std::time::Duration;

use berylgw_core::config::{Object, Version};
use berylgw_core::outcome::{Outcome, Refusal};
use berylgw_wire as wire;

/// Converts a refusal to its wire form.
pub fn refusal(refusal: &Refusal) -> wire::Refusal {
    wire::Refusal {
        reason: refusal.reason.label().to_owned(),
        outcome: outcome(refusal.outcome) as i32,
        retry_after_ms: millis(refusal.retry_after),
        message: refusal.message.to_string(),
    }
}

/// Converts an outcome to its wire form.
pub fn outcome(outcome: Outcome) -> wire::Outcome {
    match outcome {
        Outcome::Done => wire::Outcome::Done,
        Outcome::NotRun => wire::Outcome::NotRun,
        Outcome::Unknown => wire::Outcome::Unknown,
    }
}

/// Converts a configuration object from its wire form; returns `None` if its
/// value is not UTF-8.
pub fn object(object: &wire::Object) -> Option<Object> {
    let value = std::str::from_utf8(&object.value).ok()?;
    Some(Object {
        name: object.name.as_str().into(),
        version: Version::from(object.version),
        value: value.into(),
    })
}

/// Converts a configuration object to its wire form.
pub fn wire_object(object: &Object) -> wire::Object {
    wire::Object {
        name: object.name.to_string(),
        version: object.version.into(),
        value: object.value.as_bytes().to_vec().into(),
    }
}

/// Converts a duration to whole milliseconds, rounded up so that a nonzero
/// duration never becomes zero.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
