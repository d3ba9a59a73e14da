use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::lease::{self, Action, Event, Record, Update};
use berylgw_runtime::clock::uptime;
use tokio::sync::watch;

use super::{Answer, Reply, Shared, Subject, Tenure, Write};
use crate::entry::Status;
use crate::peer::Role;

/// Longest time between two looks at what concerns the lease, such as a new era that
/// another task has seen.
const TICK: Duration = Duration::from_millis(50);

/// Time between two reads of a lease that another entry holds. After a release, the
/// next holder takes over within a second.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two log lines about failed calls.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Result of a store call, for the state machine.
type Outstanding = Reply<(Option<u64>, Event)>;

struct Task {
    shared: Arc<Shared>,
    role: lease::Role,
    outstanding: Option<Outstanding>,
    /// Time since the last response of the store about the lease, for the log.
    answered: Instant,
    logged: Option<Instant>,
    /// Holder and token in the object that was read last.
    seen: Option<(Arc<str>, u64)>,
    is_wanted: bool,
}

/// Competes for the lease and renews it; never returns.
pub async fn run(
    shared: Arc<Shared>,
    observing: watch::Receiver<Role>,
    status: watch::Receiver<Arc<Status>>,
) {
    let now = uptime();
    let settings = lease::Settings {
        holder: lease::Holder {
            name: shared.settings.host.clone(),
            // Numbers of writes are unique within one run of this task.
            // A store that reads numbers as floating point keeps 53 bits.
            incarnation: rand::random::<u64>() >> 11,
        },
        term: shared.settings.duties.lease(),
        retry_interval: READ_INTERVAL,
    };
    shared.set_tenure(None);
    shared.office.end();
    let mut task = Task {
        shared,
        role: lease::Role::new(settings).with_rest(now),
        outstanding: None,
        answered: now,
        logged: None,
        seen: None,
        is_wanted: true,
    };
    loop {
        let wake = task.role.wake_at();
        let wait = wake.map_or(TICK, |wake| wake.since(uptime()).min(TICK));
        let answer = match &mut task.outstanding {
            Some(call) => tokio::time::timeout(wait, call).await.ok(),
            None => {
                tokio::time::sleep(wait).await;
                None
            }
        };
        let is_leaving = status.borrow().leaving;
        let is_observing = observing.borrow().observing;
        task.update_wanted(is_leaving, is_observing);
        match answer {
            Some((era, event)) => {
                task.outstanding = None;
                task.answer(era, event);
            }
            None => task.step(Event::Tick),
        }
    }
}

impl Task {
    /// Feeds the result of a store call.
    fn answer(&mut self, era: Option<u64>, event: Event) {
        let now = uptime();
        let Some(era) = era else {
            self.log_failure(now);
            self.step(event);
            return;
        };
        self.answered = now;
        // An answer of an earlier era says nothing about the object now.
        let event = match self.role.era().is_some_and(|known| era < known) {
            true if matches!(event, Event::Written(_)) => Event::Written(Update::Unknown),
            true => Event::ReadFailed,
            false => event,
        };
        self.step(Event::Era(era));
        if let Event::ReadDone(Some((_, record))) = &event {
            self.log_holder(record);
        }
        self.step(event);
    }

    fn log_holder(&mut self, record: &Record) {
        let seen = Some((record.holder.name.clone(), record.token));
        if self.seen == seen {
            return;
        }
        let Record { holder, token, .. } = record;
        let (era, released) = (self.role.era(), record.released);
        tracing::info!(
            holder = &*holder.name,
            number = token,
            era,
            released,
            "lease of the duties read"
        );
        self.seen = seen;
    }

    fn log_failure(&mut self, now: Instant) {
        if self.logged.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        self.logged = Some(now);
        let answer_age_ms = now.since(self.answered).as_millis() as u64;
        let lease_left_ms = self.left_ms(now);
        tracing::warn!(
            answer_age_ms,
            lease_left_ms,
            "store call about the lease of the duties had no response"
        );
    }

    fn left_ms(&self, now: Instant) -> Option<u64> {
        let lease = self.role.lease(now)?;
        Some(lease.deadline().since(now).as_millis() as u64)
    }

