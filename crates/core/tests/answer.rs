//! Answer frames, stream resumption, answer buffers and the retry budget.

use std::time::Duration;

use berylgw_core::buffer::{self, Verdict};
use berylgw_core::clock::Instant;
use berylgw_core::retry;
use berylgw_core::stream::{Action, Content, Cursor, Position, Reader};

fn position(sequence: u64) -> Position<'static> {
    Position {
        request_id: "r",
        attempt: 2,
        sequence,
    }
}

fn end(frames: u64, bytes: u64) -> Content {
    Content::Final { frames, bytes }
}

fn started() -> Reader {
    let mut reader = Reader::new("r", 2);
    reader.accept(position(0), Content::Head).unwrap();
    reader.accept(position(1), Content::Data(3)).unwrap();
    reader
}

/// Guards against an answer that is reported complete too early or never.
#[test]
fn reader_complete() {
    let mut reader = started();
    assert!(reader.finish().is_err());
    assert_eq!(
        reader.accept(position(2), Content::Heartbeat).unwrap(),
        Action::Drop
    );
    assert_eq!(
        reader.accept(position(2), end(2, 3)).unwrap(),
        Action::Complete
    );
    assert!(reader.finish().is_ok());
    assert!(reader.accept(position(3), Content::Data(1)).is_err());
}

/// Guards against lost, repeated or miscounted frames that go undetected.
#[test]
fn reader_gap_and_counts() {
    assert!(started().accept(position(3), Content::Data(1)).is_err());
    assert!(started().accept(position(1), Content::Data(1)).is_err());
    assert!(started().accept(position(2), end(3, 3)).is_err());
    assert!(started().accept(position(2), end(2, 4)).is_err());
    assert!(started().accept(position(2), Content::Head).is_err());
    assert!(
        Reader::new("r", 2)
            .accept(position(0), Content::Data(1))
            .is_err()
    );
}

/// Guards against an answer with frames of another request or attempt.
#[test]
fn reader_foreign_frames() {
    let other = Position {
        request_id: "q",
        ..position(2)
    };
    assert!(started().accept(other, Content::Data(1)).is_err());
    let old = Position {
        attempt: 1,
        ..position(9)
    };
    assert_eq!(
        started().accept(old, Content::Data(1)).unwrap(),
        Action::Drop
    );
    let later = Position {
        attempt: 3,
        ..position(2)
    };
    assert!(started().accept(later, Content::Data(1)).is_err());
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
        let mut cursor = Cursor::default();
        let mut seen: Vec<&[u8]> = Vec::new();
        for event in &all[..cut] {
            assert!(cursor.should_forward(event));
            cursor.record_forwarded(event);
            seen.push(event);
        }
        if cut > 0 {
            cursor.resume();
        }
        let skip = cursor.tokens() as usize;
        for event in [&all[..1], &all[1 + skip..]].concat() {
            if cursor.should_forward(event) {
                cursor.record_forwarded(event);
                seen.push(event);
            }
        }
        assert_eq!(seen, all, "cut after {cut} events");
        assert!(cursor.is_done());
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
