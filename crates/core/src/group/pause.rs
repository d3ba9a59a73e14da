//! Pause that a server asks for as it refuses a request.
//!
//! Load pattern: a server that is full, or about to be, refuses a request and names
//! the time for which it wants none from this sender. Other senders may be served, so
//! that a pause binds only the entry that was asked.

use std::time::Duration;

use crate::clock::Instant;

/// Longest pause that is taken for meant. A longer one would take a server out on the
/// word of a single answer.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);

/// What a request for a pause changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The server gets no requests until a later time than before.
    Extended,
    /// A pause that is as long already runs, or none was asked for.
    None,
    /// The value is negative, no number or longer than [`MAX_PAUSE`].
    Implausible,
}

/// The pause of one server at one entry.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::pause::{Change, Pause};
/// use std::time::Duration;
///
/// let at = Instant::from_millis;
/// let mut pause = Pause::default();
/// assert_eq!(pause.extend(at(0), 2.5), Change::Extended);
/// assert_eq!(pause.extend(at(100), 0.5), Change::None);
/// assert_eq!(pause.extend(at(100), -1.0), Change::Implausible);
/// assert_eq!(pause.left(at(1_000)), Some(Duration::from_millis(1_500)));
/// assert_eq!(pause.left(at(2_500)), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Pause {
    until: Instant,
}

impl Pause {
    /// Records that the server asked at `now` for a pause. Requests that were on their
    /// way then may name shorter ones, which end nothing.
    pub fn extend(&mut self, now: Instant, seconds: f64) -> Change {
        let asked = Duration::try_from_secs_f64(seconds).ok();
        let Some(asked) = asked.filter(|asked| *asked <= MAX_PAUSE) else {
            return Change::Implausible;
        };
        let until = now + asked;
        if until <= self.until.max(now) {
            return Change::None;
        }
        self.until = until;
        Change::Extended
    }

    /// Returns the rest of the pause, `None` if the server may get requests.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        Some(self.until.since(now)).filter(|left| !left.is_zero())
    }
}
