//! Which requests are quarantined after crashes of servers, in fleets whose
//! entries exchange what they have seen.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::blame::{Content, Crash, Table, Turn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: u32 = 7;
const SERVER: u32 = 9;
const DEADLY: u64 = 1;
const POPULAR: u64 = 2;

/// Time for which the group is down after a crash.
const DOWN_MS: u64 = 3_300;

/// Time from a request to the first event of its answer.
const FIRST_EVENT_MS: u64 = 200;

/// A fleet that serves one group for half a minute.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    entries: usize,
    /// Share of the requests that hold the deadly part from 4 s on.
    deadly_share: f64,
    /// Whether the deadly part was answered before.
    deadly_is_known: bool,
    /// Time between crashes without a request as their cause.
    other_crashes_ms: Option<u64>,
    /// Time between restarts of entries, one after the other.
    restarts_ms: Option<u64>,
    /// Time at which requests begin.
    begin_ms: u64,
}

const FLEET: Fleet = Fleet {
    entries: 7,
    deadly_share: 0.02,
    deadly_is_known: false,
    other_crashes_ms: None,
    restarts_ms: None,
    begin_ms: 0,
};

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    crashes_by_request: usize,
    sound: usize,
    sound_quarantined: usize,
}

impl Fleet {
    /// Plays requests every 10 ms, of which the servers answer or crash.
    fn play(self, seed: u64) -> Outcome {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut tables = vec![Table::default(); self.entries];
        let mut in_flight: Vec<(u64, usize, bool, Content)> = Vec::new();
        let mut outcome = Outcome::default();
        let mut down_until = 0;
        for time in (self.begin_ms..34_000).step_by(10) {
            let now = Instant::from_millis(time);
            let is_due = |period: Option<u64>| {
                period.is_some_and(|period| time > self.begin_ms && time % period == 0)
            };
            if is_due(self.restarts_ms) {
                tables[(time / 1_000) as usize % self.entries] = Table::default();
            }
            let mut crashed = is_due(self.other_crashes_ms);
            let due: Vec<_> = in_flight.extract_if(.., |known| known.0 <= time).collect();
            for (_, entry, deadly, content) in due {
                if deadly && !crashed {
                    crashed = true;
                    outcome.crashes_by_request += 1;
                }
                if crashed {
                    tables[entry].record_crash(now, SERVICE, SERVER, &content);
                } else {
                    tables[entry].record_answer(now, &content);
                }
            }
            if crashed {
                // Some of the requests that the server has not answered.
                for (_, entry, _, content) in in_flight.drain(..) {
                    if random.random_bool(0.1) {
                        tables[entry].record_crash(now, SERVICE, SERVER, &content);
                    }
                }
                down_until = time + DOWN_MS;
            }
            let entry = random.random_range(0..self.entries);
            let known = self.deadly_is_known && time < 4_000;
            let deadly = time >= 4_000 || known;
            let deadly = deadly && random.random_bool(self.deadly_share);
            let mut parts = vec![POPULAR, random.random_range(1_000..100_000)];
            if deadly {
                parts.push(DEADLY);
            }
            let content = Content::new(parts, random.random());
            let quarantined = tables[entry].quarantine(now, &content).is_some();
            outcome.sound += usize::from(!deadly);
            outcome.sound_quarantined += usize::from(!deadly && quarantined);
            if !quarantined && time >= down_until {
                in_flight.push((time + FIRST_EVENT_MS, entry, deadly && !known, content));
            }
            if time % 50 == 0 {
                exchange(&mut tables, now);
            }
        }
        outcome
    }
}

/// Merges what each entry reports into two others.
fn exchange(tables: &mut [Table], now: Instant) {
    for entry in 0..tables.len() {
        let report = tables[entry].report(now);
        for step in [1, 3] {
            let other = (entry + step) % tables.len();
            for crash in &report {
                tables[other].merge(now, crash.clone());
            }
        }
    }
}

/// Guards against requests with one part that crash servers one after the other,
/// and against a quarantine of what sound requests hold.
#[test]
fn deadly_part_quarantined() {
    let cases = [
        FLEET,
        Fleet {
            deadly_share: 0.3,
            ..FLEET
        },
        Fleet {
            entries: 40,
            ..FLEET
        },
        Fleet {
            begin_ms: 3_990,
            ..FLEET
        },
        Fleet {
            restarts_ms: Some(1_000),
            ..FLEET
        },
        Fleet {
            other_crashes_ms: Some(7_000),
            ..FLEET
        },
    ];
    for fleet in cases {
        for seed in 0..40 {
            let outcome = fleet.play(seed);
            assert!(
                outcome.crashes_by_request <= 3,
                "{fleet:?} {seed}: {outcome:?}"
            );
            let share = outcome.sound_quarantined as f64 / outcome.sound as f64;
            assert!(share < 0.01, "{fleet:?} {seed}: {outcome:?}");
        }
    }
}

