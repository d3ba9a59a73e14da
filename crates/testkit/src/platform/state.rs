//! State of the fake platform.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use berylgw_platform::{Event, Host, List, Object};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::value::RawValue;
use tokio::sync::watch;

use super::{Calls, Fault, Settings};
use crate::bucket::Bucket;

/// A fake platform; clones share their state.
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
pub(super) struct State {
    settings: Settings,
    pub fault: Fault,
    /// How often watches were silenced; a watch compares it with its start.
    pub silencings: u64,
    revision: u64,
    compacted: u64,
    objects: BTreeMap<(String, String), Object>,
    log: VecDeque<(u64, String, Event)>,
    hosts: BTreeMap<String, Vec<(Instant, Host)>>,
    reads: Bucket,
    writes: Bucket,
    calls: BTreeMap<(String, &'static str), u64>,
    rng: ChaCha8Rng,
}

impl Platform {
    /// An empty platform.
    pub fn new(settings: Settings) -> Self {
        let now = Instant::now();
        let state = State {
            fault: Fault::default(),
            silencings: 0,
            revision: 0,
            compacted: 0,
            objects: BTreeMap::new(),
            log: VecDeque::new(),
            hosts: BTreeMap::new(),
            reads: Bucket::new(settings.reads, now),
            writes: Bucket::new(settings.writes, now),
            calls: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        };
        Platform {
            state: Arc::new(Mutex::new(state)),
            changed: watch::Sender::new(0),
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes all watches, after a write or a change of faults.
    pub(super) fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

impl State {
    pub fn count(&mut self, verb: &'static str, kind: &str) {
        *self.calls.entry((kind.to_owned(), verb)).or_default() += 1;
    }

    pub fn calls(&self) -> Vec<Calls> {
        let counts = self.calls.iter();
        let row = |((kind, verb), count): (&(String, &'static str), &u64)| Calls {
            verb: (*verb).to_owned(),
            kind: kind.clone(),
            count: *count,
        };
        counts.map(row).collect()
    }

    pub fn take(&mut self, write: bool) -> Result<(), Duration> {
        let bucket = if write {
            &mut self.writes
        } else {
            &mut self.reads
        };
        bucket.take(1.0, Instant::now())
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Object> {
        let key = (kind.to_owned(), name.to_owned());
        self.objects.get(&key).cloned()
    }

    pub fn list(&self, kind: &str) -> List {
        let of_kind = self.objects.iter().filter(|((own, _), _)| own == kind);
        List {
            revision: self.revision,
            items: of_kind.map(|(_, object)| object.clone()).collect(),
        }
    }

    /// Writes `value`, or deletes the object if there is none.
    ///
    /// Fails with the current version if it is not `expected`.
    pub fn update(
        &mut self,
        kind: &str,
        name: &str,
        expected: u64,
        value: Option<Box<RawValue>>,
    ) -> Result<u64, u64> {
        let key = (kind.to_owned(), name.to_owned());
        let current = self.objects.get(&key).map_or(0, |object| object.version);
        if current != expected || (value.is_none() && current == 0) {
            return Err(current);
        }
        self.revision += 1;
        let revision = self.revision;
        let name: Arc<str> = name.into();
        let event = match value {
            Some(value) => {
                let object = Object {
                    name,
                    version: revision,
                    value,
                };
                self.objects.insert(key, object.clone());
                Event::Put(object)
            }
            None => {
                self.objects.remove(&key);
                Event::Delete { revision, name }
            }
        };
        self.log.push_back((revision, kind.to_owned(), event));
        while self.log.len() as u64 > self.settings.kept_revisions {
            let dropped = self.log.pop_front();
            self.compacted = dropped.map_or(self.compacted, |(revision, _, _)| revision);
        }
        Ok(revision)
    }

    /// Whether the answer to the update that just took effect gets lost.
    pub fn loses_answer(&mut self) -> bool {
        if self.fault.lose_answers > 0 {
            self.fault.lose_answers -= 1;
            return true;
        }
        let probability = self.fault.lose_probability.clamp(0.0, 1.0);
        probability > 0.0 && self.rng.random_bool(probability)
    }

    /// Current revision and the events of `kind` after `revision`, `None` if
    /// some of them are no longer kept.
    pub fn events(&self, kind: &str, revision: u64) -> Option<(u64, Vec<Event>)> {
        if revision < self.compacted {
            return None;
        }
        let newer = self
            .log
            .iter()
            .filter(|(written, own, _)| *written > revision && own == kind);
        let events = newer.map(|(_, _, event)| event.clone()).collect();
        Some((self.revision, events))
    }

    pub fn put_host(&mut self, host: Host) {
        let visible_at = Instant::now() + self.settings.host_lag;
        let history = self.hosts.entry(host.name.to_string()).or_default();
        history.push((visible_at, host));
    }

    /// Hosts as they were one lag ago.
    pub fn hosts(&mut self) -> Vec<Host> {
        let now = Instant::now();
        let mut visible = Vec::new();
        for history in self.hosts.values_mut() {
            let past = history.iter().filter(|(at, _)| *at <= now).count();
            history.drain(..past.saturating_sub(1));
            if past > 0 {
                visible.push(history[0].1.clone());
            }
        }
        visible
    }
}
