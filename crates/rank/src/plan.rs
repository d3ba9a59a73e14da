//! Conversions between maps and reports and the messages of the sidecars.

use std::sync::Arc;

use berylgw_core::expert::switch::{Armed, Report};
use berylgw_core::expert::{Expert, Layout, Map, Rank};
use berylgw_wire::rank as wire;

use crate::engine::{Failure, State};

/// Maximum bytes of map data in one datagram, so that IP does not fragment it. A
/// single set that is larger still goes into one datagram.
const MAX_PART_BYTES: usize = 1_100;

/// Number of experts of a set at and above which a slot takes two bytes.
const TWO_BYTE_EXPERTS: usize = 255;

/// Switch that a rank must execute.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Epoch of the group.
    pub epoch: u64,
    /// Version of the map.
    pub version: u64,
    /// Map of each set, once all parts have arrived.
    pub maps: Option<Arc<Vec<Map>>>,
    /// First pass that uses the map, once it is chosen.
    pub pass: Option<u64>,
}

/// Received parts of the maps of one version.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Version of the map.
    pub version: u64,
    sets: Vec<Option<Map>>,
}

impl Parts {
    /// Creates an empty collection for the version of `part`.
    pub fn new(part: &wire::Plan) -> Self {
        Parts {
            version: part.version,
            sets: vec![None; part.sets as usize],
        }
    }

    /// Adds a part and returns the maps of all sets once they are complete.
    ///
    /// `base` is the map that the part's changes refer to, if it has changes.
    ///
    /// # Errors
    ///
    /// Fails if the part is invalid or has more sets than the first part announced.
    pub fn add(
        &mut self,
        part: &wire::Plan,
        base: Option<&[Map]>,
    ) -> Result<Option<Vec<Map>>, Failure> {
        let first = part.first_set as usize;
        let maps = match base {
            Some(base) => decode_changes(part, base)?,
            None => decode(part)?,
        };
        for (set, map) in maps.into_iter().enumerate() {
            let slot = self.sets.get_mut(first + set);
            let slot = slot.ok_or_else(|| Failure("more sets than announced".to_owned()))?;
            *slot = Some(map);
        }
        Ok(self.sets.iter().cloned().collect())
    }

    /// Returns the sets of which no part has arrived.
    pub fn missing(&self) -> impl Iterator<Item = u32> {
        let sets = self.sets.iter().enumerate();
        sets.filter(|(_, map)| map.is_none())
            .map(|(set, _)| set as u32)
    }
}

/// Returns whether whole maps take only a few datagrams, so that changes would
/// save nothing.
pub fn fits_at_once(maps: &[Map]) -> bool {
    let of_set = |map: &Map| {
        let layout = map.layout();
        layout.ranks() * layout.slots() * slot_bytes(layout.experts())
    };
    maps.iter().map(of_set).sum::<usize>() <= MAX_PART_BYTES * 2
}

/// Encodes the changes from `base` to `maps` into messages of one datagram each.
///
/// A group of hundreds of ranks changes a tenth of its map after a shift of
/// demand, so that the changes take a few datagrams instead of dozens.
pub fn encode_changes(
    version: u64,
    maps: &[Map],
    base_version: u64,
    base: &[Map],
) -> Vec<wire::Plan> {
    let mut parts: Vec<wire::Plan> = Vec::new();
    let mut bytes: Vec<u8> = Vec::new();
    let mut first_set = 0;
    for (set, (map, old)) in maps.iter().zip(base).enumerate() {
        let changes = encode_set_changes(map, old);
        if !bytes.is_empty() && bytes.len() + changes.len() > MAX_PART_BYTES {
            let full = std::mem::take(&mut bytes);
            parts.push(changes_part(version, maps, base_version, first_set, full));
            first_set = set;
        }
        bytes.extend(changes);
    }
    if !bytes.is_empty() {
        parts.push(changes_part(version, maps, base_version, first_set, bytes));
    }
    parts
}

fn changes_part(
    version: u64,
    maps: &[Map],
    base_version: u64,
    first_set: usize,
    changes: Vec<u8>,
) -> wire::Plan {
    wire::Plan {
        version,
        sets: maps.len() as u32,
        first_set: first_set as u32,
        base: Some(base_version),
        changes: changes.into(),
        ..Default::default()
    }
}

fn encode_set_changes(map: &Map, base: &Map) -> Vec<u8> {
    let layout = map.layout();
    let changed = Rank::all(layout).filter(|rank| map.experts(*rank) != base.experts(*rank));
    let changed: Vec<Rank> = changed.collect();
    let mut numbers = vec![changed.len() as u16];
    for rank in changed {
        numbers.push(rank.index() as u16);
        let experts = map.experts(rank);
        let slot = |slot| {
            experts
                .get(slot)
                .map_or(u16::MAX, |&expert| u16::from(expert))
        };
        numbers.extend((0..layout.slots()).map(slot));
    }
    numbers.into_iter().flat_map(u16::to_le_bytes).collect()
}

