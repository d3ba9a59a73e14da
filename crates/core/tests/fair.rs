//! Weighted fair queueing by client account.

use std::sync::Arc;

use berylgw_core::fair::{Full, Queue};

fn drain(queue: &mut Queue) -> Vec<u64> {
    let mut ids = Vec::new();
    while let Some(item) = queue.pop(|_| true) {
        ids.push(item.id);
    }
    ids
}

/// Guards against shares that do not follow the weights.
#[test]
fn pop_weights() {
    let mut queue = Queue::new(1_000, 1_000);
    let (light, heavy): (Arc<str>, Arc<str>) = ("light".into(), "heavy".into());
    for id in 0..100 {
        queue.push(id, &light, 1).unwrap();
        queue.push(1_000 + id, &heavy, 3).unwrap();
    }
    let first: Vec<u64> = drain(&mut queue).into_iter().take(80).collect();
    let heavy_count = first.iter().filter(|&&id| id >= 1_000).count();
    assert_eq!(heavy_count, 60);
}

/// Guards against starvation of an account whose requests arrive after a flood.
#[test]
fn pop_late_account() {
    let mut queue = Queue::new(1_000, 1_000);
    for id in 0..100 {
        queue.push(id, &"flood".into(), 1).unwrap();
    }
    for _ in 0..10 {
        queue.pop(|_| true);
    }
    queue.push(500, &"late".into(), 1).unwrap();
    let position = drain(&mut queue).iter().position(|&id| id == 500);
    assert!(position.unwrap() <= 1);
}

/// Guards against a queue that grows without bound.
#[test]
fn push_bounds() {
    let mut queue = Queue::new(3, 2);
    queue.push(1, &"a".into(), 1).unwrap();
    queue.push(2, &"a".into(), 1).unwrap();
    assert_eq!(queue.push(3, &"a".into(), 1), Err(Full::Account));
    queue.push(4, &"b".into(), 1).unwrap();
    assert_eq!(queue.push(5, &"c".into(), 1), Err(Full::Total));
    assert!(queue.remove(1));
    assert!(!queue.remove(1));
    queue.push(6, &"c".into(), 1).unwrap();
    assert_eq!(queue.len(), 3);
}
