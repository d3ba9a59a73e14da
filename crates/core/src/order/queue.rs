use std::collections::VecDeque;
use std::time::Duration;

use super::{Id, Order, Progress, Report, Subject};
use crate::clock::Instant;

/// Number of ended orders kept to answer senders that repeat them.
const MAX_ENDED: usize = 64;

/// Settings of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Whether the engine refuses orders with an old fencing token.
    pub fencing: bool,
    /// Longest time from posting an order to its end at the engine.
    pub max_order_time: Duration,
    /// Time between two reads of the engine's orders.
    pub poll_interval: Duration,
    /// Largest number of waiting orders.
    pub capacity: usize,
}

/// Outcome of a post, as known to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Post {
    /// The engine has the order.
    Accepted,
    /// The engine has accepted this newer token.
    Stale(u64),
    /// The engine does not understand the order.
    Rejected,
    /// No response; the order may still arrive later.
    Unknown,
}

/// Input of a [`Queue`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// An order arrived from a role holder.
    Submit(Order),
    /// The outstanding [`Task::Post`] has ended.
    Posted(Post),
    /// The outstanding [`Task::Read`] has returned a report, or `None` on failure.
    Read(Option<Report>),
}

/// Output of a [`Queue`], to be carried out by the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// Post the order to the engine.
    Post(Order),
    /// Read the engine's orders.
    Read,
    /// Send the outcome to all callers that wait for the order.
    Answer(Id, Outcome),
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine carried it out.
    Done,
    /// This newer token was observed; the order was not carried out.
    Stale(u64),
    /// An order derived from this newer object version was submitted; this one was
    /// not carried out.
    Superseded(u64),
    /// The queue is full; the order was not carried out.
    Full,
    /// The id was used for another order; this one was not carried out.
    Reused,
    /// The engine rejected the order or finished it without effect.
    Failed,
    /// The order may have been carried out or may still be.
    Unknown,
}

#[derive(Clone, Debug)]
struct Current {
    order: Order,
    deadline: Instant,
    /// Whether the next call is a post instead of a read.
    post: bool,
    /// Whether a post got no response.
    outcome_unknown: bool,
}

/// Queue of the orders to one engine, kept by its agent.
///
/// At most one call to the engine is outstanding.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::order::{Action, Event, Id, Queue, Order, Report, Settings, Task};
/// use std::time::Duration;
///
/// let start = Instant::ORIGIN;
/// let mut queue = Queue::new(Settings {
///     fencing: true,
///     max_order_time: Duration::from_secs(1),
///     poll_interval: Duration::from_millis(50),
///     capacity: 8,
/// }, start);
/// assert_eq!(queue.step(Event::Tick, start), [Task::Read]);
/// queue.step(Event::Read(Some(Report::default())), start);
/// let order = Order {
///     id: Id { token: 1, sequence: 1 },
///     version: 40,
///     action: Action::UnloadMap { map: 7.into() },
/// };
/// assert!(queue.step(Event::Submit(order.clone()), start).is_empty());
/// let later = start + Duration::from_secs(1);
/// assert_eq!(queue.step(Event::Tick, later), [Task::Post(order)]);
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    settings: Settings,
    newest_token: u64,
    /// Newest object version of each subject, sorted by subject.
    versions: Vec<(Subject, u64)>,
    waiting: VecDeque<Order>,
    current: Option<Current>,
    ended: VecDeque<(Order, Outcome)>,
    /// Whether the engine has been read and runs no order of an earlier incarnation
    /// of the agent.
    recovered: bool,
    call_outstanding: bool,
    next_call: Instant,
    /// Time before which no new order is posted.
    no_post_before: Instant,
}

