//! Configuration protocols: [`race`] models concurrent updates of the sheet by
//! several operators, [`propagation`] the distribution of accepted versions to every
//! process, and [`parts`] the storage of sheets that are too large for one object.

pub mod parts;
pub mod propagation;
pub mod race;
