//! Splitting of a stream of server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers bytes and splits them into complete events with their separators.
///
/// ```
/// let mut splitter = berylgw_agent::sse::Splitter::default();
/// splitter.push(b"data: 1\n\nda");
/// assert_eq!(splitter.next().as_deref(), Some(&b"data: 1\n\n"[..]));
/// assert_eq!(splitter.next(), None);
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    searched: usize,
}

impl Splitter {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Bytes> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = end_of_event(&self.buffer, from) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Returns the number of bytes of the incomplete event.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }
}

fn end_of_event(buffer: &[u8], from: usize) -> Option<usize> {
    for index in from..buffer.len() {
        let tail = &buffer[index..];
        if tail.starts_with(b"\n\n") {
            return Some(index + 2);
        }
        if tail.starts_with(b"\r\n\r\n") {
            return Some(index + 4);
        }
    }
    None
}

/// Returns whether the event ends an OpenAI-compatible stream.
pub fn is_done(event: &[u8]) -> bool {
    let text = event.trim_ascii();
    text == b"data: [DONE]" || text == b"data:[DONE]"
}
