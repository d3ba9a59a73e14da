//! Placement by a balanced block design.
//!
//! In a balanced incomplete block design every two elements occur together in
//! equally many blocks. With ranks as elements and experts as blocks, every two
//! ranks share equally many experts, so the load of a hot rank's experts is
//! spread evenly over all others. The blocks follow the ring construction in
//! Schwabe and Sutherland, "Efficient Data Mappings for Parity-Declustered Data
//! Layouts" (2002): block `(y, x)` holds the elements `y * (g_j - g_0) + x`.

use super::{Expert, Layout, Load, Map, Rank};
use crate::error::{Error, Kind, Result};

/// Places `replicas` replicas of each expert by a ring-based block design,
/// without looking at the load.
///
/// The integers modulo the number of ranks serve as the ring, with consecutive
/// generators; blocks in which an element would occur twice are passed over.
///
/// # Errors
///
/// Fails if the slots cannot hold `replicas` replicas of each expert.
pub fn place(layout: Layout, replicas: usize) -> Result<Map> {
    let needed = layout.experts() * replicas;
    if replicas == 0 || replicas > layout.ranks() || needed > layout.ranks() * layout.slots() {
        return Err(Error::new(
            Kind::Invalid,
            "replicas",
            "the slots cannot hold them",
        ));
    }
    let mut map = Map::empty(layout);
    let mut blocks = Blocks::new(layout.ranks(), replicas);
    for expert in Expert::all(layout) {
        let block = blocks.next_with_room(&map);
        for rank in block {
            map.insert(rank, expert);
        }
    }
    Ok(map)
}

/// Fills the slots that a design left free with further replicas of the most
/// loaded experts.
pub fn fill(map: &mut Map, load: &Load) {
    let layout = map.layout();
    for rank in Rank::all(layout) {
        while map.has_room(rank) {
            let share = |expert: &Expert| load.of(*expert) / map.replicas(*expert) as f64;
            let open = Expert::all(layout).filter(|&expert| !map.holds(rank, expert));
            let Some(expert) = open.max_by(|a, b| share(a).total_cmp(&share(b))) else {
                break;
            };
            map.insert(rank, expert);
        }
    }
}

/// The blocks of the design, in an order that uses every rank equally often.
struct Blocks {
    ranks: usize,
    size: usize,
    next: usize,
}

impl Blocks {
    fn new(ranks: usize, size: usize) -> Self {
        Blocks {
            ranks,
            size,
            next: 0,
        }
    }

    /// The next block whose ranks all have a free slot, or else the ranks with
    /// the most free slots.
    fn next_with_room(&mut self, map: &Map) -> Vec<Rank> {
        let count = self.ranks * self.ranks.saturating_sub(1).max(1);
        for _ in 0..count {
            let block = self.block(self.next);
            self.next = (self.next + 1) % count;
            if block.len() == self.size && block.iter().all(|&rank| map.has_room(rank)) {
                return block;
            }
        }
        let mut ranks: Vec<Rank> = Rank::all(map.layout()).collect();
        ranks.sort_by_key(|&rank| map.experts(rank).len());
        ranks.truncate(self.size);
        ranks
    }

    /// Block `(y, x)` with `y = 1 + number / ranks` and `x = number % ranks`,
    /// without repeated ranks.
    fn block(&self, number: usize) -> Vec<Rank> {
        let (y, x) = (1 + number / self.ranks, number % self.ranks);
        let mut block: Vec<Rank> = (0..self.size)
            .map(|j| Rank::from(((y * j + x) % self.ranks) as u16))
            .collect();
        block.sort_unstable();
        block.dedup();
        block
    }
}
