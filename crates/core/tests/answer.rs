//! Answer frames, stream resumption, answer buffers and the retry budget.

use std::time::Duration;

use berylgw_core::buffer::{self, Verdict};
use berylgw_core::clock::Instant;
use berylgw_core::retry;
use berylgw_core::stream::{Part, Place, Reader, Resume, Step};

fn place(sequence: u64) -> Place<'static> {
    Place {
        request_id: "r",
        attempt: 2,
        sequence,
    }
}

fn end(frames: u64, bytes: u64) -> Part {
    Part::Final { frames, bytes }
}

fn started() -> Reader {
    let mut reader = Reader::new("r", 2);
    reader.accept(place(0), Part::Head).unwrap();
    reader.accept(place(1), Part::Data(3)).unwrap();
    reader
}

/// Guards against an answer that is reported complete too early or never.
#[test]
fn reader_complete() {
    let mut reader = started();
    assert!(reader.finish().is_err());
    assert_eq!(
        reader.accept(place(2), Part::Heartbeat).unwrap(),
        Step::Drop
    );
    assert_eq!(reader.accept(place(2), end(2, 3)).unwrap(), Step::Complete);
    assert!(reader.finish().is_ok());
    assert!(reader.accept(place(3), Part::Data(1)).is_err());
}

/// Guards against lost, repeated or miscounted frames that go undetected.
#[test]
fn reader_gap_and_counts() {
    assert!(started().accept(place(3), Part::Data(1)).is_err());
    assert!(started().accept(place(1), Part::Data(1)).is_err());
    assert!(started().accept(place(2), end(3, 3)).is_err());
    assert!(started().accept(place(2), end(2, 4)).is_err());
    assert!(started().accept(place(2), Part::Head).is_err());
    assert!(Reader::new("r", 2).accept(place(0), Part::Data(1)).is_err());
}

/// Guards against an answer with frames of another request or attempt.
#[test]
fn reader_foreign_frames() {
    let other = Place {
        request_id: "q",
        ..place(2)
    };
    assert!(started().accept(other, Part::Data(1)).is_err());
    let old = Place {
        attempt: 1,
        ..place(9)
    };
    assert_eq!(started().accept(old, Part::Data(1)).unwrap(), Step::Drop);
    let later = Place {
        attempt: 3,
        ..place(2)
    };
    assert!(started().accept(later, Part::Data(1)).is_err());
}

const ROLE: &[u8] = br#"data: {"choices":[{"delta":{"role":"assistant","content":""}}]}"#;
const TOKEN: &[u8] = br#"data: {"choices":[{"delta":{"content":"x"}}]}"#;
const FINISH: &[u8] = br#"data: {"choices":[{"delta":{},"finish_reason":"stop"}]}"#;
const USAGE: &[u8] = br#"data: {"choices":[],"usage":{"total_tokens":3}}"#;
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Guards against events that a resumed stream repeats or omits.
#[test]
fn resume_repeats_no_event() {
    let all = [ROLE, TOKEN, TOKEN, FINISH, USAGE, DONE];
    for cut in 0..all.len() {
        let mut resume = Resume::default();
        let mut seen: Vec<&[u8]> = Vec::new();
        for event in &all[..cut] {
            assert!(resume.wants(event));
            resume.delivered(event);
            seen.push(event);
        }
        if cut > 0 {
            resume.resume();
        }
        let skip = resume.tokens() as usize;
        for event in [&all[..1], &all[1 + skip..]].concat() {
            if resume.wants(event) {
                resume.delivered(event);
                seen.push(event);
            }
        }
        assert_eq!(seen, all, "cut after {cut} events");
        assert!(resume.is_done());
    }
}

/// Guards against buffers above their limits and streams that never resume.
#[test]
fn buffer_limits() {
    let mut budget = buffer::Budget::new(100, 150);
    let (mut one, mut two) = (buffer::Stream::default(), buffer::Stream::default());
    assert_eq!(budget.offer(&mut one, 100, true), Verdict::Keep);
    assert_eq!(budget.offer(&mut one, 1, true), Verdict::Suspend);
    assert_eq!(budget.offer(&mut one, 1, false), Verdict::Wait);
    assert_eq!(budget.offer(&mut two, 40, true), Verdict::Keep);
    assert_eq!(budget.offer(&mut two, 40, true), Verdict::Suspend);
    assert!(!budget.has_room());
    budget.release(&mut one, 100);
    assert!(one.is_empty() && budget.has_room());
    assert_eq!(budget.offer(&mut two, 40, true), Verdict::Keep);
    budget.close(&mut two);
    assert_eq!(budget.used(), 0);
    assert_eq!(budget.offer(&mut one, 1_000, true), Verdict::Keep);
}

/// Guards against more retries than a tenth of the requests, or than the floor of
/// an idle entry.
#[test]
fn retry_budget_fraction() {
    let now = Instant::from_millis(1);
    let mut budget = retry::Budget::new(now);
    let floor = (0..10).filter(|_| budget.withdraw(now)).count();
    assert_eq!(floor, 3);
    for _ in 0..205 {
        budget.deposit();
    }
    // The floor counts towards the tenth and is not added to it.
    let earned = (0..100).filter(|_| budget.withdraw(now)).count();
    assert_eq!(floor + earned, 20);
    let later = now + Duration::from_secs(60);
    assert_eq!((0..10).filter(|_| budget.withdraw(later)).count(), 3);
}
