//! Wire form of the shares of permits by priority and account.

use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::group::retry_after::{MAX_REPORTED_RETURNS, Return};
use berylgw_core::group::share::{
    Class, Cutoff, MAX_REPORTED_ACCOUNTS, MAX_REPORTED_CLASSES, Report, Turn,
};
use berylgw_wire::direct as wire;

/// Highest rate that is believed, in requests per second: more than all entries of the
/// largest fleet serve.
const MAX_PER_SECOND: f64 = 1e6;

/// Most services in a datagram.
const MAX_SERVICES: usize = 8;

/// Converts the shares of one service to their wire form.
pub fn to_wire(service: u32, now: Instant, report: Report, returns: Vec<Return>) -> wire::Share {
    let demand = report.demand.into_iter();
    let demand = demand.map(|(class, per_second)| wire::Demand {
        class: Some(class_to_wire(class)),
        per_second: per_second as f32,
    });
    let uses = report.accounts.into_iter();
    let uses = uses.map(|(account, per_second)| wire::Use {
        account,
        per_second: per_second as f32,
    });
    let returns = returns.into_iter().map(|refused| wire::Return {
        digest: refused.digest,
        due_ms: refused.due.since(now).as_millis() as u32,
        reserved: refused.reserved,
    });
    wire::Share {
        service,
        demand: demand.collect(),
        admitted_per_second: report.admitted as f32,
        uses: uses.collect(),
        cutoff: report.cutoff.map(|cutoff| class_to_wire(cutoff.class)),
        cutoff_part: report.cutoff.map_or(0.0, |cutoff| cutoff.part as f32),
        returns: returns.collect(),
    }
}

/// Converts the shares in a datagram. Numbers that no entry sends are left out.
pub fn reports(shares: &[wire::Share]) -> Vec<(u32, Report)> {
    let reports = shares.iter().take(MAX_SERVICES).map(|share| {
        let demand = share.demand.iter().take(MAX_REPORTED_CLASSES);
        let demand = demand.filter_map(|demand| {
            let class = class_from_wire(demand.class?)?;
            Some((class, rate(demand.per_second)?))
        });
        let uses = share.uses.iter().take(MAX_REPORTED_ACCOUNTS);
        let uses = uses.filter_map(|use_| Some((use_.account, rate(use_.per_second)?)));
        let part = f64::from(share.cutoff_part);
        let cutoff = share.cutoff.and_then(class_from_wire);
        let cutoff = cutoff.filter(|_| (0.0..=1.0).contains(&part));
        let report = Report {
            demand: demand.collect(),
            admitted: rate(share.admitted_per_second).unwrap_or(0.0),
            accounts: uses.collect(),
            cutoff: cutoff.map(|class| Cutoff { class, part }),
        };
        (share.service, report)
    });
    reports.collect()
}

/// Returns the refused clients in the shares of a datagram, with their service.
pub fn returns(now: Instant, shares: &[wire::Share]) -> Vec<(u32, Return)> {
    let shares = shares.iter().take(MAX_SERVICES);
    let returns = shares.flat_map(|share| {
        let returns = share.returns.iter().take(MAX_REPORTED_RETURNS);
        returns.map(|refused| {
            let due = now + Duration::from_millis(refused.due_ms.into());
            let known = Return {
                digest: refused.digest,
                due,
                reserved: refused.reserved,
            };
            (share.service, known)
        })
    });
    returns.collect()
}

fn rate(per_second: f32) -> Option<f64> {
    let rate = f64::from(per_second);
    (0.0..=MAX_PER_SECOND).contains(&rate).then_some(rate)
}

fn class_to_wire(class: Class) -> wire::Class {
    wire::Class {
        flooding: class.flooding,
        priority: class.priority,
        turn: match class.turn {
            Turn::Returning => 0,
            Turn::InTime => 1,
            Turn::Late => 2,
        },
    }
}

fn class_from_wire(class: wire::Class) -> Option<Class> {
    let turn = match class.turn {
        0 => Turn::Returning,
        1 => Turn::InTime,
        2 => Turn::Late,
        _ => return None,
    };
    Some(Class {
        flooding: class.flooding,
        priority: class.priority,
        turn,
    })
}
