use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use berylgw_core::clock::Instant;
use berylgw_core::revision::Revision;
use berylgw_core::usage::{Ack, Batch, Counter, MAX_ACCOUNT_BYTES, Settings, Tally};
use berylgw_core::wall::{self, Estimate};
use berylgw_runtime::clock::uptime;
use berylgw_runtime::log::Limiter;
use berylgw_wire::direct as wire;
use prost::Message;

use super::Office;
use super::office::time_of_day;
use crate::config::Configuration;
use crate::metrics::Metrics;

/// Most datagrams with batches in one round. One is enough in a large fleet; an entry
/// that alone serves 6,000 requests/s of 2,100 accounts fills six.
const MAX_DATAGRAMS: usize = 16;

/// Log lines of one kind in a second about counts that cannot be used.
const LINES_PER_SECOND: u32 = 2;

static FAULT_LINES: Limiter = Limiter::new(LINES_PER_SECOND);

/// The entry that holds the duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Its fencing token.
    pub token: u64,
    /// Random number of its process.
    pub incarnation: u64,
    /// Address that it receives datagrams at, `None` if it is this entry.
    pub address: Option<SocketAddr>,
}

/// What this entry knows of its batches at the holder.
#[derive(Debug, Default)]
struct Delivery {
    holder: Option<Holder>,
    /// Whether that holder has answered.
    answered: bool,
    ack: Ack,
}

/// Counts starts of requests and exchanges batches; belongs to the traffic thread.
#[derive(Debug)]
pub struct Meter {
    settings: Settings,
    office: Office,
    counter: RefCell<Counter>,
    estimate: RefCell<Estimate>,
    offset_us: Cell<i64>,
    delivery: RefCell<Delivery>,
    /// Answers to send, one for each address.
    acks: RefCell<Vec<(SocketAddr, wire::UsageAck)>>,
    /// Accounts of the configuration, sorted, and its revision.
    accounts: RefCell<(Option<Revision>, Vec<Arc<str>>)>,
    /// Number of the last batch that is known to be lost.
    lost: Cell<u64>,
}

impl Meter {
    /// Creates a meter that shares the ledger of `office`.
    pub fn new(settings: Settings, office: Office) -> Self {
        let mut estimate = Estimate::default();
        estimate.observe_own(time_of_day(), uptime());
        estimate.update(&[]);
        Meter {
            settings,
            office,
            counter: RefCell::new(Counter::new(settings)),
            offset_us: Cell::new(estimate.offset_us()),
            estimate: RefCell::new(estimate),
            delivery: RefCell::default(),
            acks: RefCell::default(),
            accounts: RefCell::default(),
            lost: Cell::new(0),
        }
    }

    /// Returns the true time since the start of 1970.
    pub fn true_now(&self) -> Duration {
        wall::true_time(uptime(), self.offset_us.get())
    }

    /// Counts the start of a request of an account at a true time.
    pub fn record(&self, begun: Duration, account: &Arc<str>) {
        self.counter.borrow_mut().record(begun, account);
    }

    /// Returns what each datagram tells.
    pub fn head(&self) -> wire::Usage {
        wire::Usage {
            time_of_day_us: time_of_day().as_micros() as u64,
            token: self.office.token(),
            dropped: None,
            window_ms: self.settings.window.as_millis() as u32,
            batches: Vec::new(),
        }
    }

    /// Records the time of day in a datagram of a process that came at `received`, by
    /// the uptime of this host.
    pub fn observe(&self, incarnation: u64, usage: &wire::Usage, received: Instant) {
        let time_of_day = Duration::from_micros(usage.time_of_day_us);
        let mut estimate = self.estimate.borrow_mut();
        estimate.observe(incarnation, time_of_day, received);
    }

    /// Estimates true time again and decides windows if this entry holds the duty.
    /// `live` are the processes of the other live entries that count, and `holder` the
    /// one among them with the highest token.
    pub fn evaluate(
        &self,
        own: u64,
        mut live: Vec<u64>,
        holder: Option<&Holder>,
        metrics: &Metrics,
    ) {
        let mut estimate = self.estimate.borrow_mut();
        estimate.observe_own(time_of_day(), uptime());
        estimate.update(&live);
        self.offset_us.set(estimate.offset_us());
        metrics.clock_lead.set(estimate.own_lead_us() / 1_000);
        let other_token = holder.map(|holder| holder.token);
        self.office.update(estimate.offset_us(), other_token);
        live.push(own);
        let decided = self.office.with_ledger(|ledger, now| {
            let decisions = ledger.decide(now, &live);
            (decisions, ledger.take_tally())
        });
        let Some((decisions, tally)) = decided else {
            return;
        };
        for decision in decisions {
            let complete = decision.missing == 0;
            metrics.count_window(if complete { "complete" } else { "deadline" });
            tracing::info!(
                window = decision.window,
                starts = decision.starts,
                accounts = decision.accounts,
                live = live.len(),
                missing = decision.missing,
                age_ms = decision.age.as_millis() as u64,
                clocks = estimate.clocks(),
                clock_lead_ms = estimate.own_lead_us() / 1_000,
                "usage window decided"
            );
        }
        report_tally(tally, metrics);
    }

