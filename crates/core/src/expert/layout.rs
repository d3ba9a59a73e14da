//! Dimensions of a layer.

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};

/// Dimensions of one layer of an expert-parallel group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    ranks: u16,
    experts: u16,
    slots: u16,
}

impl Layout {
    /// Creates a layout of `ranks` ranks with `slots` expert slots each.
    ///
    /// # Errors
    ///
    /// Fails if a dimension is zero, if the slots cannot hold every expert once
    /// or if a rank has more slots than there are experts.
    pub fn new(ranks: u16, experts: u16, slots: u16) -> Result<Self> {
        let invalid = |message: &str| Err(Error::new(Kind::Invalid, "expert layout", message));
        if ranks == 0 || experts == 0 || slots == 0 {
            return invalid("every dimension must be at least 1");
        }
        if u32::from(ranks) * u32::from(slots) < u32::from(experts) {
            return invalid("the slots of all ranks cannot hold every expert");
        }
        if slots > experts {
            return invalid("a rank has more slots than there are experts");
        }
        Ok(Layout {
            ranks,
            experts,
            slots,
        })
    }

    /// Returns the number of ranks.
    pub fn ranks(self) -> usize {
        usize::from(self.ranks)
    }

    /// Returns the number of experts.
    pub fn experts(self) -> usize {
        usize::from(self.experts)
    }

    /// Returns the number of expert slots of each rank.
    pub fn slots(self) -> usize {
        usize::from(self.slots)
    }
}
