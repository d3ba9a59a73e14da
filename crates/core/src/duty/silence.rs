use std::time::Duration;

use crate::clock::Instant;

/// Time for which the calls of a holder have had no response.
///
/// A response of any kind, also a refusal, shows that the interface is reachable from
/// this host. Without one, another entry may reach it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Silence {
    since: Option<Instant>,
}

impl Silence {
    /// Records that a call that began at `began` has had no response.
    pub fn no_response(&mut self, began: Instant) {
        self.since.get_or_insert(began);
    }

    /// Records a response, or a change of the holder.
    pub fn reset(&mut self) {
        self.since = None;
    }

    /// Returns whether the holder makes way: no call had a response for longer than
    /// `limit`, and there is another entry.
    pub fn is_too_long(&self, now: Instant, limit: Duration, others: usize) -> bool {
        let silent = self.since.is_some_and(|since| now.since(since) > limit);
        silent && others > 0
    }
}