    /// Decides whether this entry wants the lease. It is released only between two calls
    /// to the interface.
    fn update_wanted(&mut self, is_leaving: bool, is_observing: bool) {
        let shared = self.shared.clone();
        let is_held = self.role.lease(uptime()).is_some();
        if !is_held && !is_leaving {
            shared.makes_way.store(false, Ordering::Relaxed);
        }
        let makes_way = shared.makes_way.load(Ordering::Relaxed);
        let closes = is_leaving || makes_way;
        shared.is_closing.store(closes, Ordering::Relaxed);
        if closes && is_held && shared.calling.try_lock().is_err() {
            return;
        }
        // A holder keeps the lease when it is no longer an observer.
        let is_wanted = !closes && (is_observing || is_held);
        if is_wanted == self.is_wanted {
            return;
        }
        self.is_wanted = is_wanted;
        if is_held {
            tracing::info!(is_leaving, makes_way, "lease of the duties released");
        }
        self.step(Event::SetWanted(is_wanted));
    }

    fn step(&mut self, event: Event) {
        let era = (self.shared.calls.era)();
        if self.role.era().is_some_and(|known| era > known) {
            self.feed(Event::Era(era));
        }
        self.feed(event);
    }

    fn feed(&mut self, event: Event) {
        let now = uptime();
        let era_before = self.role.era();
        let is_restore =
            matches!(event, Event::Era(era) if era_before.is_some_and(|known| era > known));
        if is_restore {
            let wait_ms = self.shared.settings.duties.lease_ms;
            tracing::warn!(
                era_before,
                wait_ms,
                "store came back from a copy; the lease of the duties rests"
            );
        }
        let actions = self.role.step(event, now);
        // Before anything else: the other tasks act only under this.
        let lease = self.role.lease(now);
        let era = self.role.era().unwrap_or(0);
        let tenure = lease.map(|lease| Tenure { lease, era });
        self.shared.set_tenure(tenure);
        for action in actions {
            match action {
                Action::Read => self.outstanding = Some(self.read()),
                Action::Write { expected, record } => {
                    self.outstanding = Some(self.write(expected, &record));
                }
                Action::LeaseAcquired(token) => {
                    tracing::info!(
                        token,
                        era,
                        lease_left_ms = self.left_ms(now),
                        "lease of the duties acquired"
                    );
                    self.shared.metrics.set_holder(Some(token));
                }
                Action::LeaseEnded => {
                    self.shared.office.end();
                    self.shared.metrics.set_holder(None);
                    let answer_age_ms = now.since(self.answered).as_millis() as u64;
                    tracing::warn!(
                        era,
                        answer_age_ms,
                        is_restore,
                        wanted = self.is_wanted,
                        "lease of the duties ended"
                    );
                }
            }
        }
    }

    fn read(&self) -> Outstanding {
        let reading = (self.shared.calls.read)(Subject::Lease);
        let term_ms = self.shared.settings.duties.lease_ms;
        Box::pin(async move {
            let Answer { era, value } = reading.await;
            let event = match value {
                Ok(None) => Event::ReadDone(None),
                Ok(Some((revision, value))) => {
                    Event::ReadDone(Some((revision, decode(value, term_ms))))
                }
                Err(error) => {
                    tracing::debug!(%error, "reading the lease of the duties failed");
                    Event::ReadFailed
                }
            };
            (era, event)
        })
    }

    fn write(&self, expected: u64, record: &Record) -> Outstanding {
        let value = serde_json::to_value(record).unwrap_or_default();
        let writing = (self.shared.calls.write)(Write {
            subject: Subject::Lease,
            expected,
            value,
        });
        Box::pin(async move {
            let Answer { era, value } = writing.await;
            (era, Event::Written(value))
        })
    }
}

/// Reads a lease. A malformed one may stand for a holder that still acts, so it is taken
/// over after a term like that of an unknown holder.
fn decode(value: serde_json::Value, term_ms: u64) -> Record {
    match serde_json::from_value(value) {
        Ok(record) => record,
        Err(error) => {
            tracing::error!(%error, "lease of the duties is malformed; waiting for a term");
            Record {
                holder: lease::Holder {
                    name: "unknown".into(),
                    incarnation: 0,
                },
                token: 0,
                nonce: 0,
                term_ms,
                released: false,
                era: 0,
            }
        }
    }
}