impl Queue {
    /// Creates the queue of an agent that starts at `now`.
    ///
    /// Posts are delayed because an order of an earlier incarnation may still be in
    /// transit.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Queue {
            settings,
            newest_token: 0,
            versions: Vec::new(),
            waiting: VecDeque::new(),
            current: None,
            ended: VecDeque::new(),
            recovered: false,
            call_outstanding: false,
            next_call: now,
            no_post_before: now + settings.max_order_time,
        }
    }

    /// Replaces the settings. The deadline of a posted order does not change.
    pub fn set(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Returns when to send the next [`Event::Tick`] unless another event precedes it.
    pub fn wake_at(&self) -> Option<Instant> {
        if self.call_outstanding {
            return None;
        }
        if !self.recovered || self.current.is_some() {
            return Some(self.next_call);
        }
        let waits = !self.waiting.is_empty();
        waits.then(|| self.next_call.max(self.no_post_before))
    }

    /// Handles an event and returns the tasks to carry out, in order.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Task> {
        let mut tasks = Vec::new();
        match event {
            Event::Tick => {}
            Event::Submit(order) => self.submit(order, now, &mut tasks),
            Event::Posted(post) => self.posted(post, now, &mut tasks),
            Event::Read(report) => self.read(report, now, &mut tasks),
        }
        self.start_call(now, &mut tasks);
        tasks
    }

    fn submit(&mut self, order: Order, now: Instant, tasks: &mut Vec<Task>) {
        let id = order.id;
        if let Some((known, outcome)) = self.find(id) {
            if *known != order {
                tasks.push(Task::Answer(id, Outcome::Reused));
            } else if let Some(outcome) = outcome {
                tasks.push(Task::Answer(id, outcome));
            }
            return;
        }
        if let Some(outcome) = self.refusal(&order) {
            tasks.push(Task::Answer(id, outcome));
            return;
        }
        if id.token > self.newest_token {
            self.raise_token(id.token, tasks);
            if !self.settings.fencing {
                // An order of the former holder may still be in transit.
                self.no_post_before = self.no_post_before.max(now + self.settings.max_order_time);
            }
        }
        self.supersede(order.action.subject(), order.version, tasks);
        self.waiting.push_back(order);
    }

    /// Returns the order with this id, and its outcome if it has ended.
    fn find(&self, id: Id) -> Option<(&Order, Option<Outcome>)> {
        let current = self.current.iter().map(|current| (&current.order, None));
        let waiting = self.waiting.iter().map(|order| (order, None));
        let ended = self.ended.iter();
        let ended = ended.map(|(order, outcome)| (order, Some(*outcome)));
        { current.chain(waiting).chain(ended) }.find(|(order, _)| order.id == id)
    }

    fn refusal(&self, order: &Order) -> Option<Outcome> {
        if order.id.token < self.newest_token {
            return Some(Outcome::Stale(self.newest_token));
        }
        let newest = self.version(order.action.subject());
        if order.version < newest {
            return Some(Outcome::Superseded(newest));
        }
        (self.waiting.len() >= self.settings.capacity).then_some(Outcome::Full)
    }

    fn version(&self, subject: Subject) -> u64 {
        let found = self.versions.iter().find(|(known, _)| *known == subject);
        found.map_or(0, |(_, version)| *version)
    }

    /// Raises the newest token and refuses waiting orders with older ones.
    fn raise_token(&mut self, token: u64, tasks: &mut Vec<Task>) {
        if token <= self.newest_token {
            return;
        }
        self.newest_token = token;
        self.refuse(|order| order.id.token < token, Outcome::Stale(token), tasks);
    }

    /// Records the object version of a subject and refuses waiting orders for it that
    /// are derived from older versions.
    fn supersede(&mut self, subject: Subject, version: u64, tasks: &mut Vec<Task>) {
        match self
            .versions
            .binary_search_by_key(&subject, |known| known.0)
        {
            Ok(index) => self.versions[index].1 = version,
            Err(index) => self.versions.insert(index, (subject, version)),
        }
        let older = |order: &Order| order.action.subject() == subject && order.version < version;
        self.refuse(older, Outcome::Superseded(version), tasks);
    }

    fn refuse(&mut self, old: impl Fn(&Order) -> bool, outcome: Outcome, tasks: &mut Vec<Task>) {
        let refused = self.waiting.iter().filter(|order| old(order));
        tasks.extend(refused.map(|order| Task::Answer(order.id, outcome)));
        self.waiting.retain(|order| !old(order));
    }

    fn posted(&mut self, post: Post, now: Instant, tasks: &mut Vec<Task>) {
        self.call_outstanding = false;
        let Some(current) = &mut self.current else {
            return;
        };
        current.post = false;
        self.next_call = now;
        match post {
            Post::Accepted => self.next_call = now + self.settings.poll_interval,
            Post::Unknown => current.outcome_unknown = true,
            // A stale token refuses only the repeated post; an earlier post may have been
            // accepted.
            Post::Stale(token) => {
                let outcome_unknown = current.outcome_unknown;
                self.raise_token(token, tasks);
                if !outcome_unknown {
                    self.end(Outcome::Stale(token), tasks);
                }
            }
            Post::Rejected => self.end(Outcome::Failed, tasks),
        }
    }

    fn read(&mut self, report: Option<Report>, now: Instant, tasks: &mut Vec<Task>) {
        self.call_outstanding = false;
        self.next_call = now + self.settings.poll_interval;
        let Some(report) = report else {
            return;
        };
        self.raise_token(report.newest_token(), tasks);
        if !self.recovered {
            self.recovered = !report.running();
            return;
        }
        let Some(current) = &mut self.current else {
            return;
        };
        match report.progress(current.order.id) {
            Some(Progress::Done) => self.end(Outcome::Done, tasks),
            Some(Progress::Failed) => self.end(Outcome::Failed, tasks),
            Some(Progress::Running) => {}
            None if self.settings.fencing && report.token > current.order.id.token => {
                // The engine will refuse an earlier post that is still in transit.
                self.end(Outcome::Stale(report.token), tasks);
            }
            None if now < current.deadline && current.order.id.token >= self.newest_token => {
                current.post = true;
            }
            None => {
                self.no_post_before = self.no_post_before.max(now + self.settings.max_order_time);
                self.end(Outcome::Unknown, tasks);
            }
        }
    }

    fn end(&mut self, outcome: Outcome, tasks: &mut Vec<Task>) {
        let Some(current) = self.current.take() else {
            return;
        };
        tasks.push(Task::Answer(current.order.id, outcome));
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back((current.order, outcome));
    }

    /// Starts the engine call that is due, if any.
    fn start_call(&mut self, now: Instant, tasks: &mut Vec<Task>) {
        if self.call_outstanding {
            return;
        }
        if self.recovered && self.current.is_none() {
            self.begin(now, tasks);
            return;
        }
        if now < self.next_call {
            return;
        }
        self.call_outstanding = true;
        let repeat = self.current.as_ref().filter(|current| current.post);
        let task = match repeat {
            Some(current) => Task::Post(current.order.clone()),
            None => Task::Read,
        };
        tasks.push(task);
    }

    fn begin(&mut self, now: Instant, tasks: &mut Vec<Task>) {
        if now < self.no_post_before {
            return;
        }
        let Some(order) = self.waiting.pop_front() else {
            return;
        };
        self.call_outstanding = true;
        tasks.push(Task::Post(order.clone()));
        self.current = Some(Current {
            order,
            deadline: now + self.settings.max_order_time,
            post: false,
            outcome_unknown: false,
        });
    }
}
