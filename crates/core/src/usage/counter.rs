use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::{Batch, COMPLETE_AFTER, Counts, MAX_ACCOUNT_BYTES, Settings, add};

/// Most bytes of the counts of a batch as estimated by [`size`]. A batch is never
/// divided again, and must fit a datagram of 8 KiB beside the sender's load.
const MAX_BATCH_BYTES: usize = 3 << 10;

/// Most counts that are kept in sealed batches, some 10 MB. In the largest fleet an
/// entry seals 50 counts in a second; 250,000 are those of 2,100 accounts in a minute at
/// an entry that every account uses. The limit also holds when true time jumps back and
/// batches do not grow old.
const MAX_KEPT_COUNTS: usize = 250_000;

/// Counts the starts of requests at one entry.
///
/// Sealed batches are kept until their windows are given up, also when they are
/// durable: a store that is restored from a backup may lack them, and the next holder
/// asks for them again.
///
/// ```
/// use berylgw_core::usage::{Counter, Settings};
/// use std::time::Duration;
///
/// let at = Duration::from_secs;
/// let mut counter = Counter::new(Settings { window: at(5), due: at(10) });
/// counter.record(at(1_001), &"growers".into());
/// counter.seal(at(1_002));
/// let batch = counter.after(0).next().expect("a batch was sealed");
/// assert_eq!((batch.number, batch.through), (1, 200));
/// assert_eq!(batch.counts, [(200, "growers".into(), 1)]);
/// ```
#[derive(Clone, Debug)]
pub struct Counter {
    settings: Settings,
    /// Counts that are not sealed, by window, sorted.
    open: Vec<(u64, Counts)>,
    /// Sealed batches with consecutive numbers.
    sealed: VecDeque<Batch>,
    /// Counts in the sealed batches.
    kept: usize,
    /// Number of the last sealed batch.
    last: u64,
    through: u64,
}

impl Counter {
    /// Creates a counter that has counted nothing.
    pub fn new(settings: Settings) -> Self {
        Counter {
            settings,
            open: Vec::new(),
            sealed: VecDeque::new(),
            kept: 0,
            last: 0,
            through: 0,
        }
    }

    /// Adds one start of a request of an account at a true time. Requests without an
    /// account are not metered.
    pub fn record(&mut self, begun: Duration, account: &Arc<str>) {
        if account.is_empty() || account.len() > MAX_ACCOUNT_BYTES {
            return;
        }
        let window = self.settings.window_at(begun);
        let found = self.open.binary_search_by_key(&window, |open| open.0);
        let index = found.unwrap_or_else(|index| {
            self.open.insert(index, (window, Vec::new()));
            index
        });
        add(&mut self.open[index].1, account, 1);
    }

    /// Seals what was counted, if anything was or a window is complete, and drops the
    /// batches whose windows are given up.
    pub fn seal(&mut self, true_now: Duration) {
        let complete = self.settings.first_within(true_now, COMPLETE_AFTER);
        // True time may go back by a little; what is complete stays so.
        let through = self.through.max(complete);
        if !self.open.is_empty() || through != self.through {
            let mut counts = Vec::new();
            let mut bytes = 0;
            for (window, accounts) in std::mem::take(&mut self.open) {
                for (account, starts) in accounts {
                    let size = size(&account);
                    if bytes + size > MAX_BATCH_BYTES {
                        // The windows are complete only with the last of the batches.
                        self.push(self.through, std::mem::take(&mut counts));
                        bytes = 0;
                    }
                    bytes += size;
                    counts.push((window, account, starts));
                }
            }
            self.push(through, counts);
            self.through = through;
        }
        self.drop_old(true_now);
    }

    fn push(&mut self, through: u64, counts: Vec<(u64, Arc<str>, u64)>) {
        self.last += 1;
        self.kept += counts.len();
        self.sealed.push_back(Batch {
            number: self.last,
            through,
            counts,
        });
    }

    fn drop_old(&mut self, true_now: Duration) {
        let kept_from = self
            .settings
            .first_within(true_now, self.settings.give_up());
        while let Some(first) = self.sealed.front() {
            // The counts are sorted by window.
            let newest = first.counts.last().map_or(first.through, |count| count.0);
            if newest >= kept_from && self.kept <= MAX_KEPT_COUNTS {
                break;
            }
            self.kept -= first.counts.len();
            self.sealed.pop_front();
        }
    }

    /// Returns the kept batches with numbers above `number`, oldest first.
    pub fn after(&self, number: u64) -> impl Iterator<Item = &Batch> {
        let skipped = number.saturating_sub(self.dropped());
        self.sealed
            .iter()
            .skip(usize::try_from(skipped).unwrap_or(usize::MAX))
    }

    /// Returns the number of the last sealed batch.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Returns the number of the last batch that is no longer kept.
    pub fn dropped(&self) -> u64 {
        self.last - self.sealed.len() as u64
    }
}

/// Returns an upper bound of the bytes that a count of less than 2^28 starts takes in a
/// datagram.
fn size(account: &str) -> usize {
    account.len() + 12
}
