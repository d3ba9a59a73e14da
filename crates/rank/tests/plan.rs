//! Encoding of the maps of large groups.

use berylgw_core::expert::{Expert, Layout, Map};
use berylgw_rank::plan::{Parts, encode, encode_changes, fits_at_once};
use berylgw_wire::rank::Plan;
use prost::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RANKS: u16 = 192;
const EXPERTS: u16 = 384;
const SLOTS: u16 = 3;
const SETS: usize = 10;

/// Copies of experts in a map that answers a shift of demand.
const COPIES: usize = 332;

fn base() -> Vec<Map> {
    let layout = Layout::new(RANKS, EXPERTS, SLOTS).expect("the layout is valid");
    let in_turn = |rank: u16| (rank..EXPERTS).step_by(RANKS.into()).map(Expert::from);
    let ranks: Vec<Vec<Expert>> = (0..RANKS).map(|rank| in_turn(rank).collect()).collect();
    vec![Map::from_ranks(layout, &ranks).expect("the map is complete"); SETS]
}

/// Returns `base` with `copies` more experts, each in the free slot of a rank.
fn changed(base: &[Map], copies: usize) -> Vec<Map> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut changed = base.to_vec();
    for copy in 0..copies {
        let set = &mut changed[copy % SETS];
        let layout = set.layout();
        let mut ranks: Vec<Vec<Expert>> = berylgw_core::expert::Rank::all(layout)
            .map(|rank| set.experts(rank).to_vec())
            .collect();
        let rank = rng.random_range(0..ranks.len());
        let expert = Expert::from(rng.random_range(0..EXPERTS));
        if ranks[rank].len() < SLOTS.into() && !ranks[rank].contains(&expert) {
            ranks[rank].push(expert);
        }
        *set = Map::from_ranks(layout, &ranks).expect("the map stays complete");
    }
    changed
}

fn collect(parts: &[Plan], base: Option<&[Map]>) -> Option<Vec<Map>> {
    let mut received = Parts::new(&parts[0]);
    let mut whole = None;
    for part in parts {
        whole = received.add(part, base).expect("the part is valid");
    }
    whole
}

/// Guards against a switch that takes the whole map of a large group, which does
/// not fit the links of small hosts in time.
#[test]
fn changes_take_few_datagrams() {
    let base = base();
    let next = changed(&base, COPIES);
    let bytes = |parts: &[Plan]| parts.iter().map(Message::encoded_len).sum::<usize>();
    let whole = encode(8, &next);
    let changes = encode_changes(8, &next, 7, &base);
    assert!(!fits_at_once(&next));
    assert!(
        bytes(&changes) * 3 < bytes(&whole),
        "{} bytes",
        bytes(&changes)
    );
    assert!(changes.iter().all(|part| part.encoded_len() < 1_300));
    assert_eq!(collect(&changes, Some(&base)).as_ref(), Some(&next));
    assert_eq!(collect(&whole, None).as_ref(), Some(&next));
}

/// Guards against a lost datagram for which the whole map is sent again.
#[test]
fn lost_part_repaired_alone() {
    let base = base();
    let next = changed(&base, COPIES);
    for (parts, base) in [
        (encode(8, &next), None),
        (encode_changes(8, &next, 7, &base), Some(&*base)),
    ] {
        let lost = parts.len() / 2;
        let mut received = Parts::new(&parts[0]);
        for (index, part) in parts.iter().enumerate() {
            if index != lost {
                assert_eq!(received.add(part, base).expect("the part is valid"), None);
            }
        }
        let missing: Vec<u32> = received.missing().collect();
        let end = parts
            .get(lost + 1)
            .map_or(SETS as u32, |next| next.first_set);
        assert_eq!(missing, (parts[lost].first_set..end).collect::<Vec<u32>>());
        let whole = received.add(&parts[lost], base).expect("the part is valid");
        assert_eq!(whole.as_ref(), Some(&next));
    }
}

/// Guards against invalid changes that end the process or give a wrong map.
#[test]
fn changes_invalid_refused() {
    let base = base();
    let parts = encode_changes(8, &changed(&base, COPIES), 7, &base);
    let part = &parts[0];
    let with = |changes: Vec<u8>| Plan {
        changes: changes.into(),
        ..part.clone()
    };
    let invalid = [
        with(part.changes[..part.changes.len() - 3].to_vec()),
        with(vec![1, 0, 255, 255, 0, 0, 0, 0, 0, 0]),
        with(vec![1, 0, 0, 0, 255, 255, 255, 255, 255, 255]),
        with(vec![1, 0, 0, 0, 7, 200, 255, 255, 255, 255]),
        with([0, 0].repeat(SETS + 1)),
        Plan {
            first_set: SETS as u32,
            ..part.clone()
        },
    ];
    for part in invalid {
        assert!(
            Parts::new(&part).add(&part, Some(&base)).is_err(),
            "{part:?}"
        );
    }
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..2_000 {
        let mut bytes = part.changes.to_vec();
        let at = rng.random_range(0..bytes.len());
        bytes[at] = rng.random();
        let part = with(bytes);
        // Any outcome but a panic is allowed: a map may still be complete.
        drop(Parts::new(&part).add(&part, Some(&base)));
    }
}
