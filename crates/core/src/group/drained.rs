//! Servers that have begun to leave.
//!
//! A server that drains ends; a new process of its name has another start time. A
//! list from an older copy of the store may show it as ready once more.

use std::sync::Arc;

/// Processes that are remembered.
const MAX_PROCESSES: usize = 4_096;

/// Processes that were seen to drain, by id of the server and start time. Those of
/// one id cannot be told apart without a start time, and are not recorded.
///
/// ```
/// use berylgw_core::group::drained::Table;
///
/// let mut table = Table::default();
/// table.record("i-1".into(), Some(1_700));
/// assert!(table.contains("i-1", Some(1_700)));
/// assert!(!table.contains("i-1", Some(1_800)));
/// table.record("i-2".into(), None);
/// assert!(!table.contains("i-2", None));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by process, with the order in which they were recorded.
    processes: Vec<((Arc<str>, u64), u64)>,
    recorded: u64,
}

impl Table {
    /// Records that a process drains.
    pub fn record(&mut self, id: Arc<str>, born: Option<u64>) {
        let Some(born) = born else { return };
        let Err(index) = self.find(&id, born) else {
            return;
        };
        self.processes.insert(index, ((id, born), self.recorded));
        self.recorded += 1;
        if self.processes.len() > MAX_PROCESSES {
            let oldest = self.recorded - MAX_PROCESSES as u64 / 2;
            self.processes.retain(|(_, recorded)| *recorded >= oldest);
        }
    }

    /// Returns whether a process was seen to drain.
    pub fn contains(&self, id: &str, born: Option<u64>) -> bool {
        born.is_some_and(|born| self.find(id, born).is_ok())
    }

    fn find(&self, id: &str, born: u64) -> Result<usize, usize> {
        self.processes
            .binary_search_by(|((known, of), _)| (&**known, *of).cmp(&(id, born)))
    }
}
