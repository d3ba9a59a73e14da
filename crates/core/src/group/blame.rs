//! Search for the part of a request that crashes servers.
//!
//! Load pattern: requests that share a part, such as a prompt prefix, crash every
//! server that begins to answer them. No two of these requests are alike, sound
//! ones share their other parts, and servers crash for other reasons too. Each
//! entry sees only its own requests.
//!
//! A crash makes suspects of the parts of those requests that the server had not
//! answered. A complete answer clears its parts, its beginning does not: servers crash
//! some time after they begin to write. A part that was never answered is quarantined
//! after its first crash: if it is sound, it is so rare that few requests hold it.
//! Parts that were answered before need three crashes, and answers to other requests
//! meanwhile. Entries exchange their crashes, and merge those that they have both seen.
//!
//! Of the streams that a server writes, the last one that it began is the likeliest
//! cause, whatever the time since. Only what that one holds is suspected like a request
//! without any answer; what earlier ones hold counts like parts answered before.
//!
//! A whole request that comes again is quarantined once two servers crashed under
//! it. It has suspects in common with others that crash the same servers, so it need
//! not be the only one: a quarantine that is wrong costs a single request, a server
//! that crashes costs all of its requests. After one crash it is sent again by one
//! entry at a time, and never to the last server that runs.
//!
//! A whole request may also crash its server when others have begun after it. All
//! streams that a server writes as it crashes are remembered, in any order. One that was
//! under way at nearly all crashes since its first one, at different servers, is their
//! cause: the others are answered, or were under way at one or two. A sound request meets
//! several crashes by chance only if most crashes miss it, as in a rolling restart.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;

/// Marks the digest of a whole request, which shares the blame with other whole
/// requests only.
const WHOLE: u64 = 1 << 63;

/// Time within which crashes of servers of a service count as one. The ranks of a
/// group and the hosts of a failure domain fail together.
const SAME_CRASH: Duration = Duration::from_millis(500);

/// Time for which a crash is remembered, and the longest quarantine.
const MEMORY: Duration = Duration::from_secs(600);

/// Last part of [`MEMORY`] in which a crash is not taken over from others. An entry that
/// has forgotten it would else hear it back from one that heard it a little later, with
/// an age that lacks the time on the way, and so on without end.
const FORGETTING: Duration = Duration::from_secs(10);

/// Quarantine after the first crash; it doubles with each further one, so that a
/// part that still crashes servers is tried more and more rarely.
const QUARANTINE: Duration = Duration::from_secs(30);

/// Servers that crash at the same time from which on the cause is a part of requests
/// to several of them, or none.
const MANY_SERVERS: usize = 3;

/// Servers that crash at the same time of which each is remembered.
const MAX_SAME_TIME: usize = 8;

/// Crashes after which the only suspect of all of them is quarantined if it was
/// never answered: a part in a fleet that has just started.
const SUSPECT_CRASHES: u32 = 2;

/// Servers that crashed under a whole request which was never answered, from which
/// on it is quarantined.
const WHOLE_CRASHES: u32 = 2;

/// Crashes from which on a whole request that was under way at them may be their cause. A
/// request that moves to another one of eight servers at each crash meets four more in a
/// row once in 2,401 times.
const RECURRENT_CRASHES: usize = 5;

/// Shortest time between two crashes at which the same request was under way that counts
/// them as two. Servers that lose power together crash at once, while a request that is
/// resumed is under way at the second one only after the first has crashed.
const RESUMED_APART: Duration = Duration::from_millis(20);

/// Longest time by which a crash that another entry tells seems later than it was: its age
/// lacks the time for which the datagram was under way.
const TOLD_LATE: Duration = Duration::from_secs(2);

/// Number of these crashes for each server that crashed without the request meanwhile.
const CRASHES_BY_MISS: usize = 4;

/// Answers that an entry has seen from which on a part that it has not seen is rare.
const MANY_ANSWERS: u64 = 20;

/// Crashes after which every suspect of all of them is quarantined, if others were
/// answered meanwhile.
const CERTAIN_CRASHES: u32 = 3;

/// Answers to other requests which show that the service runs, and that a suspect
/// would have been answered.
const MIN_ANSWERS: u32 = 5;

/// Crashes that are remembered.
const MAX_CRASHES: usize = 64;

/// Suspects of one crash that are remembered, of those answered before and of the
/// others.
const MAX_SUSPECTS: usize = 32;

