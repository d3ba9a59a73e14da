//! Inter-token latency of one stream.

use std::time::Duration;

use tokio::time::Instant;

/// Arrival of the last token of a stream and the time per token before it.
#[derive(Debug, Default)]
pub(crate) struct Gaps {
    last: Option<Instant>,
    previous: Option<Duration>,
}

impl Gaps {
    /// Creates the state of a stream without tokens.
    pub fn new() -> Self {
        Gaps::default()
    }

    /// Records `count` events that arrived at `arrived` after a wait that began
    /// at `waited_from`; returns a sample of the time per token.
    ///
    /// The sample is the shorter of two successive times: a single long step,
    /// with the prefill of another request, does not mean that the server is
    /// slow. There is no sample if the reader of the answer delayed it for
    /// longer than the server did.
    pub fn sample(
        &mut self,
        waited_from: Instant,
        arrived: Instant,
        count: u32,
    ) -> Option<Duration> {
        if count == 0 {
            return None;
        }
        let last = self.last.replace(arrived)?;
        if waited_from.duration_since(last) > arrived.duration_since(waited_from) {
            self.previous = None;
            return None;
        }
        let time = arrived.duration_since(last) / count;
        let previous = self.previous.replace(time)?;
        Some(time.min(previous))
    }
}
