//! Fairness between client accounts at one backend server, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::admission::{Action, Controller, Decision, Limits, Report, Request};
use berylgw_core::clock::Instant;
use berylgw_core::fair::{Discipline, Queue};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 16;

/// Minimum service time; the server completes about 145 requests per second.
const SERVICE_US: u64 = 100_000;

const RUN_US: u64 = 60_000_000;

/// Requests per second of an account below its fair share of 29.
const RATE_PER_S: f64 = 18.0;

/// Requests per second of the greedy account, 20 times the fair share.
const GREEDY_RATE_PER_S: f64 = 580.0;

const OTHER_ACCOUNTS: usize = 4;

struct Arrival {
    at: u64,
    account: usize,
}

struct AccountResult {
    offered: usize,
    latencies: Vec<u64>,
}

impl AccountResult {
    fn p99(&self) -> u64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        sorted[(sorted.len() * 99) / 100]
    }
}

fn arrivals(rates: &[f64]) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (account, rate) in rates.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(account as u64);
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / rate * 1e6;
            if at >= RUN_US as f64 {
                break;
            }
            arrivals.push(Arrival {
                at: at as u64,
                account,
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Simulates one server under accounts with these request rates.
fn run(discipline: Discipline, rates: &[f64]) -> Vec<AccountResult> {
    let queue = Queue::new(256, 64).with_discipline(discipline);
    let limits = Limits {
        warm: SLOTS,
        cold: SLOTS,
    };
    let mut controller = Controller::new(limits, queue, Duration::ZERO);
    for as_of_ms in [1, 2] {
        let report = Report {
            in_flight: 0,
            cold: false,
            as_of_ms,
        };
        controller.report(Instant::ORIGIN, Instant::ORIGIN, report);
    }
    let accounts: Vec<Arc<str>> = (0..rates.len()).map(|i| format!("a{i}").into()).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(99);
    let arrivals = arrivals(rates);
    let mut results: Vec<AccountResult> = rates
        .iter()
        .map(|_| AccountResult {
            offered: 0,
            latencies: Vec::new(),
        })
        .collect();
    // End, id and start of the requests in flight.
    let mut in_flight: Vec<(u64, u64, u64)> = Vec::new();
    let mut next_index = 0;
    loop {
        in_flight.sort_unstable();
        let next_end = in_flight.first().map_or(u64::MAX, |(end, _, _)| *end);
        let next_arrival = arrivals
            .get(next_index)
            .map_or(u64::MAX, |arrival| arrival.at);
        let now = next_end.min(next_arrival);
        if now == u64::MAX {
            return results;
        }
        if next_end <= next_arrival {
            let (end, id, start) = in_flight.remove(0);
            controller.complete(
                Instant::from_micros(now),
                Duration::from_micros(end - start),
            );
            controller.release(id);
            let arrival = &arrivals[id as usize];
            results[arrival.account].latencies.push(end - arrival.at);
        } else {
            let account = arrivals[next_index].account;
            results[account].offered += 1;
            let request = Request {
                id: next_index as u64,
                account: accounts[account].clone(),
                weight: 1,
                concurrency: 1_000,
                deadline: Instant::from_micros(now + 30_000_000),
                alone: false,
            };
            let decision = controller.offer(Instant::from_micros(now), request);
            assert!(
                account == OTHER_ACCOUNTS
                    || decision == Decision::Queued
                    || discipline == Discipline::Arrival
            );
            next_index += 1;
        }
        for action in controller.advance(Instant::from_micros(now)) {
            if let Action::Run(id) = action {
                in_flight.push((now + SERVICE_US + rng.random_range(0..20_000), id, now));
            }
        }
    }
}

fn rates(greedy: bool) -> Vec<f64> {
    let mut rates = vec![RATE_PER_S; OTHER_ACCOUNTS];
    if greedy {
        rates.push(GREEDY_RATE_PER_S);
    }
    rates
}

/// Guards against one account that starves the others: they keep at least 95% of
/// their goodput, and their p99 is at most 1.5 times that without it.
#[test]
fn fair_greedy_account() {
    let alone = run(Discipline::Fair, &rates(false));
    let contended = run(Discipline::Fair, &rates(true));
    for (alone, contended) in alone.iter().zip(&contended) {
        assert_eq!(alone.offered, contended.offered);
        assert!(contended.latencies.len() * 100 >= alone.latencies.len() * 95);
        let (before, after) = (alone.p99(), contended.p99());
        assert!(after * 2 <= before * 3, "p99 {before} alone, {after}");
    }
}

/// Guards against a load that is too low for the test above: first come, first
/// served must fail its bounds.
#[test]
fn arrival_greedy_account() {
    let alone = run(Discipline::Arrival, &rates(false));
    let contended = run(Discipline::Arrival, &rates(true));
    let kept = alone.iter().zip(&contended).all(|(alone, contended)| {
        let goodput = contended.latencies.len() * 100 >= alone.latencies.len() * 95;
        goodput && contended.p99() * 2 <= alone.p99() * 3
    });
    assert!(!kept);
}
