//! State of one rank, as the engine reports it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::forward::{Error, Server};
use crate::orders::decode;

/// Time allowed for a call to the engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer read, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// Answer of the engine to `GET /map`.
#[derive(Clone, Debug, Deserialize)]
pub struct Maps {
    /// Differs after each start of the engine.
    #[serde(default)]
    pub incarnation: u64,
    /// Number that the first rank stamps on its steps.
    pub active: u64,
    /// Number on the newest step that has begun.
    #[serde(default)]
    pub begun: u64,
    /// Numbers of the maps that are loaded.
    pub loaded: Vec<u64>,
}

/// Answer of the engine to `GET /steps`, in totals since its start.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Totals {
    /// Steps that all ranks took.
    pub steps: u64,
    /// Time that this rank spent in them, in microseconds.
    #[serde(default)]
    pub time_us: u64,
    /// Tokens that each expert received.
    #[serde(default)]
    pub expert_tokens: Vec<u64>,
}

impl Totals {
    /// What was added since `earlier`; everything if the engine has restarted.
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

/// Reads the state of the rank and keeps what was reported last.
#[derive(Clone, Debug)]
pub struct Steps {
    server: Server,
    reported: Arc<Mutex<Totals>>,
}

impl Steps {
    /// A reader of the engine behind `server`.
    pub fn new(server: Server) -> Self {
        Steps {
            server,
            reported: Arc::default(),
        }
    }

    /// The maps of the rank, and steps and tokens since the last call.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer or answers something else.
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
        let call = timeout(CALL_TIMEOUT, self.server.exchange(request, MAX_ANSWER));
        let timed_out = |_| Error::Answer(format!("no answer to {path}"));
        let (status, body) = call.await.map_err(timed_out)??;
        if status != StatusCode::OK {
            return Err(Error::Answer(format!("status {status} for {path}")));
        }
        decode(&body)
    }
}