/// Whole requests that are remembered as under way at one crash.
const MAX_UNDER_WAY: usize = 32;

/// Suspects of one crash that are remembered as cleared: all of them may be.
const MAX_CLEARED: usize = 2 * MAX_SUSPECTS + MAX_UNDER_WAY;

/// Parts whose last answer is remembered.
const MAX_ANSWERED: usize = 2_048;

/// Whole requests whose last answer is remembered. Those that come often are among
/// the newest.
const MAX_ANSWERED_WHOLES: usize = 512;

/// Trials of suspects that are remembered.
const MAX_TRIALS: usize = 64;

/// Crashes in one report; several reports cover all.
const MAX_REPORTED: usize = 8;

/// Time for which a change is reported more often than the rest.
const NEWS: Duration = Duration::from_secs(1);

/// Digests of what a request holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content {
    digests: Arc<[u64]>,
}

impl Content {
    /// Creates the content of a request from the digests of the parts that it may
    /// share with others, and of the request as a whole.
    pub fn new(parts: impl IntoIterator<Item = u64>, whole: u64) -> Self {
        let parts = parts.into_iter().map(|part| part & !WHOLE);
        let mut digests: Vec<u64> = parts.chain([whole | WHOLE]).collect();
        digests.sort_unstable();
        digests.dedup();
        Content {
            digests: digests.into(),
        }
    }

    /// Returns the digests of the parts and of the whole.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// Returns the digest of the request as a whole.
    pub fn whole(&self) -> u64 {
        // The mark is the highest bit, so that it is the last one.
        self.digests.last().copied().unwrap_or(WHOLE)
    }
}

/// A stream that a server writes, as known to its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stream(u64);

/// What is known of a [`Stream`].
#[derive(Clone, Debug)]
struct Writing {
    stream: Stream,
    service: u32,
    server: u32,
    content: Content,
    /// When its server crashed.
    broken: Option<Time>,
}

/// A crash of a server, as known to one or more entries. All lists are sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Crash {
    /// Digest of the service.
    pub service: u32,
    /// Digest of the server.
    pub server: u32,
    /// Time since the crash.
    pub age: Duration,
    /// Whether an entry that has seen many answers has added what it knows.
    pub confirmed: bool,
    /// Suspects that were never answered before.
    pub unanswered: Vec<u64>,
    /// Suspects that were answered before.
    pub answered: Vec<u64>,
    /// Suspects that were answered after the crash.
    pub cleared: Vec<u64>,
    /// Whole requests whose streams the server wrote, whatever their order.
    pub under_way: Vec<u64>,
}

impl Crash {
    /// Returns the suspects of the kind of `digest` that were answered neither before
    /// nor after the crash, as far as any entry has seen.
    fn prime_suspects(&self, digest: u64) -> Vec<u64> {
        let of_kind = |other: &&u64| (**other ^ digest) & WHOLE == 0;
        let prime = self.unanswered.iter().filter(of_kind);
        let prime = prime.filter(|other| self.is_prime_suspect(**other));
        prime.copied().collect()
    }

    fn is_prime_suspect(&self, digest: u64) -> bool {
        let seen = contains(&self.answered, digest) || contains(&self.cleared, digest);
        contains(&self.unanswered, digest) && !seen
    }

    fn is_suspect(&self, digest: u64) -> bool {
        contains(&self.unanswered, digest) || contains(&self.answered, digest)
    }

    /// Returns whether a request with the digest was at the server, and is not known to
    /// have been answered since.
    fn may_involve(&self, digest: u64) -> bool {
        let involved = self.is_suspect(digest) || contains(&self.under_way, digest);
        involved && !contains(&self.cleared, digest)
    }

    /// Returns the whole requests that the crash may involve.
    fn involved(&self) -> impl Iterator<Item = u64> {
        let digests = self.under_way.iter().chain(&self.unanswered);
        let wholes = digests.copied().filter(|digest| digest & WHOLE != 0);
        wholes.filter(|digest| self.may_involve(*digest))
    }

    /// Returns whether the crash remembers all requests that it involves.
    fn is_complete(&self) -> bool {
        self.under_way.len() < MAX_UNDER_WAY
    }
}

/// A time counted from [`MEMORY`] before the origin of the process, so that crashes
/// before its start have one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Time(Instant);

impl Time {
    fn ago(now: Instant, age: Duration) -> Self {
        Time(now + MEMORY.saturating_sub(age))
    }

