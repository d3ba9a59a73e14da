//! Lease of a rank group.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use berylgw_core::lease::{self, Action, Event, Holder, Record, Update};
use berylgw_platform::{Client, Update as Put};
use tokio::time::sleep;

use super::is_candidate;
use crate::settings::Groups;
use crate::shared::Shared;

const KIND: &str = "lease";

/// Shortest pause between two steps.
const MIN_PAUSE: Duration = Duration::from_millis(5);

/// Longest interval between checks whether this entry is a candidate.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Participation of this entry in the lease of a group.
pub struct Role {
    shared: Arc<Shared>,
    group: Arc<str>,
    object: String,
    role: Mutex<lease::Role>,
}

impl Role {
    /// Creates a role that is not held.
    pub fn new(shared: &Arc<Shared>, settings: &Groups, group: Arc<str>) -> Self {
        let term = Duration::from_millis(settings.term_ms);
        let settings = lease::Settings {
            holder: Holder {
                name: shared.settings.name.clone(),
                incarnation: shared.incarnation,
            },
            term,
            retry_interval: term / 6,
        };
        Role {
            shared: shared.clone(),
            object: format!("group.{group}"),
            group,
            role: Mutex::new(lease::Role::new(settings)),
        }
    }

    /// Returns the fencing token while the role is held.
    pub fn token(&self) -> Option<u64> {
        self.lock().token(self.shared.now())
    }

    /// Acquires and renews the lease while this entry is a candidate.
    pub async fn hold(&self, client: &Client) {
        let mut wanted = true;
        loop {
            let wants = self.wants();
            let event = if wants == wanted {
                Event::Tick
            } else {
                Event::SetWanted(wants)
            };
            wanted = wants;
            self.step(event, client).await;
            sleep(self.pause()).await;
        }
    }

    fn wants(&self) -> bool {
        let leaving = *self.shared.stopping.borrow();
        !leaving
            && is_candidate(
                &self.shared.current(),
                &self.shared.settings.name,
                &self.group,
            )
    }

    fn pause(&self) -> Duration {
        let wake_at = self.lock().wake_at();
        let pause = wake_at.map(|at| self.shared.clock.until(at));
        let pause = pause.unwrap_or(CHECK_INTERVAL);
        pause.clamp(MIN_PAUSE, CHECK_INTERVAL)
    }

    /// Processes an event and carries out the resulting actions, including calls
    /// and the events of their answers.
    async fn step(&self, event: Event, client: &Client) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let actions = self.lock().step(event, self.shared.now());
            for action in actions {
                match action {
                    Action::Read => next = Some(self.read(client).await),
                    Action::Write { expected, record } => {
                        next = Some(self.write(client, expected, &record).await);
                    }
                    Action::LeaseAcquired(token) => {
                        tracing::info!(group = %self.group, token, "group controller started");
                    }
                    Action::LeaseEnded => {
                        tracing::info!(group = %self.group, "group controller stopped");
                    }
                }
            }
        }
    }

    async fn read(&self, client: &Client) -> Event {
        let found = match client.get(KIND, &self.object).await {
            Ok(found) => found,
            Err(error) => {
                tracing::debug!(%error, "lease not read");
                return Event::ReadFailed;
            }
        };
        let Some(object) = found else {
            return Event::ReadDone(None);
        };
        match serde_json::from_str::<Record>(object.value.get()) {
            Ok(record) => Event::ReadDone(Some((object.version, record))),
            Err(error) => {
                tracing::error!(%error, object = self.object, "lease not readable");
                Event::ReadFailed
            }
        }
    }

    async fn write(&self, client: &Client, expected: u64, record: &Record) -> Event {
        let update = match client.put(KIND, &self.object, expected, record).await {
            Put::Applied(version) => Update::Applied(version),
            Put::Conflict(_) => Update::Conflict,
            Put::Refused(_) => Update::Refused,
            Put::Unknown(_) => Update::Unknown,
        };
        Event::Written(update)
    }

    fn lock(&self) -> MutexGuard<'_, lease::Role> {
        self.role.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
