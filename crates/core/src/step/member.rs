use super::{Action, Number, Report};

/// State of one rank and the rules of its part in steps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    incarnation: u64,
    /// Sorted numbers of the loaded maps.
    loaded: Vec<Number>,
    /// Number that the first rank stamps on its steps; `None` at other ranks.
    stamp: Option<Number>,
    begun: Number,
    in_step: Option<Number>,
}

/// Reason why a rank refuses an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// The map is not loaded.
    #[error("the map is not loaded")]
    NotLoaded,
    /// A newer map is stamped already.
    #[error("map {0} is stamped already")]
    Older(Number),
    /// The map is stamped or used by the step in progress.
    #[error("the map is in use")]
    InUse,
    /// Only the first rank stamps steps.
    #[error("only the first rank stamps steps")]
    NotFirst,
}

impl Member {
    /// Creates the first rank of a group, after a start of its engine.
    pub fn first(incarnation: u64) -> Self {
        Member {
            stamp: Some(Number::INITIAL),
            ..Member::other(incarnation)
        }
    }

    /// Creates another rank of a group, after a start of its engine.
    pub fn other(incarnation: u64) -> Self {
        Member {
            incarnation,
            loaded: vec![Number::INITIAL],
            stamp: None,
            begun: Number::INITIAL,
            in_step: None,
        }
    }

    /// Returns the state for the group controller.
    pub fn report(&self) -> Report {
        Report {
            incarnation: self.incarnation,
            loaded: self.loaded.clone(),
            stamp: self.stamp.unwrap_or_default(),
            begun: self.begun,
        }
    }

    /// Returns whether the map is loaded.
    pub fn holds(&self, map: Number) -> bool {
        self.loaded.binary_search(&map).is_ok()
    }

    /// Carries out an order. The operation is idempotent.
    ///
    /// # Errors
    ///
    /// Fails if the order would let a step mix maps or stall.
    pub fn apply(&mut self, action: Action) -> Result<(), Refused> {
        match action {
            Action::Load(map) => {
                if let Err(position) = self.loaded.binary_search(&map) {
                    self.loaded.insert(position, map);
                }
                Ok(())
            }
            Action::Stamp(map) => self.set_stamp(map),
            Action::Unload(map) => self.unload(map),
        }
    }

    fn set_stamp(&mut self, map: Number) -> Result<(), Refused> {
        let stamp = self.stamp.ok_or(Refused::NotFirst)?;
        if map < stamp {
            return Err(Refused::Older(stamp));
        }
        if !self.holds(map) {
            return Err(Refused::NotLoaded);
        }
        self.stamp = Some(map);
        Ok(())
    }

    fn unload(&mut self, map: Number) -> Result<(), Refused> {
        if self.stamp == Some(map) || self.in_step == Some(map) {
            return Err(Refused::InUse);
        }
        if let Ok(position) = self.loaded.binary_search(&map) {
            self.loaded.remove(position);
        }
        Ok(())
    }

    /// Begins a step at the first rank and returns the number stamped on it.
    ///
    /// Returns `None` at other ranks and while a step is in progress.
    pub fn begin(&mut self) -> Option<Number> {
        if self.in_step.is_some() {
            return None;
        }
        let stamp = self.stamp?;
        self.in_step = Some(stamp);
        self.begun = stamp;
        Some(stamp)
    }

    /// Joins a step; returns `false` if its map is not loaded.
    pub fn join(&mut self, stamp: Number) -> bool {
        if !self.holds(stamp) {
            return false;
        }
        self.in_step = Some(stamp);
        self.begun = stamp;
        true
    }

    /// Returns the map that the rank uses in the step in progress.
    pub fn in_step(&self) -> Option<Number> {
        self.in_step
    }

    /// Ends or aborts the step.
    pub fn end(&mut self) {
        self.in_step = None;
    }
}