    fn since(self, earlier: Time) -> Duration {
        self.0.since(earlier.0)
    }
}

/// A crash and what this entry has seen since.
#[derive(Clone, Debug)]
struct Known {
    at: Time,
    /// Answers since.
    answers: u32,
    /// The crash; its `age` is not used.
    crash: Crash,
}

/// The place of an entry in the order in which the entries of a fleet may send a
/// suspect again.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// Position of the entry, below `entries`.
    pub position: usize,
    /// Entries that may send requests.
    pub entries: usize,
    /// Length of a turn: the time in which a request crashes a server and the other
    /// entries learn of it.
    pub length: Duration,
}

impl Turn {
    /// Returns the time until the turn of the entry, `age` after the crash.
    fn left(&self, age: Duration) -> Duration {
        let length = self.length.as_millis().max(1);
        let cycle = length * self.entries.max(1) as u128;
        let begin = length * self.position as u128;
        let at = age.as_millis() % cycle;
        let left = match at < begin + length {
            true => begin.saturating_sub(at),
            false => begin + cycle - at,
        };
        Duration::from_millis(left as u64)
    }
}

/// The crashes and answers that an entry knows.
///
/// ```
/// use berylgw_core::clock::Instant;
/// use berylgw_core::group::blame::{Content, Table};
/// use std::time::Duration;
///
/// let mut table = Table::default();
/// let at = Instant::from_millis;
/// table.record_answer(at(0), &Content::new([1], 100));
/// for (time, whole) in [(1_000, 101), (5_000, 102)] {
///     table.record_crash(at(time), 7, 9, &Content::new([1, 2], whole));
/// }
/// assert_eq!(table.quarantine(at(6_000), &Content::new([1], 103)), None);
/// let left = table.quarantine(at(6_000), &Content::new([1, 2], 104));
/// assert_eq!(left, Some(Duration::from_secs(59)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by time.
    crashes: Vec<Known>,
    /// Last time at which a request with the part was answered.
    answered: Answered,
    /// Last time at which a whole request was answered. Most come only once;
    /// apart, so that they do not displace the parts.
    answered_wholes: Answered,
    /// Streams that servers write, in the order in which they began.
    writing: Vec<Writing>,
    /// Number of streams so far.
    streams: u64,
    /// Suspects that this entry has sent again in its turn.
    trials: Vec<(u64, Time)>,
    /// Whole requests under which [`WHOLE_CRASHES`] servers or more crashed, sorted.
    repeated: Vec<u64>,
    /// Number of answers so far.
    answers: u64,
    /// Last time at which the crashes changed.
    changed: Time,
    /// Position of the next report among the older crashes.
    next_reported: usize,
}

impl Table {
    /// Records that a server answers a request.
    pub fn record_answer(&mut self, now: Instant, content: &Content) {
        let now = Time::ago(now, Duration::ZERO);
        self.answers += 1;
        for known in &mut self.crashes {
            if known.at >= now {
                continue;
            }
            known.answers = known.answers.saturating_add(1);
            for &digest in content.digests() {
                let crash = &mut known.crash;
                let involved = crash.may_involve(digest);
                if involved && insert(&mut crash.cleared, digest, MAX_CLEARED) {
                    self.changed = now;
                }
            }
        }
        if self.changed == now {
            self.update_repeated();
        }
        for &digest in content.digests() {
            match digest & WHOLE {
                0 => self.answered.remember(now, digest, MAX_ANSWERED),
                _ => self
                    .answered_wholes
                    .remember(now, digest, MAX_ANSWERED_WHOLES),
            }
        }
    }

    /// Records that `server` of `service` begins to write a stream.
    pub fn begin_stream(
        &mut self,
        now: Instant,
        service: u32,
        server: u32,
        content: &Content,
    ) -> Stream {
        let now = Time::ago(now, Duration::ZERO);
        let is_past = |at: Time| now.since(at) >= SAME_CRASH;
        self.writing
            .retain(|known| !known.broken.is_some_and(is_past));
        let stream = Stream(self.streams);
        self.streams += 1;
        self.writing.push(Writing {
            stream,
            service,
            server,
            content: content.clone(),
            broken: None,
        });
        stream
    }

    /// Records that a stream broke off, which may be the crash of its server.
    pub fn break_stream(&mut self, now: Instant, stream: Stream) {
        if let Some(index) = self.find_stream(stream) {
            let now = Time::ago(now, Duration::ZERO);
            self.writing[index].broken.get_or_insert(now);
        }
    }