/// Guards against a part that becomes deadly after it was answered and is never
/// found.
#[test]
fn known_part_quarantined() {
    let fleet = Fleet {
        deadly_is_known: true,
        ..FLEET
    };
    for seed in 0..40 {
        let outcome = fleet.play(seed);
        assert!(outcome.crashes_by_request <= 5, "{seed}: {outcome:?}");
        let share = outcome.sound_quarantined as f64 / outcome.sound as f64;
        assert!(share < 0.01, "{seed}: {outcome:?}");
    }
}

/// Guards against a quarantine after crashes that no request has caused.
#[test]
fn sound_requests_spared() {
    for other_crashes_ms in [600, 3_400, 3_600, 5_000, 9_000] {
        let fleet = Fleet {
            deadly_share: 0.0,
            other_crashes_ms: Some(other_crashes_ms),
            ..FLEET
        };
        for seed in 0..40 {
            let outcome = fleet.play(seed);
            let share = outcome.sound_quarantined as f64 / outcome.sound as f64;
            assert!(share < 0.01, "{other_crashes_ms} {seed}: {outcome:?}");
        }
    }
}

/// Guards against a whole request without parts that crashes servers again and
/// again.
#[test]
fn repeated_request_quarantined() {
    let mut table = Table::default();
    let poison = Content::new([], 1);
    for crash in 0..3 {
        let now = Instant::from_millis(crash * 4_000);
        for other in 0..5 {
            table.record_crash(
                now,
                SERVICE,
                SERVER,
                &Content::new([], 100 * crash + other + 2),
            );
        }
        table.record_crash(now, SERVICE, SERVER, &poison);
    }
    let now = Instant::from_millis(9_000);
    assert!(table.quarantine(now, &poison).is_some());
    assert_eq!(table.quarantine(now, &Content::new([], 2)), None);
}

/// Guards against a quarantine that an entry which starts later does not learn,
/// counts twice or keeps for ever.
#[test]
fn quarantine_outlives_entries() {
    let mut old = Table::default();
    let deadly = |whole| Content::new([DEADLY], whole);
    for (time, whole) in [(100_000, 1), (104_000, 2)] {
        old.record_crash(Instant::from_millis(time), SERVICE, SERVER, &deadly(whole));
    }
    // The clock of each process starts with it.
    let mut new = Table::default();
    let start = Instant::from_millis(10);
    for _ in 0..3 {
        for crash in old.report(Instant::from_millis(110_000)) {
            new.merge(start, crash);
        }
    }
    assert_eq!(
        new.quarantine(start, &deadly(3)),
        Some(Duration::from_secs(54))
    );
    let reported: Vec<Duration> = new.report(start).iter().map(|crash| crash.age).collect();
    assert_eq!(reported, [Duration::from_secs(10), Duration::from_secs(6)]);
    let later = start + Duration::from_secs(55);
    assert_eq!(new.quarantine(later, &deadly(3)), None);
    // One that still crashes servers is tried more rarely.
    new.record_crash(later, SERVICE, SERVER, &deadly(4));
    assert_eq!(
        new.quarantine(later, &deadly(5)),
        Some(Duration::from_secs(120))
    );
}

/// Guards against memory and reports that grow with requests and crashes.
#[test]
fn size_bounded() {
    let mut table = Table::default();
    for number in 0..100_000 {
        let now = Instant::from_millis(number * 5);
        table.record_answer(now, &Content::new([number], number));
        if number % 200 == 0 {
            for other in 0..40 {
                table.record_crash(now, SERVICE, SERVER, &Content::new([number + other], other));
            }
        }
    }
    let now = Instant::from_millis(500_000);
    let report = table.report(now);
    assert!(report.len() <= 8, "{}", report.len());
    for crash in &report {
        let lists = [&crash.unanswered, &crash.answered, &crash.cleared];
        let digests: usize = lists.iter().map(|list| list.len()).sum();
        // Eight crashes fit into half of the largest datagram.
        assert!(digests * 8 * 8 <= 8 << 10, "{crash:?}");
    }
    let size = format!("{table:?}").len();
    assert!(size < 400_000, "{size}");
}

/// Guards against a suspect that stays one after its answer because many others were
/// answered before it.
#[test]
fn every_suspect_cleared() {
    let mut table = warm_table();
    let requests: Vec<Content> = (0..60)
        .map(|number| Content::new([100 + number], number))
        .collect();
    for request in &requests[..30] {
        table.record_answer(Instant::from_millis(500), request);
    }
    for request in requests.iter().rev() {
        table.record_crash(Instant::from_millis(1_000), SERVICE, SERVER, request);
    }
    for request in &requests {
        table.record_answer(Instant::from_millis(2_000), request);
    }
    for request in &requests {
        assert_eq!(table.quarantine(Instant::from_millis(2_100), request), None);
    }
}

