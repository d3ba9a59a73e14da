use std::time::Duration;

use super::observer::DRIFT_DIVISOR;
use super::{Holder, Lease, Observer, Record, Update};
use crate::clock::Instant;

/// Settings of a [`Role`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Identity of this process.
    pub holder: Holder,
    /// Term of the lease.
    pub term: Duration,
    /// Time between platform calls after a failure and between reads of an
    /// object that another process holds.
    pub retry_interval: Duration,
}

/// Input of a [`Role`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A response of the store named this era, or another process told it. The store
    /// counts in it how often it was restored from a copy. To be given before the
    /// response itself.
    Era(u64),
    /// The outstanding [`Action::Write`] has ended.
    Written(Update),
    /// The outstanding [`Action::Read`] has returned the object with its version, or
    /// `None` if it does not exist.
    ReadDone(Option<(u64, Record)>),
    /// The outstanding [`Action::Read`] has failed.
    ReadFailed,
    /// Sets whether this process wants the role; `false` releases it.
    SetWanted(bool),
}

/// Output of a [`Role`], to be carried out by the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the object.
    Read,
    /// Write the object if it still has the version; 0 means it must not exist.
    Write {
        /// Version that the object must have.
        expected: u64,
        /// New value of the object.
        record: Record,
    },
    /// The role is now held, with this fencing token: the era of the store x 2^32 + the
    /// number of the acquisition.
    LeaseAcquired(u64),
    /// The role is no longer held; stop acting before anything else.
    LeaseEnded,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Attempt {
    expected: u64,
    record: Record,
    sent: Instant,
    /// Whether the outcome of an earlier write of the same record is unknown.
    outcome_unknown: bool,
}

/// State machine of one process that competes for a role.
///
/// At most one platform call is outstanding. Events may arrive late: after the
/// deadline [`Role::token`] returns `None` even before the next event.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::lease::{Action, Event, Holder, Role, Settings, Update};
/// use std::time::Duration;
///
/// let mut role = Role::new(Settings {
///     holder: Holder { name: "e1".into(), incarnation: 1 },
///     term: Duration::from_secs(6),
///     retry_interval: Duration::from_millis(500),
/// });
/// let now = Instant::ORIGIN;
/// assert_eq!(role.step(Event::Tick, now), [Action::Read]);
/// role.step(Event::ReadDone(None), now);
/// let actions = role.step(Event::Written(Update::Applied(1)), now);
/// assert_eq!(actions, [Action::LeaseAcquired(1)]);
/// ```
#[derive(Clone, Debug)]
pub struct Role {
    settings: Settings,
    wanted: bool,
    call_outstanding: bool,
    nonce: u64,
    known: Option<(u64, Option<Record>)>,
    observer: Observer,
    lease: Option<Lease>,
    attempt: Option<Attempt>,
    next_call: Instant,
    /// Highest era of the store, `None` if no response has named one.
    era: Option<u64>,
    /// Highest number of an acquisition that was read in this era.
    highest_number: u64,
    /// Whether the outstanding call began before the era was known.
    is_call_outdated: bool,
    /// Whether the process waits for a term after a loss or release.
    rests: bool,
    /// Time before which the role is not acquired.
    compete_at: Instant,
}

impl Role {
    /// Creates a role that is wanted and not held.
    pub fn new(settings: Settings) -> Self {
        Role {
            settings,
            wanted: true,
            call_outstanding: false,
            nonce: 0,
            known: None,
            observer: Observer::default(),
            lease: None,
            attempt: None,
            next_call: Instant::ORIGIN,
            era: None,
            highest_number: 0,
            is_call_outdated: false,
            rests: false,
            compete_at: Instant::ORIGIN,
        }
    }

    /// Makes the process wait for one term after its start at `now`, and after each loss
    /// or release of the role, before it acquires the role. Holders then never act in the
    /// order A, B, A within one term, even if A is another process at the same host.
    pub fn with_rest(mut self, now: Instant) -> Self {
        self.rests = true;
        self.compete_at = now + self.rest();
        self
    }

    /// Returns the fencing token if the role is held at `now`.
    pub fn token(&self, now: Instant) -> Option<u64> {
        Some(self.lease(now)?.token)
    }

