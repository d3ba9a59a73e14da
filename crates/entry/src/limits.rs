//! Rate and concurrency limits of client accounts at one entry.

use std::sync::Arc;
use std::time::Duration;

use berylgw_core::client::Account;
use berylgw_core::clock::Instant;
use berylgw_core::outcome::{Reason, Refusal};

const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Usage by account, sorted by name.
#[derive(Debug, Default)]
pub struct Limits {
    usages: Vec<Usage>,
}

#[derive(Debug)]
struct Usage {
    account: Arc<str>,
    tokens: f64,
    refilled: Instant,
    in_flight: u32,
}

impl Limits {
    /// Admits a request or returns the refusal; the account's limits are divided
    /// among `entries`.
    pub fn admit(&mut self, account: &Account, entries: u32, now: Instant) -> Result<(), Refusal> {
        let entries = entries.max(1);
        let rate = f64::from(account.rate) / f64::from(entries);
        // The burst is not divided: a caller uses one entry at a time, so its
        // first second of requests must fit into the burst of one entry.
        let burst = f64::from(account.rate).max(1.0);
        let usage = self.usage(account, burst, now);
        let gained = now.since(usage.refilled).as_secs_f64() * rate;
        usage.tokens = (usage.tokens + gained).min(burst);
        usage.refilled = usage.refilled.max(now);
        if usage.in_flight >= account.concurrency.div_ceil(entries) {
            return Err(Refusal::not_run(
                Reason::ConcurrencyLimited,
                CONCURRENCY_RETRY_AFTER,
            ));
        }
        if usage.tokens < 1.0 || account.rate == 0 {
            let wait = ((1.0 - usage.tokens) / rate.max(0.001)).clamp(0.001, 60.0);
            let wait = Duration::from_secs_f64(wait);
            return Err(Refusal::not_run(Reason::RateLimited, wait));
        }
        usage.tokens -= 1.0;
        usage.in_flight += 1;
        Ok(())
    }

    /// Releases the concurrency slot of an admitted request.
    pub fn release(&mut self, account: &str) {
        let by_name = |usage: &Usage| (*usage.account).cmp(account);
        if let Ok(index) = self.usages.binary_search_by(by_name) {
            let usage = &mut self.usages[index];
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    fn usage(&mut self, account: &Account, burst: f64, now: Instant) -> &mut Usage {
        let by_name = |usage: &Usage| usage.account.cmp(&account.name);
        let index = match self.usages.binary_search_by(by_name) {
            Ok(index) => index,
            Err(index) => {
                let usage = Usage {
                    account: account.name.clone(),
                    tokens: burst,
                    refilled: now,
                    in_flight: 0,
                };
                self.usages.insert(index, usage);
                index
            }
        };
        &mut self.usages[index]
    }
}