    /// Forgets a stream that is no longer read. One that broke off with its server is
    /// kept for the others that did.
    pub fn end_stream(&mut self, stream: Stream) {
        let found = self.find_stream(stream);
        if let Some(index) = found.filter(|index| self.writing[*index].broken.is_none()) {
            self.writing.remove(index);
        }
    }

    /// Returns whether a stream that broke off is a likely enough cause of a crash to
    /// ask whether its server runs: it is the last one that the server began, or holds
    /// a part that was never answered.
    pub fn may_have_crashed(&self, stream: Stream) -> bool {
        let Some(index) = self.find_stream(stream) else {
            return false;
        };
        let known = &self.writing[index];
        let parts = known.content.digests().iter();
        let mut parts = parts.filter(|digest| *digest & WHOLE == 0);
        self.later_streams(index).next().is_none()
            || parts.any(|digest| self.last_answer(*digest).is_none())
    }

    /// Records that the server of a stream crashed as it wrote it.
    pub fn record_crash_in_stream(&mut self, now: Instant, stream: Stream) {
        let Some(index) = self.find_stream(stream) else {
            return;
        };
        self.writing[index].broken = Some(Time::ago(now, Duration::ZERO));
        let known = &self.writing[index];
        let mut crash = Crash {
            service: known.service,
            server: known.server,
            under_way: self.under_way(now, known.service, known.server),
            ..Crash::default()
        };
        for &digest in known.content.digests() {
            if self.last_answer(digest).is_some() {
                insert(&mut crash.answered, digest, MAX_SUSPECTS);
                continue;
            }
            let rivals = self
                .later_streams(index)
                .flat_map(|later| later.content.digests())
                .filter(|rival| (**rival ^ digest) & WHOLE == 0)
                .filter(|rival| self.last_answer(**rival).is_none());
            let rivals: Vec<u64> = rivals.copied().collect();
            // The last stream that holds it decides.
            if rivals.contains(&digest) {
                continue;
            }
            match (rivals.is_empty(), digest & WHOLE) {
                (true, _) => insert(&mut crash.unanswered, digest, MAX_SUSPECTS),
                (false, 0) => insert(&mut crash.answered, digest, MAX_SUSPECTS),
                (false, _) => continue,
            };
        }
        self.merge(now, crash);
    }

    /// Returns the whole requests whose streams a server writes, or wrote as it crashed a
    /// moment ago.
    fn under_way(&self, now: Instant, service: u32, server: u32) -> Vec<u64> {
        let now = Time::ago(now, Duration::ZERO);
        let written = self.writing.iter().filter(|known| {
            let is_past = known
                .broken
                .is_some_and(|broken| now.since(broken) >= SAME_CRASH);
            (known.service, known.server) == (service, server) && !is_past
        });
        let mut wholes: Vec<u64> = written.map(|known| known.content.whole()).collect();
        wholes.sort_unstable();
        wholes.dedup();
        wholes
    }

    fn find_stream(&self, stream: Stream) -> Option<usize> {
        let found = self
            .writing
            .binary_search_by_key(&stream, |known| known.stream);
        found.ok()
    }

    /// Returns the streams that the server of the one at `index` began after it.
    fn later_streams(&self, index: usize) -> impl Iterator<Item = &Writing> {
        let known = &self.writing[index];
        let later = self.writing[index + 1..].iter();
        later.filter(|other| (other.service, other.server) == (known.service, known.server))
    }

    /// Records that `server` of `service` crashed before it began to answer a request.
    pub fn record_crash(&mut self, now: Instant, service: u32, server: u32, content: &Content) {
        let mut crash = Crash {
            service,
            server,
            under_way: self.under_way(now, service, server),
            ..Crash::default()
        };
        for &digest in content.digests() {
            let list = match self.last_answer(digest) {
                Some(_) => &mut crash.answered,
                None => &mut crash.unanswered,
            };
            insert(list, digest, MAX_SUSPECTS);
        }
        self.merge(now, crash);
    }