fn decode_changes(part: &wire::Plan, base: &[Map]) -> Result<Vec<Map>, Failure> {
    let truncated = || Failure("changes of a map are truncated".to_owned());
    let mut numbers = part.changes.chunks(2).map(|bytes| {
        bytes
            .iter()
            .rev()
            .fold(0, |sum, byte| sum << 8 | u16::from(*byte))
    });
    let mut maps = Vec::new();
    while let Some(changed) = numbers.next() {
        let set = part.first_set as usize + maps.len();
        let old = base.get(set);
        let old = old.ok_or_else(|| Failure(format!("base has no set {set}")))?;
        let layout = old.layout();
        let experts = |rank| old.experts(rank).to_vec();
        let mut ranks: Vec<Vec<Expert>> = Rank::all(layout).map(experts).collect();
        for _ in 0..changed {
            let rank = numbers.next().ok_or_else(truncated)?;
            let mut slots = Vec::new();
            for _ in 0..layout.slots() {
                slots.push(numbers.next().ok_or_else(truncated)?);
            }
            let held = slots.into_iter().filter(|expert| *expert != u16::MAX);
            let of_rank = ranks.get_mut(usize::from(rank));
            let of_rank = of_rank.ok_or_else(|| Failure(format!("group has no rank {rank}")))?;
            *of_rank = held.map(Expert::from).collect();
        }
        let map = Map::from_ranks(layout, &ranks).map_err(|error| Failure(error.to_string()))?;
        maps.push(map);
    }
    Ok(maps)
}

/// Encodes the maps of all sets into messages of one datagram each.
pub fn encode(version: u64, maps: &[Map]) -> Vec<wire::Plan> {
    let Some(layout) = maps.first().map(Map::layout) else {
        return Vec::new();
    };
    let slots = layout.ranks() * layout.slots();
    let bytes_per_set = slots * slot_bytes(layout.experts());
    let sets_per_part = (MAX_PART_BYTES / bytes_per_set).max(1);
    let part = |(index, sets): (usize, &[Map])| wire::Plan {
        version,
        ranks: layout.ranks() as u32,
        slots: layout.slots() as u32,
        experts: layout.experts() as u32,
        sets: maps.len() as u32,
        first_set: (index * sets_per_part) as u32,
        held: sets.iter().flat_map(encode_set).collect::<Vec<u8>>().into(),
        ..Default::default()
    };
    maps.chunks(sets_per_part).enumerate().map(part).collect()
}

fn slot_bytes(experts: usize) -> usize {
    if experts < TWO_BYTE_EXPERTS { 1 } else { 2 }
}

fn encode_set(map: &Map) -> Vec<u8> {
    let layout = map.layout();
    let width = slot_bytes(layout.experts());
    let mut bytes = Vec::new();
    for rank in Rank::all(layout) {
        let experts = map.experts(rank);
        for slot in 0..layout.slots() {
            let expert = experts
                .get(slot)
                .map_or(u16::MAX, |expert| u16::from(*expert));
            bytes.extend(&expert.to_le_bytes()[..width]);
        }
    }
    bytes
}

fn decode(part: &wire::Plan) -> Result<Vec<Map>, Failure> {
    let failed = |error: &dyn std::fmt::Display| Failure(error.to_string());
    let dimensions = (part.ranks as u16, part.experts as u16, part.slots as u16);
    let (ranks, experts, slots) = dimensions;
    let layout = Layout::new(ranks, experts, slots).map_err(|error| failed(&error))?;
    let width = slot_bytes(layout.experts());
    let empty_slot = if width == 1 {
        u16::from(u8::MAX)
    } else {
        u16::MAX
    };
    let number = |bytes: &[u8]| {
        bytes
            .iter()
            .rev()
            .fold(0, |sum, byte| sum << 8 | u16::from(*byte))
    };
    let numbers: Vec<u16> = part.held.chunks(width).map(number).collect();
    let mut maps = Vec::new();
    for set in numbers.chunks(layout.ranks() * layout.slots()) {
        let of_rank = |slots: &[u16]| {
            let held = slots.iter().filter(|expert| **expert != empty_slot);
            held.map(|expert| Expert::from(*expert)).collect()
        };
        let ranks: Vec<Vec<Expert>> = set.chunks(layout.slots()).map(of_rank).collect();
        maps.push(Map::from_ranks(layout, &ranks).map_err(|error| failed(&error))?);
    }
    Ok(maps)
}

/// Converts the state of a rank to a status message.
pub fn status(state: &State) -> wire::Status {
    let State {
        group,
        rank,
        size,
        report,
        pace,
        ..
    } = *state;
    wire::Status {
        group,
        epoch: report.epoch,
        rank: rank as u32,
        size: size as u32,
        open: report.open,
        pass: report.pass,
        version: report.version,
        prepared: report.prepared,
        armed: report.armed.map(|armed| wire::Armed {
            version: armed.version,
            pass: armed.pass,
        }),
        held: report.held,
        pace: pace as f32,
        ..Default::default()
    }
}

/// Extracts the report from a status message.
pub fn report(status: &wire::Status) -> Report {
    Report {
        epoch: status.epoch,
        open: status.open,
        pass: status.pass,
        version: status.version,
        prepared: status.prepared,
        armed: status.armed.as_ref().map(|armed| Armed {
            version: armed.version,
            pass: armed.pass,
        }),
        held: status.held,
    }
}
