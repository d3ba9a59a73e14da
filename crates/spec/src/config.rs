//! Spread of configuration: [`race`] is the contest of operators for the next
//! version, [`spread`] is the way of accepted versions to every process.

pub mod race;
pub mod spread;