    /// Merges a crash, for example one that another entry has reported.
    pub fn merge(&mut self, now: Instant, mut crash: Crash) {
        if crash.age >= MEMORY {
            return;
        }
        self.forget(now);
        let at = Time::ago(now, crash.age);
        let now = Time::ago(now, Duration::ZERO);
        crash.confirmed |= self.answers >= MANY_ANSWERS;
        crash.unanswered.truncate(MAX_SUSPECTS);
        crash.answered.truncate(MAX_SUSPECTS);
        crash.cleared.truncate(MAX_CLEARED);
        for digest in [&*crash.unanswered, &crash.answered].concat() {
            match self.last_answer(digest) {
                Some(last) if last > at => insert(&mut crash.cleared, digest, MAX_CLEARED),
                Some(_) => insert(&mut crash.answered, digest, MAX_SUSPECTS),
                None => continue,
            };
        }
        crash.under_way.retain(|digest| {
            let last = self.last_answer(*digest);
            digest & WHOLE != 0 && last.is_none_or(|last| last <= at)
        });
        let same = self.crashes.iter().position(|known| {
            let distance = known.at.since(at).max(at.since(known.at));
            let same = known.crash.server == crash.server;
            same && known.crash.service == crash.service && distance < SAME_CRASH
        });
        if let Some(index) = same {
            let known = &self.crashes[index].crash.under_way;
            crash.under_way.extend(known);
            crash.under_way.sort_unstable();
            crash.under_way.dedup();
        }
        self.trim_under_way(same, &mut crash);
        let Some(Known { crash: known, .. }) = same.map(|index| &mut self.crashes[index]) else {
            let is_forgotten = crash.age >= MEMORY - FORGETTING;
            if is_forgotten || self.same_time(crash.service, at).count() >= MAX_SAME_TIME {
                return;
            }
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            let index = self.crashes.partition_point(|known| known.at <= at);
            let answers = 0;
            self.crashes.insert(index, Known { at, answers, crash });
            self.changed = now;
            self.update_repeated();
            return;
        };
        if crash.confirmed && !known.confirmed {
            known.confirmed = true;
            self.changed = now;
        }
        let lists = [
            (&mut known.unanswered, crash.unanswered, MAX_SUSPECTS),
            (&mut known.answered, crash.answered, MAX_SUSPECTS),
            (&mut known.cleared, crash.cleared, MAX_CLEARED),
        ];
        for (list, digests, most) in lists {
            for digest in digests {
                if insert(list, digest, most) {
                    self.changed = now;
                }
            }
        }
        if known.under_way != crash.under_way {
            known.under_way = crash.under_way;
            self.changed = now;
        }
        if self.changed == now {
            self.update_repeated();
        }
    }

    /// Drops requests under way at a crash beyond the limit, first those that are known of
    /// no other crash than the one at `index`. Which of these depends on the server, so that
    /// one that is at several crashes is kept at some.
    fn trim_under_way(&self, index: Option<usize>, crash: &mut Crash) {
        const MIX: u64 = 0x9e37_79b9_7f4a_7c15;
        if crash.under_way.len() <= MAX_UNDER_WAY {
            return;
        }
        let is_elsewhere = |digest: u64| {
            let others = self.crashes.iter().enumerate();
            let mut others = others.filter(|(other, _)| Some(*other) != index);
            others.any(|(_, known)| known.crash.may_involve(digest))
        };
        let salt = u64::from(crash.server).wrapping_mul(MIX);
        let order = |digest: &u64| (!is_elsewhere(*digest), (digest ^ salt).wrapping_mul(MIX));
        crash.under_way.sort_by_cached_key(order);
        crash.under_way.truncate(MAX_UNDER_WAY);
        crash.under_way.sort_unstable();
    }

    /// Returns the rest of the quarantine of a request, `None` if it may be sent.
    pub fn quarantine(&self, now: Instant, content: &Content) -> Option<Duration> {
        if self.crashes.is_empty() {
            return None;
        }
        let digests = content.digests().iter();
        let left = digests.map(|&digest| self.quarantine_of(now, digest));
        left.max().filter(|left| !left.is_zero())
    }

    /// Returns whether a part of a request may have crashed the server that it was
    /// sent to, so that another one should not get it at once.
    pub fn is_suspect(&self, content: &Content) -> bool {
        let parts = content.digests().iter();
        let mut parts = parts.filter(|digest| *digest & WHOLE == 0);
        parts.any(|digest| {
            self.crashes
                .iter()
                .any(|known| self.may_be_cause(known, *digest))
        })
    }

