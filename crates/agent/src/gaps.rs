//! Time between the tokens of one stream.

use std::time::Duration;

use tokio::time::Instant;

/// Times of the last tokens of a stream.
#[derive(Debug, Default)]
pub(crate) struct Gaps {
    last: Option<Instant>,
    previous: Option<Duration>,
}

impl Gaps {
    /// A stream without tokens.
    pub fn new() -> Self {
        Gaps::default()
    }

    /// Takes in `count` events that were waited for from `asked` and came at
    /// `arrived`; returns a sample of the time per token.
    ///
    /// The sample is the shorter of two successive times, because one long step
    /// with the prompt of another request does not make a slow server. An answer
    /// that was held up by its reader for longer than by the server has none.
    pub fn sample(&mut self, asked: Instant, arrived: Instant, count: u32) -> Option<Duration> {
        if count == 0 {
            return None;
        }
        let last = self.last.replace(arrived)?;
        if asked.duration_since(last) > arrived.duration_since(asked) {
            self.previous = None;
            return None;
        }
        let time = arrived.duration_since(last) / count;
        let previous = self.previous.replace(time)?;
        Some(time.min(previous))
    }
}
