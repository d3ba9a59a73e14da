//! Event stream of one kind.

use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::error::{Error, Kind, Result};
use crate::object::Event;

/// Time without data after which a watch fails. The platform sends a heartbeat
/// every second.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Open watch of one kind.
#[derive(Debug)]
pub struct Watch {
    path: String,
    body: Incoming,
    buffer: BytesMut,
}

impl Watch {
    pub(crate) fn new(path: String, body: Incoming) -> Self {
        Watch {
            path,
            body,
            buffer: BytesMut::new(),
        }
    }

    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends, if no data arrives for three seconds or if an
    /// event is malformed. To continue, open a new watch from the last revision
    /// received.
    pub async fn next(&mut self) -> Result<Event> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return serde_json::from_slice(&line)
                    .map_err(|error| Error::new(Kind::Protocol, &self.path, error));
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<()> {
        let broken = |message: String| Error::new(Kind::NoAnswer, &self.path, message);
        let frame = tokio::time::timeout(SILENCE_LIMIT, self.body.frame())
            .await
            .map_err(|_| broken(format!("no data for {SILENCE_LIMIT:?}")))?
            .ok_or_else(|| broken("connection closed".to_owned()))?
            .map_err(|error| broken(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            self.buffer.extend_from_slice(&data);
        }
        Ok(())
    }
}