    /// Returns whether a part or whole that no entry has seen answered may have
    /// caused a crash.
    fn may_be_cause(&self, known: &Known, digest: u64) -> bool {
        if !known.crash.is_prime_suspect(digest) {
            return false;
        }
        let same_time = || self.same_time(known.crash.service, known.at);
        let shared = || same_time().filter(|other| other.crash.is_prime_suspect(digest));
        let unexplained = same_time().filter(|other| !self.is_explained(&other.crash, digest));
        unexplained.count() < MANY_SERVERS || shared().count() > 1
    }

    /// Returns whether a whole request other than `digest` has crashed several
    /// servers, this one among them.
    fn is_explained(&self, crash: &Crash, digest: u64) -> bool {
        let mut others = self.repeated.iter().filter(|other| **other != digest);
        others.any(|other| crash.is_prime_suspect(*other))
    }

    fn update_repeated(&mut self) {
        let suspects = self.crashes.iter().flat_map(|known| {
            let unanswered = known.crash.unanswered.iter().copied();
            unanswered.filter(|digest| digest & WHOLE != 0 && known.crash.is_prime_suspect(*digest))
        });
        let mut suspects: Vec<u64> = suspects.collect();
        suspects.sort_unstable();
        let groups = suspects.chunk_by(|a, b| a == b);
        let repeated = groups.filter(|group| group.len() >= WHOLE_CRASHES as usize);
        self.repeated = repeated.map(|group| group[0]).collect();
    }

    /// Decides whether a request under which a server crashed is sent again; returns
    /// the time to wait if not. `has_spare` states whether a server would be left if
    /// it crashed one more.
    ///
    /// A request that was not in flight at a crash is never held. One of which it is
    /// not known whether it was the cause is sent by one entry at a time, and once in
    /// its turn.
    pub fn hold(
        &mut self,
        now: Instant,
        content: &Content,
        turn: Turn,
        has_spare: bool,
    ) -> Option<Duration> {
        let whole = content.whole();
        let suspected = self.crashes.iter().rev();
        let at = suspected
            .filter(|known| self.may_be_cause(known, whole))
            .map(|known| known.at)
            .next()?;
        let now = Time::ago(now, Duration::ZERO);
        let left = turn.left(now.since(at));
        if !left.is_zero() {
            return Some(left);
        }
        if !has_spare {
            return Some(turn.length);
        }
        self.trials.retain(|trial| now.since(trial.1) < turn.length);
        if let Some(trial) = self.trials.iter().find(|trial| trial.0 == whole) {
            return Some(turn.length.saturating_sub(now.since(trial.1)));
        }
        if self.trials.len() >= MAX_TRIALS {
            return Some(turn.length);
        }
        self.trials.push((whole, now));
        None
    }

    /// Returns whether a server crashed under this very request, and it may have been
    /// the cause.
    pub fn is_whole_suspect(&self, content: &Content) -> bool {
        let whole = content.whole();
        let mut crashes = self.crashes.iter();
        crashes.any(|known| self.may_be_cause(known, whole))
    }

    /// Returns the time since the last known crash of a server.
    pub fn last_crash(&self, now: Instant, service: u32, server: u32) -> Option<Duration> {
        let crashes = self.crashes.iter().rev();
        let mut of_server =
            crashes.filter(|known| known.crash.service == service && known.crash.server == server);
        let last = of_server.next()?;
        Some(Time::ago(now, Duration::ZERO).since(last.at))
    }

    /// Returns the crashes of a service at the same time.
    fn same_time(&self, service: u32, at: Time) -> impl Iterator<Item = &Known> {
        self.crashes.iter().filter(move |known| {
            let distance = known.at.since(at).max(at.since(known.at));
            known.crash.service == service && distance < SAME_CRASH
        })
    }

    /// Returns the digests in quarantine and the rest of their quarantine, sorted
    /// by digest.
    pub fn quarantined(&self, now: Instant) -> Vec<(u64, Duration)> {
        let suspects = |known: &Known| {
            let Crash {
                unanswered,
                answered,
                under_way,
                ..
            } = &known.crash;
            [&**unanswered, answered, under_way].concat()
        };
        let mut digests: Vec<u64> = self.crashes.iter().flat_map(suspects).collect();
        digests.sort_unstable();
        digests.dedup();
        let left = digests.into_iter();
        let left = left.map(|digest| (digest, self.quarantine_of(now, digest)));
        left.filter(|(_, left)| !left.is_zero()).collect()
    }

