//! Spread of configuration: [`race`] is the contest of operators for the next
//! version, [`spread`] the way of accepted versions to every process, and
//! [`parts`] the storage of sheets that are too large for one object.

pub mod parts;
pub mod race;
pub mod spread;
