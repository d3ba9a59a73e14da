//! Splitting the body of an event stream into events.

use bytes::{Bytes, BytesMut};

/// Splits the body of an event stream into complete events.
///
/// ```
/// use berylgw_direct::event::Splitter;
///
/// let mut splitter = Splitter::default();
/// let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
/// assert_eq!(&*events, b"id: 1\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some("1"));
/// assert_eq!(splitter.incomplete_bytes(), 8);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_id: Option<String>,
}

impl Splitter {
    /// Appends bytes; returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = end_of_events(&self.buffer)?;
        let events = self.buffer.split_to(end).freeze();
        self.record_id(&events);
        Some(events)
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the number of bytes of the incomplete event.
    pub fn incomplete_bytes(&self) -> usize {
        self.buffer.len()
    }

    fn record_id(&mut self, events: &[u8]) {
        for line in events.split(|&byte| byte == b'\n') {
            let Some(id) = line.strip_prefix(b"id:") else {
                continue;
            };
            if let Ok(id) = std::str::from_utf8(id) {
                self.last_id = Some(id.trim().to_owned());
            }
        }
    }
}

/// Returns the length of the bytes up to and including the last empty line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let carriage = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let plain = plain.map(|at| at + 2);
    let carriage = carriage.map(|at| at + 4);
    plain.max(carriage)
}
