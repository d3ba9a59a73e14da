use serde::{Deserialize, Serialize};

use super::Counts;

/// Durable form of a [`super::Ledger`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Era of the store in which the record was written.
    pub era: u64,
    /// Lowest window that is not decided, `None` before the first decision.
    pub(super) next: Option<u64>,
    pub(super) windows: Vec<Window>,
    pub(super) processes: Vec<Process>,
}

/// A window that is open, or decided and not given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Window {
    pub window: u64,
    pub decided: bool,
    /// Whether its report was accepted. Its counts are not needed any more then.
    pub accepted: bool,
    pub counts: Counts,
}

/// What the record contains of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Process {
    #[serde(with = "hex")]
    pub process: u64,
    /// Number of the last batch that is part of the windows.
    pub applied: u64,
    pub through: u64,
}

/// Random numbers of 64 bits as text. Programs that read numbers of JSON as floating
/// point would change them.
mod hex {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(value: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{value:016x}"))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        u64::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