    /// Returns the lease, with the fencing token, if the role is held at `now`.
    pub fn lease(&self, now: Instant) -> Option<Lease> {
        let lease = self.lease.filter(|lease| lease.is_valid(now))?;
        let token = self.fencing_token(lease.token);
        Some(Lease { token, ..lease })
    }

    /// Returns the highest era of the store, `None` if no response has named one.
    pub fn era(&self) -> Option<u64> {
        self.era
    }

    /// Returns the time before which the role is not acquired.
    pub fn compete_at(&self) -> Instant {
        self.compete_at
    }

    /// Combines the era of the store and the number of an acquisition. A restored store
    /// gives numbers again.
    fn fencing_token(&self, number: u64) -> u64 {
        (self.current_era() << 32).saturating_add(number)
    }

    fn current_era(&self) -> u64 {
        self.era.unwrap_or(0)
    }

    fn rest(&self) -> Duration {
        self.settings.term + self.settings.term / DRIFT_DIVISOR
    }

    /// Returns when to send the next [`Event::Tick`] unless another event precedes it.
    pub fn wake_at(&self) -> Option<Instant> {
        let deadline = self.lease.map(|lease| lease.deadline());
        if self.call_outstanding {
            return deadline;
        }
        let call_at = match self.lease {
            Some(lease) if self.attempt.is_none() => lease.renew_at().max(self.next_call),
            None if self.attempt.is_none() && !self.wanted => return None,
            _ => self.next_call,
        };
        Some(deadline.map_or(call_at, |deadline| deadline.min(call_at)))
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            Event::Tick => {}
            Event::Era(era) => self.see_era(era, now, &mut actions),
            Event::Written(_) | Event::ReadDone(_) | Event::ReadFailed if self.is_call_outdated => {
                self.is_call_outdated = false;
                self.call_outstanding = false;
            }
            Event::SetWanted(wanted) => self.want(wanted, now),
            Event::Written(update) => self.written(update, now, &mut actions),
            Event::ReadDone(object) => self.read_done(object, now, &mut actions),
            Event::ReadFailed => {
                self.call_outstanding = false;
                self.next_call = now + self.settings.retry_interval;
            }
        }
        self.start_call(now, &mut actions);
        actions
    }

    fn want(&mut self, wanted: bool, now: Instant) {
        self.wanted = wanted;
        self.next_call = now;
    }

    /// Stops in a new era of the store. What is known of the object, and a call that is
    /// outstanding, belong to the former era: a restored store gives revisions again, so
    /// that it may accept an update for a stale one. The holder before the restore, or
    /// of writes that the copy lacks, may act until its term is over.
    fn see_era(&mut self, era: u64, now: Instant, actions: &mut Vec<Action>) {
        if self.era.is_some_and(|known| era <= known) {
            return;
        }
        self.stop(now, actions);
        self.era = Some(era);
        self.highest_number = 0;
        self.attempt = None;
        self.known = None;
        self.observer.reset();
        self.is_call_outdated = self.call_outstanding;
        self.compete_at = self.compete_at.max(now + self.rest());
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.lease.is_some_and(|lease| !lease.is_valid(now)) {
            self.stop(now, actions);
        }
    }

    fn written(&mut self, update: Update, now: Instant, actions: &mut Vec<Action>) {
        self.call_outstanding = false;
        let Some(mut attempt) = self.attempt.take() else {
            return;
        };
        match update {
            Update::Applied(version) => self.applied(attempt, version, now, actions),
            Update::Refused if !attempt.outcome_unknown => {
                self.next_call = now + self.settings.retry_interval;
            }
            Update::Conflict if !attempt.outcome_unknown => {
                self.known = None;
                self.stop(now, actions);
            }
            // A refusal or conflict of a repeated write does not show the outcome of
            // the earlier one.
            Update::Refused | Update::Conflict | Update::Unknown => {
                attempt.outcome_unknown = true;
                self.attempt = Some(attempt);
                self.known = None;
                if update == Update::Refused {
                    self.next_call = now + self.settings.retry_interval;
                }
            }
        }
    }

    fn applied(&mut self, attempt: Attempt, version: u64, now: Instant, actions: &mut Vec<Action>) {
        let record = attempt.record;
        let lease = Lease::new(record.token, attempt.sent, record.term());
        self.observer
            .observe(version, &record, self.current_era(), now);
        let held = self.lease.is_some();
        let released = record.released;
        self.known = Some((version, Some(record)));
        if released || !lease.is_valid(now) {
            return;
        }
        self.lease = Some(lease);
        if !held {
            actions.push(Action::LeaseAcquired(self.fencing_token(lease.token)));
        }
    }

    fn read_done(
        &mut self,
        object: Option<(u64, Record)>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.call_outstanding = false;
        let (version, record) = match object {
            Some((version, record)) => (version, Some(record)),
            None => (0, None),
        };
        if let Some(record) = &record {
            let era = self.current_era();
            self.observer.observe(version, record, era, now);
            self.highest_number = self.highest_number.max(record.token);
        }
        self.known = Some((version, record.clone()));
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if record.is_some_and(|record| record.same_write(&attempt.record)) {
            self.applied(attempt, version, now, actions);
            return;
        }
        if version == attempt.expected && self.may_repeat(&attempt) {
            self.attempt = Some(attempt);
            return;
        }
        if version != attempt.expected {
            self.stop(now, actions);
        }
    }

    fn stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.lease.take().is_none() {
            return;
        }
        if self.rests {
            self.compete_at = self.compete_at.max(now + self.rest());
        }
        actions.push(Action::LeaseEnded);
    }

    // If no lease is held, the record is not repeated: its lease would count its
    // term from the first write, so part of the term would already be over.
    fn may_repeat(&self, attempt: &Attempt) -> bool {
        attempt.record.released || self.lease.is_some()
    }

    /// Starts the platform call that is due, if any.
    fn start_call(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.call_outstanding || now < self.next_call {
            return;
        }
        let Some((version, record)) = self.known.clone() else {
            self.read(actions);
            return;
        };
        if let Some(attempt) = &self.attempt {
            let (expected, record) = (attempt.expected, attempt.record.clone());
            self.write(expected, record, actions);
            return;
        }
        if !self.wanted {
            self.release(version, now, actions);
            return;
        }
        if let Some(lease) = self.lease {
            if lease.renewal_due(now) {
                self.begin(version, lease.token, false, now, actions);
            }
            return;
        }
        // Also higher than in an object that was deleted since.
        let number = record.as_ref().map_or(0, |record| record.token);
        let mut number = number.max(self.highest_number);
        // After a restore, a late write of an earlier era may have replaced a higher
        // number. Versions rise within an era.
        if self.current_era() > 0 {
            number = number.max(version);
        }
        let token = number.saturating_add(1);
        // The lease in the record is an earlier one of this process, which no longer
        // holds it.
        let own_lease = record.is_some_and(|record| {
            record.holder == self.settings.holder && record.era == self.current_era()
        });
        let is_free = version == 0 || own_lease || self.observer.expired(version, now);
        if is_free && now >= self.compete_at {
            self.begin(version, token, false, now, actions);
            return;
        }
        self.read(actions);
        self.next_call = now + self.settings.retry_interval;
    }

    fn release(&mut self, version: u64, now: Instant, actions: &mut Vec<Action>) {
        let Some(lease) = self.lease else {
            return;
        };
        self.stop(now, actions);
        self.begin(version, lease.token, true, now, actions);
    }

    fn begin(
        &mut self,
        expected: u64,
        token: u64,
        released: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.nonce += 1;
        let record = Record {
            holder: self.settings.holder.clone(),
            token,
            nonce: self.nonce,
            term_ms: u64::try_from(self.settings.term.as_millis()).unwrap_or(u64::MAX),
            released,
            era: self.current_era(),
        };
        self.attempt = Some(Attempt {
            expected,
            record: record.clone(),
            sent: now,
            outcome_unknown: false,
        });
        self.write(expected, record, actions);
    }

    fn write(&mut self, expected: u64, record: Record, actions: &mut Vec<Action>) {
        self.call_outstanding = true;
        actions.push(Action::Write { expected, record });
    }

    fn read(&mut self, actions: &mut Vec<Action>) {
        self.call_outstanding = true;
        actions.push(Action::Read);
    }
}