    /// Returns the crashes to tell other entries: the newest, and some of the
    /// older ones in turn.
    pub fn report(&mut self, now: Instant) -> Vec<Crash> {
        self.forget(now);
        let now = Time::ago(now, Duration::ZERO);
        let reported = |known: &Known| Crash {
            age: now.since(known.at),
            ..known.crash.clone()
        };
        let count = self.crashes.len();
        if count <= MAX_REPORTED {
            return self.crashes.iter().map(reported).collect();
        }
        let (older, newest) = self.crashes.split_at(count - MAX_REPORTED / 2);
        let in_turn = older.iter().cycle().skip(self.next_reported);
        let crashes = newest.iter().chain(in_turn.take(MAX_REPORTED / 2));
        let crashes = crashes.map(reported).collect();
        self.next_reported = (self.next_reported + MAX_REPORTED / 2) % older.len();
        crashes
    }

    /// Returns whether the crashes have changed so recently that other entries may
    /// not know of it.
    pub fn has_news(&self, now: Instant) -> bool {
        let now = Time::ago(now, Duration::ZERO);
        !self.crashes.is_empty() && now.since(self.changed) < NEWS
    }

    fn forget(&mut self, now: Instant) {
        let now = Time::ago(now, Duration::ZERO);
        self.crashes.retain(|known| now.since(known.at) < MEMORY);
    }

    /// Returns the crashes at which a whole request was under way if it is likely to have
    /// caused them: nearly all since its first one, or all beside one other request.
    fn recurrent(&self, now: Time, digest: u64) -> Option<Recurrence> {
        let recent = self.recent(now);
        let found = Recurrence::of(&recent, &[digest])?;
        if found.crashes < RECURRENT_CRASHES || found.servers < 2 {
            return None;
        }
        if found.missed * CRASHES_BY_MISS <= found.crashes {
            return Some(found);
        }
        let mut others: Vec<u64> = recent
            .iter()
            .flat_map(|known| known.crash.involved())
            .filter(|other| *other != digest)
            .collect();
        others.sort_unstable();
        let repeated = others.chunk_by(|a, b| a == b);
        let mut repeated = repeated.filter(|same| same.len() >= RECURRENT_CRASHES);
        let explained = repeated.any(|same| {
            let both = Recurrence::of(&recent, &[digest, same[0]]);
            both.is_some_and(|both| both.missed == 0)
        });
        explained.then_some(found)
    }

    /// Returns whether no server crashed without a whole request between its crashes.
    fn is_at_each_crash(&self, now: Time, digest: u64) -> bool {
        let found = Recurrence::of(&self.recent(now), &[digest]);
        found.is_some_and(|found| found.missed == 0)
    }

    fn recent(&self, now: Time) -> Vec<&Known> {
        let recent = self.crashes.iter();
        recent
            .filter(|known| now.since(known.at) < MEMORY)
            .collect()
    }

    /// Returns the rest of the quarantine of a digest, zero if there is none.
    fn quarantine_of(&self, now: Instant, digest: u64) -> Duration {
        let now = Time::ago(now, Duration::ZERO);
        let blamed = self.crashes.iter().filter(|known| {
            let crash = &known.crash;
            let recent = now.since(known.at) < MEMORY;
            recent && crash.is_suspect(digest) && !contains(&crash.cleared, digest)
        });
        let (mut crashes, mut prime, mut answers) = (0, 0, 0);
        let mut counted: Option<Time> = None;
        let mut is_rare_suspect = false;
        // Suspects that no crash so far rules out, if `digest` is a prime suspect.
        let mut common: Option<Vec<u64>> = None;
        for known in blamed {
            if counted.is_none_or(|last| known.at.since(last) >= SAME_CRASH) {
                crashes += 1;
                counted = Some(known.at);
            }
            answers = answers.max(known.answers);
            prime += u32::from(known.crash.is_prime_suspect(digest));
            is_rare_suspect |= known.crash.confirmed && self.may_be_cause(known, digest);
            let suspects = known.crash.prime_suspects(digest);
            match &mut common {
                Some(common) => common.retain(|other| contains(&suspects, *other)),
                None => common = Some(suspects),
            }
        }
        let alone = common.is_some_and(|common| *common == [digest]);
        let is_part = digest & WHOLE == 0;
        let is_certain = crashes >= CERTAIN_CRASHES && answers >= MIN_ANSWERS;
        let is_repeated = crashes >= SUSPECT_CRASHES && alone;
        let sufficient = match is_part {
            true => is_rare_suspect || is_repeated || is_certain,
            false => {
                (prime >= WHOLE_CRASHES || is_repeated || is_certain)
                    && self.is_at_each_crash(now, digest)
            }
        };
        let recurrence = match digest & WHOLE {
            0 => None,
            _ => self.recurrent(now, digest),
        };
        if let Some(found) = &recurrence {
            crashes = crashes.max(u32::try_from(found.crashes).unwrap_or(u32::MAX));
            counted = counted.max(Some(found.last));
        }
        let sufficient = sufficient || recurrence.is_some();
        let Some(last) = counted.filter(|_| sufficient) else {
            return Duration::ZERO;
        };
        let doublings = (crashes - 1).min(8);
        let quarantine = (QUARANTINE * 2_u32.pow(doublings)).min(MEMORY);
        quarantine.saturating_sub(now.since(last))
    }

