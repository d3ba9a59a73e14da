//! Rules of a rank and plans of the group controller.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::expert::Rank;
use berylgw_core::step::{Action, Group, Member, Number, Order, Progress, Refused, Report};

const MAX_AGE: Duration = Duration::from_millis(1_000);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn number(value: u64) -> Number {
    Number::from(value)
}

fn order(rank: u16, action: Action) -> Order {
    let rank = Rank::from(rank);
    Order { rank, action }
}

fn report(loaded: &[u64], stamp: u64, begun: u64) -> Report {
    Report {
        incarnation: 1,
        loaded: loaded.iter().copied().map(Number::from).collect(),
        stamp: number(stamp),
        begun: number(begun),
    }
}

fn group(reports: &[Report]) -> Group {
    let mut group = Group::new(reports.len(), MAX_AGE);
    for (rank, report) in reports.iter().enumerate() {
        group.report(Rank::from(rank as u16), report.clone(), at(0));
    }
    group
}

#[test]
fn plan_loads_missing() {
    let group = group(&[report(&[0, 1], 0, 0), report(&[0], 0, 0)]);
    let plan = group.plan(number(1), at(0));
    assert_eq!(plan, [order(1, Action::Load(number(1)))]);
    assert_eq!(group.progress(number(1), at(0)), Progress::Loading);
}

#[test]
fn plan_stamps_loaded() {
    let group = group(&[report(&[0, 1], 0, 0), report(&[0, 1], 0, 0)]);
    let plan = group.plan(number(1), at(0));
    assert_eq!(plan, [order(0, Action::Stamp(number(1)))]);
}

// Guards against unloading the map of a step that still waits for a rank.
#[test]
fn plan_keeps_map_until_step_begins() {
    let stamped = group(&[report(&[0, 1], 1, 0), report(&[0, 1], 0, 0)]);
    assert!(stamped.plan(number(1), at(0)).is_empty());
    assert_eq!(stamped.progress(number(1), at(0)), Progress::Stamping);
    let begun = group(&[report(&[0, 1], 1, 1), report(&[1], 0, 1)]);
    let plan = begun.plan(number(1), at(0));
    assert_eq!(plan, [order(0, Action::Unload(number(0)))]);
    let settled = group(&[report(&[1], 1, 1), report(&[1], 0, 1)]);
    assert_eq!(settled.progress(number(1), at(0)), Progress::Settled);
}

// Guards against a controller with an outdated map number that reverts a switch.
#[test]
fn plan_overtaken_target() {
    let group = group(&[report(&[2], 2, 2), report(&[2], 0, 2)]);
    assert!(group.plan(number(1), at(0)).is_empty());
    assert_eq!(group.progress(number(1), at(0)), Progress::Overtaken);
}

// Guards against a stamp based on the report of a rank that no longer responds.
#[test]
fn plan_old_report() {
    let mut group = group(&[report(&[0, 1], 0, 0), report(&[0, 1], 0, 0)]);
    let late = at(1_001);
    assert!(group.plan(number(1), late).is_empty());
    group.report(Rank::from(0), report(&[0, 1], 0, 0), late);
    assert!(group.plan(number(1), late).is_empty());
    assert_eq!(group.progress(number(1), late), Progress::Unknown);
}

// Guards against a late response that replaces a newer one.
#[test]
fn report_out_of_order() {
    let mut group = Group::new(1, MAX_AGE);
    assert!(group.report(Rank::from(0), report(&[0, 1], 0, 0), at(20)));
    assert!(!group.report(Rank::from(0), report(&[0], 0, 0), at(10)));
    let plan = group.plan(number(1), at(20));
    assert_eq!(plan, [order(0, Action::Stamp(number(1)))]);
}

// Guards against a rank that lacks the current map after its restart.
#[test]
fn plan_restarted_rank() {
    let group = group(&[report(&[1], 1, 1), report(&[0], 0, 0)]);
    let plan = group.plan(number(1), at(0));
    let loads = order(1, Action::Load(number(1)));
    let unloads = order(1, Action::Unload(number(0)));
    assert_eq!(plan, [loads, unloads]);
}

#[test]
fn stamp_goes_forward_only() {
    let mut member = Member::first(1);
    assert_eq!(
        member.apply(Action::Stamp(number(1))),
        Err(Refused::NotLoaded)
    );
    member.apply(Action::Load(number(1))).unwrap();
    member.apply(Action::Stamp(number(1))).unwrap();
    let back = member.apply(Action::Stamp(number(0)));
    assert_eq!(back, Err(Refused::Older(number(1))));
    let other = Member::other(1).apply(Action::Stamp(number(0)));
    assert_eq!(other, Err(Refused::NotFirst));
}

#[test]
fn unload_in_use() {
    let mut member = Member::first(1);
    assert_eq!(member.apply(Action::Unload(number(0))), Err(Refused::InUse));
    let mut other = Member::other(1);
    assert!(other.join(number(0)));
    assert_eq!(other.apply(Action::Unload(number(0))), Err(Refused::InUse));
    other.end();
    other.apply(Action::Unload(number(0))).unwrap();
    assert!(!other.join(number(0)));
}
