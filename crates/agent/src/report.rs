//! State of one rank as reported by its engine.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::forward::{Error, ServerClient};
use crate::orders::decode;

/// Timeout of a call to the engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Answer of the engine to `GET /map`.
#[derive(Clone, Debug, Deserialize)]
pub struct Maps {
    /// Differs after each start of the engine.
    #[serde(default)]
    pub incarnation: u64,
    /// Number of the map that the first rank assigns to its steps.
    pub active: u64,
    /// Number of the map of the newest step that has begun.
    #[serde(default)]
    pub begun: u64,
    /// Numbers of the maps that are loaded.
    pub loaded: Vec<u64>,
}

/// Answer of the engine to `GET /steps`, in totals since its start.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Totals {
    /// Steps that all ranks executed.
    pub steps: u64,
    /// Time that this rank spent in them, in microseconds.
    #[serde(default)]
    pub time_us: u64,
    /// Tokens that each expert received.
    #[serde(default)]
    pub expert_tokens: Vec<u64>,
}

impl Totals {
    /// Returns the increase since `earlier`, or the totals themselves if the
    /// engine has restarted.
    fn since(&self, earlier: &Totals) -> Totals {
        if self.steps < earlier.steps || self.expert_tokens.len() != earlier.expert_tokens.len() {
            return self.clone();
        }
        let tokens = self.expert_tokens.iter().zip(&earlier.expert_tokens);
        Totals {
            steps: self.steps - earlier.steps,
            time_us: self.time_us.saturating_sub(earlier.time_us),
            expert_tokens: tokens.map(|(new, old)| new.saturating_sub(*old)).collect(),
        }
    }
}

/// Reads the state of the rank and retains the last reported totals.
#[derive(Clone, Debug)]
pub struct Reader {
    server: ServerClient,
    reported: Arc<Mutex<Totals>>,
}

impl Reader {
    /// Creates a reader for the engine behind `server`.
    pub fn new(server: ServerClient) -> Self {
        Reader {
            server,
            reported: Arc::default(),
        }
    }

    /// Returns the maps of the rank, and the steps and tokens since the last
    /// call.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer or its answer is malformed.
    pub async fn read(&self) -> Result<(Maps, Totals), Error> {
        let maps: Maps = self.get("/map").await?;
        let totals: Totals = self.get("/steps").await?;
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        let added = totals.since(&reported);
        *reported = totals;
        Ok((maps, added))
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let request = self.server.request(Method::GET, path, Bytes::new())?;
        let call = timeout(
            CALL_TIMEOUT,
            self.server.exchange(request, MAX_ANSWER_BYTES),
        );
        let timed_out = |_| Error::Answer(format!("no answer to {path} within {CALL_TIMEOUT:?}"));
        let (status, body) = call.await.map_err(timed_out)??;
        if status != StatusCode::OK {
            return Err(Error::Answer(format!("status {status} for {path}")));
        }
        decode(&body)
    }
}
