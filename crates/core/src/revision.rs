//! Order of the changes of a store that may come back from an older copy.

use serde::{Deserialize, Serialize};

/// Position of a value among the changes of its store.
///
/// The store counts its changes. When it comes back from a copy, it counts on from
/// there and gives numbers again, in a new era: a number alone says nothing. A value
/// that carries a version of its own, which only grows, is ordered by the version
/// first, so that a copy does not take it back.
///
/// ```
/// use berylgw_core::revision::Revision;
///
/// let before = Revision::new(0, 47);
/// let after = Revision::new(1, 46);
/// assert!(after > before);
/// assert!(after.with_step(1) > after && after.with_step(1) < Revision::new(1, 47));
/// assert!(before.with_version(13) > after.with_version(10));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    // Compared in the order of the fields.
    version: u64,
    era: u64,
    number: u64,
    step: u32,
}

impl Revision {
    /// Creates the position of change `number` in `era`.
    pub const fn new(era: u64, number: u64) -> Self {
        Revision {
            version: 0,
            era,
            number,
            step: 0,
        }
    }

    /// Returns the position with the version that the value carries.
    pub const fn with_version(self, version: u64) -> Self {
        Revision { version, ..self }
    }

    /// Returns the position with `step` changes that are not in the store, below that of
    /// its next change. Entries of former versions told such positions.
    pub const fn with_step(self, step: u32) -> Self {
        Revision { step, ..self }
    }

    /// Returns the version that the value carries, 0 if it has none.
    pub const fn version(self) -> u64 {
        self.version
    }

    /// Returns how often the store had come back from a copy.
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Returns the number of the change in its era.
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Returns the number of changes since that are not in the store.
    pub const fn step(self) -> u32 {
        self.step
    }

    /// Returns whether a value is known at all; the default position has none.
    pub const fn is_known(self) -> bool {
        self.number > 0
    }
}

impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Revision::new(0, number)
    }
}
