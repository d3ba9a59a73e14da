//! Random faults in the frames of an answer.

use berylgw_core::stream::{Action, Content, Position, Reader};
use proptest::prelude::*;

const REQUEST: &str = "own";
const ATTEMPT: u32 = 2;

/// A frame; `id` identifies its content.
#[derive(Clone, Debug)]
struct Frame {
    request: &'static str,
    attempt: u32,
    sequence: u64,
    content: Content,
    id: usize,
}

#[derive(Clone, Debug)]
enum Fault {
    Drop(usize),
    Repeat(usize, usize),
    Swap(usize, usize),
    Truncate(usize),
    CutAt(usize),
    Foreign(usize, usize),
    Late(usize, usize),
    Ahead(usize),
    Heartbeat(usize),
}

fn answer(sizes: &[usize]) -> Vec<Frame> {
    let mut contents = vec![Content::Head];
    contents.extend(sizes.iter().map(|size| Content::Data(*size)));
    contents.push(Content::Final {
        frames: sizes.len() as u64 + 1,
        bytes: sizes.iter().sum::<usize>() as u64,
    });
    let frames = contents.into_iter().enumerate().map(|(id, content)| Frame {
        request: REQUEST,
        attempt: ATTEMPT,
        sequence: id as u64,
        content,
        id,
    });
    frames.collect()
}

fn apply(frames: &mut Vec<Frame>, fault: &Fault) {
    let count = frames.len();
    if count == 0 {
        return;
    }
    let other = |frames: &[Frame], from: usize, request, attempt| {
        let frame = frames[from % count].clone();
        Frame {
            request,
            attempt,
            id: usize::MAX,
            ..frame
        }
    };
    match *fault {
        Fault::Drop(at) => {
            frames.remove(at % count);
        }
        Fault::Repeat(from, to) => {
            let frame = frames[from % count].clone();
            frames.insert(to % count, frame);
        }
        Fault::Swap(a, b) => frames.swap(a % count, b % count),
        Fault::Truncate(at) => {
            if let Content::Data(size) = &mut frames[at % count].content {
                *size /= 2;
                frames[at % count].id = usize::MAX;
            }
        }
        Fault::CutAt(at) => frames.truncate(at % count),
        Fault::Foreign(from, to) => {
            let frame = other(frames, from, "other", ATTEMPT);
            frames.insert(to % count, frame);
        }
        Fault::Late(from, to) => {
            let frame = other(frames, from, REQUEST, ATTEMPT - 1);
            frames.insert(to % count, frame);
        }
        Fault::Ahead(at) => frames[at % count].attempt += 1,
        Fault::Heartbeat(at) => {
            let frame = Frame {
                content: Content::Heartbeat,
                ..frames[at % count].clone()
            };
            frames.insert(at % count, frame);
        }
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let at = || 0usize..64;
    prop_oneof![
        at().prop_map(Fault::Drop),
        (at(), at()).prop_map(|(a, b)| Fault::Repeat(a, b)),
        (at(), at()).prop_map(|(a, b)| Fault::Swap(a, b)),
        at().prop_map(Fault::Truncate),
        at().prop_map(Fault::CutAt),
        (at(), at()).prop_map(|(a, b)| Fault::Foreign(a, b)),
        (at(), at()).prop_map(|(a, b)| Fault::Late(a, b)),
        at().prop_map(Fault::Ahead),
        at().prop_map(Fault::Heartbeat),
    ]
}

/// Returns the content that reaches the caller and whether the answer is reported
/// complete.
fn read(frames: &[Frame]) -> (Vec<usize>, bool) {
    let mut reader = Reader::new(REQUEST, ATTEMPT);
    let mut forwarded = Vec::new();
    for frame in frames {
        let position = Position {
            request_id: frame.request,
            attempt: frame.attempt,
            sequence: frame.sequence,
        };
        match reader.accept(position, frame.content) {
            Ok(Action::Forward) => forwarded.push(frame.id),
            Ok(Action::Drop) => {}
            Ok(Action::Complete) => return (forwarded, reader.finish().is_ok()),
            Err(_) => return (forwarded, false),
        }
    }
    (forwarded, reader.finish().is_ok())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_096,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against a short, foreign or mixed answer that is reported complete.
    #[test]
    fn reader_faults_never_complete(
        sizes in prop::collection::vec(1usize..100, 0..12),
        faults in prop::collection::vec(fault(), 0..6),
    ) {
        let mut frames = answer(&sizes);
        for fault in &faults {
            apply(&mut frames, fault);
        }
        let (forwarded, complete) = read(&frames);
        let expected: Vec<usize> = (0..=sizes.len()).collect();
        // An answer that is reported complete has exactly the original content.
        prop_assert!(!complete || forwarded == expected, "{forwarded:?}");
        if faults.is_empty() {
            prop_assert!(complete);
        }
    }
}