    /// Takes the accounts of the configuration at `revision`, to tell unknown ones.
    pub fn know_accounts(&self, revision: Revision, configuration: &Configuration) {
        let mut accounts = self.accounts.borrow_mut();
        if accounts.0 == Some(revision) {
            return;
        }
        let keys = configuration.keys.iter().flatten();
        let mut known: Vec<Arc<str>> = keys.map(|key| key.account.clone()).collect();
        known.sort_unstable();
        known.dedup();
        *accounts = (Some(revision), known);
    }

    /// Seals what was counted, and returns the messages for the holder: its address and
    /// the field of each datagram, whose encoding adds at most `room` bytes where it has
    /// more than one batch. If this entry is the holder, it applies its batches itself.
    pub fn deliver(
        &self,
        own: u64,
        other: Option<Holder>,
        room: usize,
        metrics: &Metrics,
    ) -> Option<(SocketAddr, Vec<wire::Usage>)> {
        let mut counter = self.counter.borrow_mut();
        counter.seal(self.true_now());
        let mut delivery = self.delivery.borrow_mut();
        let own_token = self.office.token().map(|token| Holder {
            token,
            incarnation: own,
            address: None,
        });
        let holder = own_token.into_iter().chain(other);
        let holder = holder.max_by_key(|holder| holder.token);
        if delivery.holder != holder {
            tracing::info!(
                token = holder.as_ref().map(|holder| holder.token),
                address = ?holder.as_ref().and_then(|holder| holder.address),
                is_self = holder.as_ref().is_some_and(|holder| holder.address.is_none()),
                kept = counter.last() - counter.dropped(),
                "holder of the usage duty changed"
            );
            delivery.holder = holder.clone();
            delivery.answered = false;
            // What the former holder had not written is lost with it.
            delivery.ack.received = delivery.ack.durable;
        }
        let dropped = counter.dropped();
        if dropped > delivery.ack.durable.max(self.lost.get()) {
            let from = delivery.ack.durable.max(self.lost.get()) + 1;
            tracing::error!(
                from,
                through = dropped,
                "usage batches given up: no holder took them"
            );
            metrics.count_usage_fault("given_up", dropped + 1 - from);
            self.lost.set(dropped);
        }
        metrics.usage_batches.set(
            counter
                .last()
                .saturating_sub(delivery.ack.durable.max(dropped)) as i64,
        );
        let holder = holder?;
        let Some(address) = holder.address else {
            let ack = self.office.with_ledger(|ledger, _| {
                let mut ack = ledger.dropped(own, dropped);
                for batch in counter.after(ack.received) {
                    ack = ledger.apply(own, batch);
                }
                ack
            });
            delivery.ack = ack.unwrap_or(delivery.ack);
            delivery.answered = true;
            return None;
        };
        if delivery.answered && delivery.ack.durable >= counter.last() {
            return None;
        }
        // Without a batch, a message asks what is durable.
        let mut messages = vec![self.message(dropped)];
        let mut bytes = 0;
        for batch in counter.after(delivery.ack.received) {
            let batch = to_wire(batch);
            let size = batch.encoded_len() + 4;
            if bytes > 0 && bytes + size > room {
                if messages.len() == MAX_DATAGRAMS {
                    break;
                }
                messages.push(self.message(dropped));
                bytes = 0;
            }
            bytes += size;
            if let Some(message) = messages.last_mut() {
                message.batches.push(batch);
            }
        }
        Some((address, messages))
    }

    fn message(&self, dropped: u64) -> wire::Usage {
        wire::Usage {
            dropped: Some(dropped),
            ..self.head()
        }
    }

    /// Returns whether the holder has all batches sealed so far.
    pub fn delivered(&self) -> bool {
        let delivery = self.delivery.borrow();
        let received = delivery.ack.received >= self.counter.borrow().last();
        delivery.holder.is_none() || (delivery.answered && received)
    }

