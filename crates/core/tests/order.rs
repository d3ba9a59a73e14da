//! Queue of the orders to one engine.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::order::{
    Action, Event, Id, Order, Outcome, Post, Progress, Queue, Report, Settings, Task,
};

const MAX_ORDER_TIME: Duration = Duration::from_millis(1_000);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn settings(fencing: bool) -> Settings {
    Settings {
        fencing,
        max_order_time: MAX_ORDER_TIME,
        poll_interval: Duration::from_millis(10),
        capacity: 4,
    }
}

fn id(token: u64, sequence: u64) -> Id {
    Id { token, sequence }
}

fn order(token: u64, sequence: u64) -> Order {
    Order {
        id: id(token, sequence),
        version: 1,
        action: Action::UnloadMap {
            map: sequence.into(),
        },
    }
}

fn report(token: u64, orders: &[(Id, Progress)]) -> Event {
    Event::Read(Some(Report {
        token,
        orders: orders.to_vec(),
    }))
}

/// Returns a queue whose initial wait is over and that has read an empty list of
/// orders at 1 s.
fn ready(fencing: bool) -> Queue {
    let mut queue = Queue::new(settings(fencing), at(0));
    assert_eq!(queue.step(Event::Tick, at(1_000)), [Task::Read]);
    assert!(queue.step(report(0, &[]), at(1_000)).is_empty());
    queue
}

#[test]
fn submit_one_at_a_time() {
    let mut queue = ready(true);
    let first = queue.step(Event::Submit(order(1, 1)), at(1_000));
    assert_eq!(first, [Task::Post(order(1, 1))]);
    assert!(queue.step(Event::Submit(order(1, 2)), at(1_000)).is_empty());
    assert!(
        queue
            .step(Event::Posted(Post::Accepted), at(1_001))
            .is_empty()
    );
    assert_eq!(queue.step(Event::Tick, at(1_011)), [Task::Read]);
    let running = report(1, &[(id(1, 1), Progress::Running)]);
    assert!(queue.step(running, at(1_012)).is_empty());
    assert_eq!(queue.step(Event::Tick, at(1_022)), [Task::Read]);
    let done = queue.step(report(1, &[(id(1, 1), Progress::Done)]), at(1_023));
    let answer = Task::Answer(id(1, 1), Outcome::Done);
    assert_eq!(done, [answer.clone(), Task::Post(order(1, 2))]);
    // The sender lost the response and repeats the order.
    assert_eq!(queue.step(Event::Submit(order(1, 1)), at(1_024)), [answer]);
}

// Guards against carrying out orders of a former role holder after those of its
// successor.
#[test]
fn submit_stale_token() {
    let mut queue = ready(true);
    queue.step(Event::Submit(order(2, 1)), at(1_000));
    queue.step(Event::Submit(order(2, 2)), at(1_000));
    let stale = queue.step(Event::Submit(order(1, 9)), at(1_000));
    assert_eq!(stale, [Task::Answer(id(1, 9), Outcome::Stale(2))]);
    let newer = queue.step(Event::Submit(order(3, 1)), at(1_000));
    assert_eq!(newer, [Task::Answer(id(2, 2), Outcome::Stale(3))]);
}

// Guards against an agent that loses the newest token in a restart.
#[test]
fn submit_stale_token_after_restart() {
    let mut queue = Queue::new(settings(false), at(0));
    queue.step(Event::Tick, at(0));
    queue.step(report(0, &[(id(7, 3), Progress::Done)]), at(0));
    let stale = queue.step(Event::Submit(order(6, 4)), at(0));
    assert_eq!(stale, [Task::Answer(id(6, 4), Outcome::Stale(7))]);
}

// Guards against an order of a former holder that arrives late at an engine that
// ignores tokens.
#[test]
fn submit_new_token_waits() {
    let mut queue = ready(false);
    assert!(queue.step(Event::Submit(order(1, 1)), at(5_000)).is_empty());
    assert_eq!(queue.wake_at(), Some(at(6_000)));
    assert!(queue.step(Event::Tick, at(5_999)).is_empty());
    let tasks = queue.step(Event::Tick, at(6_000));
    assert_eq!(tasks, [Task::Post(order(1, 1))]);
}

