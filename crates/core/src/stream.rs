//! Validation of answer frames and resumption of event streams.

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::error::{Error, Kind, Result};

/// Position of an answer frame: its request, attempt and sequence number.
#[derive(Clone, Copy, Debug)]
pub struct Position<'a> {
    /// Request the frame belongs to.
    pub request_id: &'a str,
    /// Attempt the frame belongs to.
    pub attempt: u32,
    /// Index in the answer, from 0; a heartbeat has the index of the next frame.
    pub sequence: u64,
}

/// Content of an answer frame, reduced to what validation needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// Status and headers.
    Head,
    /// This many payload bytes.
    Data(usize),
    /// End of the answer.
    Final {
        /// Frames before this one, without heartbeats.
        frames: u64,
        /// Payload bytes before this one.
        bytes: u64,
    },
    /// The agent refused or aborted the request.
    Refusal,
    /// Liveness signal without content.
    Heartbeat,
}

/// What to do with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Forward its content to the caller.
    Forward,
    /// Ignore it.
    Drop,
    /// The answer is complete.
    Complete,
}

/// Validates that the frames of one attempt are complete and in order.
#[derive(Clone, Debug)]
pub struct Reader {
    request_id: String,
    attempt: u32,
    sequence: u64,
    bytes: u64,
    complete: bool,
}

impl Reader {
    /// Creates a reader for one attempt of a request.
    pub fn new(request_id: &str, attempt: u32) -> Self {
        Reader {
            request_id: request_id.to_owned(),
            attempt,
            sequence: 0,
            bytes: 0,
            complete: false,
        }
    }

    /// Validates the next frame and returns what to do with it.
    ///
    /// # Errors
    ///
    /// Fails if the frame belongs to another request or a later attempt, is out of
    /// sequence, contradicts the counts, or follows the final frame or a refusal, or
    /// if the head frame is missing or repeated.
    pub fn accept(&mut self, position: Position<'_>, content: Content) -> Result<Action> {
        if position.request_id != self.request_id {
            return Err(self.error(format!("frame of request {:?}", position.request_id)));
        }
        if position.attempt < self.attempt {
            return Ok(Action::Drop);
        }
        if position.attempt > self.attempt {
            return Err(self.error(format!("frame of attempt {}", position.attempt)));
        }
        if self.complete {
            return Err(self.error("frame after the final frame".to_owned()));
        }
        if position.sequence != self.sequence {
            return Err(self.error(format!("frame has sequence {}", position.sequence)));
        }
        if matches!(content, Content::Head) != (self.sequence == 0) && is_answer_part(content) {
            return Err(self.error("head frame missing or repeated".to_owned()));
        }
        self.advance(content)
    }

    /// Checks that the answer is complete once its connection has ended.
    ///
    /// # Errors
    ///
    /// Fails if neither the final frame nor a refusal was accepted.
    pub fn finish(&self) -> Result<()> {
        if self.complete {
            return Ok(());
        }
        Err(self.error("final frame missing".to_owned()))
    }

    fn advance(&mut self, content: Content) -> Result<Action> {
        match content {
            Content::Heartbeat => return Ok(Action::Drop),
            Content::Data(bytes) => self.bytes += bytes as u64,
            Content::Final { frames, bytes } => {
                if frames != self.sequence || bytes != self.bytes {
                    let counts = format!("final frame counts {frames} frames, {bytes} bytes");
                    return Err(self.error(counts));
                }
                self.complete = true;
                return Ok(Action::Complete);
            }
            Content::Refusal => self.complete = true,
            Content::Head => {}
        }
        self.sequence += 1;
        Ok(Action::Forward)
    }

    fn error(&self, message: String) -> Error {
        let place = format!(
            "answer {} attempt {} frame {} byte {}",
            self.request_id, self.attempt, self.sequence, self.bytes
        );
        Error::new(Kind::Invalid, place, message)
    }
}

/// Returns whether the content is part of an answer, which begins with its only
/// head frame. Refusals and heartbeats may come before the head frame.
fn is_answer_part(content: Content) -> bool {
    matches!(
        content,
        Content::Head | Content::Data(_) | Content::Final { .. }
    )
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Map<String, Value>,
    finish_reason: Option<String>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Event {
    /// Chunk with content.
    Token,
    /// Chunk with a finish reason and no content.
    Finish,
    /// End marker of the stream, `[DONE]`.
    EndMarker,
    /// Any other event. Those after the finish event form the trailer.
    Other,
}

/// Position in a chat completion stream that may span several attempts.
#[derive(Clone, Debug, Default)]
pub struct Cursor {
    tokens: u64,
    resumed: bool,
    finish_forwarded: bool,
    /// Whether an event after the finish event was forwarded, by any attempt.
    trailer_forwarded: bool,
    /// Whether the trailer of the current attempt is skipped, because an earlier
    /// attempt forwarded one.
    skip_trailer: bool,
    /// Whether the current attempt has received a finish event.
    finish_received: bool,
    end_marker_forwarded: bool,
}

impl Cursor {
    /// Returns the number of token events forwarded so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns whether the stream's end marker was forwarded.
    pub fn is_done(&self) -> bool {
        self.end_marker_forwarded
    }

    /// Starts another attempt after events were forwarded.
    pub fn resume(&mut self) {
        self.resumed = true;
        self.skip_trailer = self.trailer_forwarded;
        self.finish_received = false;
    }

    /// Returns whether to forward this event to the caller.
    ///
    /// A resumed attempt repeats the events before the first token and after
    /// the last one; the caller receives each of them once.
    pub fn should_forward(&mut self, event: &[u8]) -> bool {
        match classify(event) {
            Event::Token => true,
            Event::Finish => {
                self.finish_received = true;
                !self.finish_forwarded
            }
            Event::EndMarker => !self.end_marker_forwarded,
            Event::Other if self.resumed => self.finish_received && !self.skip_trailer,
            Event::Other => true,
        }
    }

    /// Records an event as forwarded.
    pub fn record_forwarded(&mut self, event: &[u8]) {
        match classify(event) {
            Event::Token => self.tokens += 1,
            Event::Finish => self.finish_forwarded = true,
            Event::EndMarker => self.end_marker_forwarded = true,
            Event::Other => self.trailer_forwarded = self.finish_forwarded,
        }
    }
}

fn classify(event: &[u8]) -> Event {
    let Some(data) = event.trim_ascii().strip_prefix(b"data:") else {
        return Event::Other;
    };
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return Event::EndMarker;
    }
    let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
        return Event::Other;
    };
    let has_token = chunk
        .choices
        .iter()
        .any(|choice| has_content(&choice.delta));
    let has_finish = chunk
        .choices
        .iter()
        .any(|choice| choice.finish_reason.is_some());
    match (has_token, has_finish) {
        (true, _) => Event::Token,
        (false, true) => Event::Finish,
        (false, false) => Event::Other,
    }
}

fn has_content(delta: &Map<String, Value>) -> bool {
    delta.iter().any(|(name, value)| {
        let empty = match value {
            Value::Null => true,
            Value::String(text) => text.is_empty(),
            Value::Array(items) => items.is_empty(),
            Value::Object(fields) => fields.is_empty(),
            _ => false,
        };
        name != "role" && !empty
    })
}
