//! Platform calls of bookings with ledger keys and with tickets.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use berylgw_core::outcome::Outcome;
use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::{Bench, Options, Result, words};
use crate::client::{Call, Client, Error};
use crate::cluster::Extra;
use crate::load::sheet::{PLAIN, Plan};
use crate::platform::Calls;
use crate::service::Execution;

/// Bookings of each row.
const BOOKINGS: u64 = 1_000;

const IN_FLIGHT: [usize; 3] = [1, 8, 32];

/// Callers during the outage.
const OUTAGE_CALLERS: usize = 8;

/// Time in which the owners write the last completions.
const WRITTEN: Duration = Duration::from_secs(2);

/// Sendings after which a booking is given up on.
const SENDINGS: u32 = 100;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Ledger,
    Ticket,
}

/// Platform calls so far.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    puts: u64,
    gets: u64,
    others: u64,
}

impl Count {
    fn since(self, earlier: Count) -> Count {
        Count {
            puts: self.puts - earlier.puts,
            gets: self.gets - earlier.gets,
            others: self.others - earlier.others,
        }
    }

    fn ledger(self) -> u64 {
        self.puts + self.gets
    }
}

/// What the callers of one row saw.
#[derive(Debug, Default)]
struct Tally {
    taken: AtomicU64,
    done: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
}