/// Returns a table that has seen enough answers to know which parts are rare.
fn warm_table() -> Table {
    let mut table = Table::default();
    for whole in 0..40 {
        table.record_answer(Instant::ORIGIN, &Content::new([POPULAR], whole));
    }
    table
}

/// Guards against a deadly part that is taken for the failure of a domain when it
/// crashes several servers at once.
#[test]
fn several_servers_crash_at_once() {
    let now = Instant::from_millis(1_000);
    for shared in [true, false] {
        let mut table = warm_table();
        for server in 0..5 {
            let part = if shared {
                DEADLY
            } else {
                100 + u64::from(server)
            };
            let content = Content::new([POPULAR, part], server.into());
            table.record_crash(now, SERVICE, server, &content);
        }
        for part in [DEADLY, 100, 104] {
            let quarantine = table.quarantine(now, &Content::new([POPULAR, part], 1_000));
            assert_eq!(quarantine.is_some(), shared && part == DEADLY, "{part}");
        }
        let sound = Content::new([POPULAR], 1_000);
        assert_eq!(table.quarantine(now, &sound), None);
    }
}

/// Guards against an entry that has just started and sends a deadly part that the
/// others know.
#[test]
fn entry_without_answers_told() {
    let now = Instant::from_millis(1_000);
    let mut table = warm_table();
    let deadly = Content::new([POPULAR, DEADLY], 1_000);
    table.record_crash(now, SERVICE, SERVER, &deadly);
    let mut started = Table::default();
    assert_eq!(started.quarantine(now, &deadly), None);
    for crash in table.report(now) {
        started.merge(now, crash);
    }
    assert_eq!(
        started.quarantine(now, &deadly),
        Some(Duration::from_secs(30))
    );
    // One that has seen no answers itself knows too little.
    let mut alone = Table::default();
    alone.record_crash(now, SERVICE, SERVER, &deadly);
    assert_eq!(alone.quarantine(now, &deadly), None);
}

/// Guards against a request that is sent to one server after the other, because
/// their crashes within half a second count as one.
#[test]
fn request_crashes_servers_in_quick_succession() {
    let mut table = warm_table();
    let deadly = Content::new([], 1_000);
    for (time, server) in [(1_000, 1), (1_070, 2)] {
        let now = Instant::from_millis(time);
        let other = Content::new([], 2_000 + u64::from(server));
        table.record_crash(now, SERVICE, server, &deadly);
        table.record_crash(now, SERVICE, server, &other);
    }
    let now = Instant::from_millis(1_100);
    assert!(table.quarantine(now, &deadly).is_some());
    // In flight at one of the crashes only.
    assert_eq!(table.quarantine(now, &Content::new([], 2_001)), None);
}

/// Guards against two requests that crash the same servers and are each other's
/// excuse.
#[test]
fn two_requests_crash_servers_together() {
    let mut table = warm_table();
    let deadly = [Content::new([], 1_001), Content::new([], 1_002)];
    for (time, server) in [(1_000, 1), (5_000, 2)] {
        for content in &deadly {
            table.record_crash(Instant::from_millis(time), SERVICE, server, content);
        }
    }
    for content in &deadly {
        let left = table.quarantine(Instant::from_millis(5_100), content);
        assert!(left.is_some());
    }
}

/// Guards against a stream that crashes its server some time after it begins, and is
/// taken for answered until then.
#[test]
fn stream_blamed_until_its_end() {
    let mut table = warm_table();
    let begin = Instant::from_millis(1_000);
    let deadly = |whole| Content::new([POPULAR, DEADLY], whole);
    let sound = Content::new([POPULAR, 50], 1_000);
    let streams = [
        table.begin_stream(begin, SERVICE, SERVER, &sound),
        table.begin_stream(begin, SERVICE, SERVER, &deadly(1_001)),
    ];
    // The servers of the others go on.
    let other = table.begin_stream(begin, SERVICE, SERVER + 1, &Content::new([60], 1_002));
    let now = Instant::from_millis(3_000);
    for stream in streams {
        assert!(table.may_have_crashed(stream));
        table.record_crash_in_stream(now, stream);
        table.end_stream(stream);
    }
    assert!(table.quarantine(now, &deadly(1_003)).is_some());
    for sound in [50, 60, POPULAR] {
        let content = Content::new([POPULAR, sound], 1_004);
        assert_eq!(table.quarantine(now, &content), None, "{sound}");
    }
    table.end_stream(other);
}