    /// Applies the batches in a datagram of a process if this entry holds the duty. Its
    /// answer is kept for [`Meter::take_acks`].
    pub fn receive(
        &self,
        address: SocketAddr,
        incarnation: u64,
        usage: wire::Usage,
        metrics: &Metrics,
    ) {
        let Some(dropped) = usage.dropped else { return };
        if u128::from(usage.window_ms) != self.settings.window.as_millis() {
            metrics.count_usage_fault("window_length", 1);
            if let Some(suppressed) = FAULT_LINES.admit(std::time::Instant::now()) {
                tracing::warn!(
                    %address, window_ms = usage.window_ms, suppressed,
                    "usage batches dropped: other window length"
                );
            }
            return;
        }
        let batches: Vec<Batch> = usage.batches.into_iter().map(from_wire).collect();
        let ack = self.office.with_ledger(|ledger, _| {
            let mut ack = ledger.dropped(incarnation, dropped);
            let before = ack.received;
            for batch in &batches {
                ack = ledger.apply(incarnation, batch);
            }
            (before, ack)
        });
        let Some((before, ack)) = ack else { return };
        let applied = batches
            .iter()
            .filter(|batch| batch.number > before && batch.number <= ack.received);
        self.report_unknown(address, applied, metrics);
        let answer = wire::UsageAck {
            incarnation,
            received: ack.received,
            durable: ack.durable,
        };
        let mut acks = self.acks.borrow_mut();
        match acks.iter_mut().find(|known| known.0 == address) {
            Some(known) => known.1 = answer,
            None => acks.push((address, answer)),
        }
    }

    /// Counts the starts of accounts that the own configuration lacks. They are part of
    /// the report: the sender's configuration may be newer.
    fn report_unknown<'a>(
        &self,
        address: SocketAddr,
        batches: impl Iterator<Item = &'a Batch>,
        metrics: &Metrics,
    ) {
        let known = &self.accounts.borrow().1;
        let mut starts: u64 = 0;
        let mut first = None;
        for (_, account, count) in batches.flat_map(|batch| &batch.counts) {
            if known.binary_search(account).is_err() {
                starts = starts.saturating_add(*count);
                first = first.or(Some(account));
            }
        }
        let Some(account) = first else { return };
        metrics.count_usage_fault("unknown_account", starts);
        if let Some(suppressed) = FAULT_LINES.admit(std::time::Instant::now()) {
            tracing::warn!(
                %address, account = %account.escape_debug(), starts, suppressed,
                "usage of accounts that the configuration lacks"
            );
        }
    }

    /// Takes the answers to send.
    pub fn take_acks(&self) -> Vec<(SocketAddr, wire::UsageAck)> {
        self.acks.take()
    }

    /// Records the answer of a process, if it is the holder and means this one.
    pub fn acknowledged(&self, own: u64, from: u64, ack: wire::UsageAck) {
        let last = self.counter.borrow().last();
        let mut delivery = self.delivery.borrow_mut();
        let holder = delivery.holder.as_ref().map(|holder| holder.incarnation);
        if ack.incarnation != own || holder != Some(from) || ack.received > last {
            return;
        }
        delivery.answered = true;
        delivery.ack = Ack {
            received: ack.received,
            durable: ack.durable.min(ack.received),
        };
    }
}

fn report_tally(tally: Tally, metrics: &Metrics) {
    let reasons = [
        ("late", tally.late),
        ("future", tally.future),
        ("duplicate", tally.duplicate),
        ("malformed", tally.malformed),
    ];
    for (reason, starts) in reasons {
        metrics.count_usage_fault(reason, starts);
    }
    if tally == Tally::default() {
        return;
    }
    if let Some(suppressed) = FAULT_LINES.admit(std::time::Instant::now()) {
        tracing::warn!(
            late = tally.late,
            future = tally.future,
            duplicate = tally.duplicate,
            malformed = tally.malformed,
            suppressed,
            "starts not added to a usage window"
        );
    }
}

fn to_wire(batch: &Batch) -> wire::UsageBatch {
    let mut windows: Vec<wire::UsageWindow> = Vec::new();
    for (window, account, starts) in &batch.counts {
        let count = wire::UsageCount {
            account: account.to_string(),
            starts: *starts,
        };
        match windows.last_mut() {
            Some(last) if last.number == *window => last.counts.push(count),
            _ => windows.push(wire::UsageWindow {
                number: *window,
                counts: vec![count],
            }),
        }
    }
    wire::UsageBatch {
        number: batch.number,
        through: batch.through,
        windows,
    }
}

fn from_wire(batch: wire::UsageBatch) -> Batch {
    let mut counts = Vec::new();
    for window in batch.windows {
        for count in window.counts {
            // Names that are too long are counted as malformed, and need not be kept.
            let mut account = count.account;
            if account.len() > MAX_ACCOUNT_BYTES {
                account.clear();
            }
            counts.push((window.number, account.into(), count.starts));
        }
    }
    Batch {
        number: batch.number,
        through: batch.through,
        counts,
    }
}