impl Tally {
    fn refused(&self, error: &Error) {
        let outcome = error.refusal().map(|refusal| refusal.outcome);
        let counter = match outcome {
            Some(Outcome::NotRun) => &self.not_run,
            _ => &self.unknown,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Counts platform calls of 1,000 bookings, and bookings served in an outage
/// of the platform that lasts for the time of the options.
///
/// # Errors
///
/// Fails if the cluster does not start, a process ends, or a booking ran twice.
pub async fn once(options: &Options) -> Result<()> {
    let extra = Extra {
        service: words("--work-ms 5 --capacity 256"),
        ..Extra::default()
    };
    let plan = Plan {
        entries: 2,
        plain: 2,
        ..Plan::default()
    };
    let bench = Bench::start(&plan, &extra).await?;
    // All partitions get their owner before the first row.
    bench.row(Way::Ledger, "warm", 8).await?;
    let before = bench.count().await?;
    tokio::time::sleep(options.time).await;
    let idle = bench.count().await?.since(before);
    let idle_rate = idle.ledger() as f64 / options.time.as_secs_f64();
    println!("idle: {idle_rate:.1} ledger calls/s of 16 partitions");
    println!(
        "{:<8} {:>9} {:>10} {:>7} {:>7} {:>8} {:>6} {:>6} {:>14} {:>10} {:>7}",
        "way",
        "in flight",
        "bookings/s",
        "p50 ms",
        "p99 ms",
        "refused",
        "puts",
        "gets",
        "of these idle",
        "net / 1000",
        "others",
    );
    for way in [Way::Ledger, Way::Ticket] {
        for in_flight in IN_FLIGHT {
            let name = format!("{way:?}-{in_flight}");
            let start = Instant::now();
            let before = bench.count().await?;
            let (took, times, tally) = bench.row(way, &name, in_flight).await?;
            let calls = bench.count().await?.since(before);
            let idle = idle_rate * start.elapsed().as_secs_f64();
            let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
            println!(
                "{:<8} {in_flight:>9} {:>10.0} {:>7.1} {:>7.1} {:>8} {:>6} {:>6} {idle:>14.0} \
                 {:>10.0} {:>7}",
                format!("{way:?}"),
                BOOKINGS as f64 / took.as_secs_f64(),
                ms(0.5),
                ms(0.99),
                tally.not_run.load(Ordering::Relaxed) + tally.unknown.load(Ordering::Relaxed),
                calls.puts,
                calls.gets,
                (calls.ledger() as f64 - idle) * 1_000.0 / BOOKINGS as f64,
                calls.others,
            );
        }
    }
    for way in [Way::Ledger, Way::Ticket] {
        bench.outage(way, options.time).await?;
    }
    let executions: Vec<Execution> = bench.service()?.get("/executions").await?;
    let twice = executions.iter().filter(|found| found.count > 1).count();
    println!("{} bookings ran, {twice} of them twice", executions.len());
    if twice > 0 {
        return Err("a booking ran more than once".into());
    }
    Ok(())
}

impl Bench {
    fn service(&self) -> Result<&crate::control::Client> {
        let service = self.cluster.fake(PLAIN).ok_or("no fake service")?;
        Ok(&service.control)
    }

    async fn count(&self) -> Result<Count> {
        let control = &self.cluster.platform_fake.control;
        let calls: Vec<Calls> = control.get("/calls").await?;
        let mut count = Count::default();
        for call in calls {
            match (&*call.kind, &*call.verb) {
                ("ledger", "put") => count.puts += call.count,
                ("ledger", _) => count.gets += call.count,
                _ => count.others += call.count,
            }
        }
        Ok(count)
    }

    /// Makes bookings with so many callers, each one until it is done.
    async fn row(
        &self,
        way: Way,
        name: &str,
        in_flight: usize,
    ) -> Result<(Duration, Histogram<u64>, Arc<Tally>)> {
        let tally = Arc::new(Tally::default());
        let start = Instant::now();
        let mut callers = JoinSet::new();
        for _ in 0..in_flight {
            let (clients, tally) = (self.clients(0), tally.clone());
            let name = name.to_owned();
            callers.spawn(async move {
                let mut times = Vec::new();
                loop {
                    let index = tally.taken.fetch_add(1, Ordering::Relaxed);
                    if index >= BOOKINGS {
                        return Ok(times);
                    }
                    let start = Instant::now();
                    let booking = format!("{name}-{index}");
                    finish(&clients, index as usize, way, &booking, &tally).await?;
                    times.push(start.elapsed().as_micros() as u64);
                }
            });
        }
        let mut times = Histogram::new(3)?;
        while let Some(ended) = callers.join_next().await {
            let ended: Result<Vec<u64>> = ended?;
            for time in ended? {
                times.record(time)?;
            }
        }
        let took = start.elapsed();
        tokio::time::sleep(WRITTEN).await;
        Ok((took, times, tally))
    }

    /// Makes new bookings while the platform is down, each sent once.
    async fn outage(&self, way: Way, time: Duration) -> Result<()> {
        let control = &self.cluster.platform_fake.control;
        control.fault(json!({"outage": true})).await?;
        let tally = Arc::new(Tally::default());
        let until = Instant::now() + time;
        let mut callers = JoinSet::new();
        for _ in 0..OUTAGE_CALLERS {
            let (clients, tally) = (self.clients(0), tally.clone());
            callers.spawn(async move {
                while Instant::now() < until {
                    let index = tally.taken.fetch_add(1, Ordering::Relaxed);
                    let booking = format!("outage-{way:?}-{index}");
                    let client = &clients[index as usize % clients.len()];
                    let Err(error) = send(client, way, &booking, 1).await else {
                        tally.done.fetch_add(1, Ordering::Relaxed);
                        continue;
                    };
                    tally.refused(&error);
                    let pause = error.refusal().map(|refusal| refusal.retry_after);
                    tokio::time::sleep(pause.unwrap_or_default()).await;
                }
            });
        }
        callers.join_all().await;
        control.fault(json!({"outage": false})).await?;
        println!(
            "{} s without platform, {OUTAGE_CALLERS} callers, {way:?}: {} bookings, {} served, \
             {} refused with `not run`, {} unknown",
            time.as_secs(),
            tally.taken.load(Ordering::Relaxed),
            tally.done.load(Ordering::Relaxed),
            tally.not_run.load(Ordering::Relaxed),
            tally.unknown.load(Ordering::Relaxed),
        );
        Ok(())
    }
}

async fn send(
    client: &Client,
    way: Way,
    booking: &str,
    sending: u32,
) -> std::result::Result<Value, Error> {
    let ticket = match way {
        Way::Ledger => None,
        Way::Ticket => Some(client.ticket(PLAIN, booking).await?.ticket),
    };
    let call = Call {
        service: PLAIN,
        method: Method::POST,
        path: "bookings",
        key: ticket.is_none().then_some(booking),
        sending: Some(sending),
        ticket: ticket.as_deref(),
        body: json!({ "booking": booking }),
    };
    client.call(call).await
}

/// Sends through one entry after the other until the booking is done. With a
/// ticket, only a sending that was not run is followed by another one.
async fn finish(
    clients: &[Client],
    first: usize,
    way: Way,
    booking: &str,
    tally: &Tally,
) -> Result<()> {
    let mut sending = 1;
    loop {
        let client = &clients[(first + sending as usize) % clients.len()];
        let Err(error) = send(client, way, booking, sending).await else {
            tally.done.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        };
        tally.refused(&error);
        let refusal = error.refusal().cloned();
        let again = refusal.filter(|refusal| {
            let known = way == Way::Ledger || refusal.outcome == Outcome::NotRun;
            known && sending < SENDINGS
        });
        let Some(refusal) = again else {
            return Err(error.into());
        };
        tokio::time::sleep(refusal.retry_after).await;
        sending += 1;
    }
}
