//! Placement computed from scratch.

use super::{Expert, Layout, Load, Map, Rank};

/// Places replicas by load.
///
/// Spare slots go to the experts with the most load per replica, one at a time;
/// then replicas are packed, heaviest first, onto the least loaded rank that has
/// a free slot and does not hold the expert yet.
pub fn place(layout: Layout, load: &Load) -> Map {
    let mut pending = replicate(layout, load);
    pending.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.expert.cmp(&b.expert)));
    let mut map = Map::empty(layout);
    let mut loads = vec![0.0; layout.ranks()];
    for replica in pending {
        let Some(rank) = least_loaded(&map, &loads, replica.expert) else {
            continue;
        };
        map.insert(rank, replica.expert);
        loads[rank.index()] += replica.load;
    }
    place_missing(&mut map);
    map
}

/// One replica to be placed.
struct Replica {
    expert: Expert,
    load: f64,
}

fn replicate(layout: Layout, load: &Load) -> Vec<Replica> {
    let mut counts = vec![1_usize; layout.experts()];
    let spare = layout.ranks() * layout.slots() - layout.experts();
    for _ in 0..spare {
        let share = |expert: &Expert| load.of(*expert) / counts[expert.index()] as f64;
        let open = Expert::all(layout).filter(|expert| counts[expert.index()] < layout.ranks());
        let Some(hottest) = open.max_by(|a, b| share(a).total_cmp(&share(b))) else {
            break;
        };
        counts[hottest.index()] += 1;
    }
    let mut replicas = Vec::with_capacity(layout.ranks() * layout.slots());
    for expert in Expert::all(layout) {
        let count = counts[expert.index()];
        let share = load.of(expert) / count as f64;
        replicas.extend((0..count).map(|_| Replica {
            expert,
            load: share,
        }));
    }
    replicas
}

fn least_loaded(map: &Map, loads: &[f64], expert: Expert) -> Option<Rank> {
    Rank::all(map.layout())
        .filter(|&rank| map.has_room(rank) && !map.holds(rank, expert))
        .min_by(|a, b| loads[a.index()].total_cmp(&loads[b.index()]))
}

/// Places experts that were not packed because every rank with a free slot held
/// them already.
fn place_missing(map: &mut Map) {
    let layout = map.layout();
    let missing: Vec<Expert> = Expert::all(layout)
        .filter(|&expert| map.replicas(expert) == 0)
        .collect();
    for expert in missing {
        let free = Rank::all(layout).find(|&rank| map.has_room(rank));
        let rank = match free {
            Some(rank) => rank,
            None => evict(map),
        };
        map.insert(rank, expert);
    }
}

/// Removes one replica of the most replicated expert and returns its rank.
fn evict(map: &mut Map) -> Rank {
    let layout = map.layout();
    let victim = Expert::all(layout).max_by_key(|&expert| map.replicas(expert));
    let victim = victim.unwrap_or(Expert::from(0));
    let holder = Rank::all(layout).find(|&rank| map.holds(rank, victim));
    let holder = holder.unwrap_or(Rank::from(0));
    map.remove(holder, victim);
    holder
}