// Guards against an order that runs while one posted before the agent's restart is
// still running.
#[test]
fn submit_while_earlier_order_runs() {
    let mut queue = Queue::new(settings(true), at(0));
    queue.step(Event::Submit(order(2, 1)), at(0));
    queue.step(report(1, &[(id(1, 5), Progress::Running)]), at(0));
    let tasks = queue.step(Event::Tick, at(2_000));
    assert_eq!(tasks, [Task::Read]);
    let tasks = queue.step(report(1, &[(id(1, 5), Progress::Done)]), at(2_000));
    assert_eq!(tasks, [Task::Post(order(2, 1))]);
}

// Guards against a race between an operator and rebalancing in which the older
// object wins.
#[test]
fn submit_superseded() {
    let mut queue = ready(true);
    queue.step(Event::Submit(order(1, 1)), at(1_000));
    let older = Order {
        version: 4,
        ..order(1, 2)
    };
    assert!(queue.step(Event::Submit(older), at(1_000)).is_empty());
    let newer = Order {
        version: 5,
        ..order(1, 3)
    };
    let tasks = queue.step(Event::Submit(newer), at(1_000));
    assert_eq!(tasks, [Task::Answer(id(1, 2), Outcome::Superseded(5))]);
    let late = Order {
        version: 4,
        ..order(1, 4)
    };
    let tasks = queue.step(Event::Submit(late), at(1_000));
    assert_eq!(tasks, [Task::Answer(id(1, 4), Outcome::Superseded(5))]);
    // Another part of the engine's state is not affected.
    let other = Order {
        id: id(1, 5),
        version: 1,
        action: Action::LoadModel {
            model: "draft".into(),
        },
    };
    assert!(queue.step(Event::Submit(other), at(1_000)).is_empty());
}

// Guards against treating a lost response as a refusal or as success.
#[test]
fn post_without_answer() {
    let mut queue = ready(true);
    queue.step(Event::Submit(order(1, 1)), at(1_000));
    let tasks = queue.step(Event::Posted(Post::Unknown), at(1_100));
    assert_eq!(tasks, [Task::Read]);
    assert!(queue.step(report(0, &[]), at(1_100)).is_empty());
    let tasks = queue.step(Event::Tick, at(1_110));
    assert_eq!(tasks, [Task::Post(order(1, 1))]);
    let tasks = queue.step(Event::Posted(Post::Unknown), at(1_200));
    assert_eq!(tasks, [Task::Read]);
    let tasks = queue.step(report(1, &[(id(1, 1), Progress::Done)]), at(1_200));
    assert_eq!(tasks, [Task::Answer(id(1, 1), Outcome::Done)]);
}

// Guards against posting the next order while a lost one may still arrive.
#[test]
fn post_without_trace() {
    let mut queue = ready(true);
    queue.step(Event::Submit(order(1, 1)), at(1_000));
    queue.step(Event::Submit(order(1, 2)), at(1_000));
    queue.step(Event::Posted(Post::Unknown), at(2_000));
    let tasks = queue.step(report(0, &[]), at(2_000));
    assert_eq!(tasks, [Task::Answer(id(1, 1), Outcome::Unknown)]);
    assert!(queue.step(Event::Tick, at(2_999)).is_empty());
    let tasks = queue.step(Event::Tick, at(3_000));
    assert_eq!(tasks, [Task::Post(order(1, 2))]);
}

#[test]
fn submit_full_and_reused() {
    let mut queue = ready(true);
    for sequence in 1..=5 {
        queue.step(Event::Submit(order(1, sequence)), at(1_000));
    }
    let full = queue.step(Event::Submit(order(1, 6)), at(1_000));
    assert_eq!(full, [Task::Answer(id(1, 6), Outcome::Full)]);
    let other = Order {
        version: 2,
        ..order(1, 3)
    };
    let reused = queue.step(Event::Submit(other), at(1_000));
    assert_eq!(reused, [Task::Answer(id(1, 3), Outcome::Reused)]);
}