    fn last_answer(&self, digest: u64) -> Option<Time> {
        let answered = match digest & WHOLE {
            0 => &self.answered,
            _ => &self.answered_wholes,
        };
        answered.last(digest)
    }
}

/// The crashes at which a whole request was under way.
#[derive(Clone, Copy, Debug)]
struct Recurrence {
    /// Crashes at different times.
    crashes: usize,
    /// Servers that crashed.
    servers: usize,
    /// Servers that crashed without it meanwhile, as far as that is known.
    missed: usize,
    last: Time,
}

impl Recurrence {
    /// Returns the crashes among `known`, sorted by time, that involve any of the requests.
    fn of(known: &[&Known], digests: &[u64]) -> Option<Self> {
        let involves = |known: &&&Known| {
            let mut digests = digests.iter();
            digests.any(|digest| known.crash.may_involve(*digest))
        };
        let involved: Vec<&&Known> = known.iter().filter(involves).collect();
        let (first, last) = (involved.first()?, involved.last()?);
        let mut crashes = 1;
        let mut counted = first.at;
        for known in &involved {
            if known.at.since(counted) >= RESUMED_APART {
                crashes += 1;
                counted = known.at;
            }
        }
        let is_missed = |known: &&&Known| {
            let is_between = known.at > first.at && known.at < last.at;
            // A crash of the same server may be one that another entry has told late.
            let is_same = |other: &&&Known| {
                let distance = other.at.since(known.at).max(known.at.since(other.at));
                let told_late = other.crash.server == known.crash.server && distance < TOLD_LATE;
                distance < SAME_CRASH || told_late
            };
            known.crash.service == first.crash.service
                && known.crash.is_complete()
                && is_between
                && !involved.iter().any(is_same)
        };
        Some(Recurrence {
            crashes,
            servers: count_servers(&involved),
            missed: count_servers(&known.iter().filter(is_missed).collect::<Vec<_>>()),
            last: last.at,
        })
    }
}

fn count_servers(crashes: &[&&Known]) -> usize {
    let mut servers: Vec<u32> = crashes.iter().map(|known| known.crash.server).collect();
    servers.sort_unstable();
    servers.dedup();
    servers.len()
}

/// Last answers by digest, sorted by digest.
#[derive(Clone, Debug, Default)]
struct Answered {
    times: Vec<(u64, Time)>,
}

impl Answered {
    fn last(&self, digest: u64) -> Option<Time> {
        let found = self.times.binary_search_by_key(&digest, |known| known.0);
        found.ok().map(|index| self.times[index].1)
    }

    fn remember(&mut self, now: Time, digest: u64, most: usize) {
        let found = self.times.binary_search_by_key(&digest, |known| known.0);
        if let Ok(index) = found {
            self.times[index].1 = now;
            return;
        }
        if self.times.len() >= most {
            // Drops the older half at once, so that this is rare.
            let mut times: Vec<Time> = self.times.iter().map(|known| known.1).collect();
            let (_, median, _) = times.select_nth_unstable(most / 2);
            let median = *median;
            self.times.retain(|known| known.1 > median);
        }
        let index = self.times.partition_point(|known| known.0 < digest);
        self.times.insert(index, (digest, now));
    }
}

fn contains(sorted: &[u64], digest: u64) -> bool {
    sorted.binary_search(&digest).is_ok()
}

/// Inserts into a sorted list of at most `most`; returns whether it did.
fn insert(sorted: &mut Vec<u64>, digest: u64, most: usize) -> bool {
    let Err(index) = sorted.binary_search(&digest) else {
        return false;
    };
    let has_room = sorted.len() < most;
    if has_room {
        sorted.insert(index, digest);
    }
    has_room
}