/// Guards against a deadly part that is never found because a sound stream with a rare
/// part always begins after it, at whatever order the ends of the streams are noticed.
#[test]
fn earlier_stream_blamed_after_crashes() {
    for reversed in [false, true] {
        let mut table = warm_table();
        let mut quarantined_after = 0;
        for crash in 0..6 {
            let now = Instant::from_millis(1_000 + crash * 4_000);
            let deadly = Content::new([POPULAR, DEADLY], 1_000 + crash);
            if table.quarantine(now, &deadly).is_some() {
                break;
            }
            quarantined_after = crash + 1;
            let server = SERVER + crash as u32;
            let later = Content::new([POPULAR, 100 + crash], 2_000 + crash);
            let mut streams = [
                table.begin_stream(now, SERVICE, server, &deadly),
                table.begin_stream(now, SERVICE, server, &later),
            ];
            if reversed {
                streams.reverse();
            }
            let now = now + Duration::from_millis(400);
            for stream in streams {
                table.record_crash_in_stream(now, stream);
                table.end_stream(stream);
            }
            for whole in 0..6 {
                let content = Content::new([POPULAR], 3_000 + 10 * crash + whole);
                table.record_answer(now + Duration::from_millis(100), &content);
            }
        }
        assert_eq!(quarantined_after, 3, "reversed: {reversed}");
        let popular = Content::new([POPULAR], 9_000);
        let now = Instant::from_millis(30_000);
        assert_eq!(table.quarantine(now, &popular), None);
    }
}

/// Guards against streams that stay in the table after they have ended.
#[test]
fn ended_streams_forgotten() {
    let mut table = warm_table();
    let now = Instant::from_millis(1_000);
    let size = |table: &Table| format!("{table:?}").len();
    let before = size(&table);
    for whole in 0..100 {
        let stream = table.begin_stream(now, SERVICE, SERVER, &Content::new([DEADLY], whole));
        table.end_stream(stream);
        assert!(!table.may_have_crashed(stream));
    }
    assert!(size(&table) < before + 10);
}

/// Guards against turns that overlap, leave a gap or end, and against a request that
/// is held though no server crashed under it.
#[test]
fn suspect_sent_in_turns() {
    const ENTRIES: usize = 5;
    let suspect = Content::new([], 1_000);
    let mut tables: Vec<Table> = (0..ENTRIES).map(|_| warm_table()).collect();
    tables[0].record_crash(Instant::from_millis(1_000), SERVICE, SERVER, &suspect);
    let now = Instant::from_millis(1_000);
    for crash in tables[0].report(now) {
        for table in &mut tables[1..] {
            table.merge(now, crash.clone());
        }
    }
    let mut sent = Vec::new();
    for time in (1_000..9_000).step_by(10) {
        let now = Instant::from_millis(time);
        for (position, table) in tables.iter_mut().enumerate() {
            let turn = Turn {
                position,
                entries: ENTRIES,
                length: Duration::from_millis(400),
            };
            let other = Content::new([], 2_000);
            assert_eq!(table.hold(now, &other, turn, false), None);
            assert!(table.hold(now, &suspect, turn, false).is_some());
            match table.hold(now, &suspect, turn, true) {
                None => sent.push((time, position)),
                Some(left) => assert!(left <= Duration::from_secs(2), "{left:?}"),
            }
        }
    }
    let expected: Vec<(u64, usize)> = (0..20)
        .map(|turn| (1_000 + 400 * turn, turn as usize % ENTRIES))
        .collect();
    assert_eq!(sent, expected);
    let now = Instant::from_millis(9_000);
    tables[0].record_answer(now, &suspect);
    let turn = Turn {
        position: 4,
        entries: ENTRIES,
        length: Duration::from_millis(400),
    };
    assert_eq!(tables[0].hold(now, &suspect, turn, false), None);
}

/// Guards against a crash that entries tell each other for good: one that has forgotten
/// it hears it back from one that heard it a little later.
#[test]
fn crash_forgotten_by_all() {
    const ENTRIES: usize = 3;
    const MEMORY_MS: u64 = 600_000;
    const WAY_MS: u64 = 10;
    let suspect = Content::new([], 1_000);
    let mut tables: Vec<Table> = (0..ENTRIES).map(|_| warm_table()).collect();
    tables[0].record_crash(Instant::from_millis(1_000), SERVICE, SERVER, &suspect);
    let mut on_way = Vec::new();
    for time in (1_000..MEMORY_MS + 30_000).step_by(WAY_MS as usize) {
        let now = Instant::from_millis(time);
        for crash in std::mem::take(&mut on_way) {
            for table in &mut tables {
                table.merge(now, Crash::clone(&crash));
            }
        }
        on_way = tables
            .iter_mut()
            .flat_map(|table| table.report(now))
            .collect();
    }
    assert_eq!(on_way, [], "still told");
}
