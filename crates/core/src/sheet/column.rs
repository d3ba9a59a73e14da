//! Columns and row kinds of a sheet.

use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! labels {
    ($(#[$doc:meta])* $type:ident { $($(#[$item:meta])* $name:ident = $label:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum $type {
            $($(#[$item])* #[display($label)] $name,)*
        }

        impl $type {
            /// All values, in the order of the file.
            pub const ALL: &[$type] = &[$($type::$name),*];

            /// Returns the text in the file.
            pub const fn label(self) -> &'static str {
                match self { $($type::$name => $label),* }
            }

            /// Returns the value with this text.
            pub fn from_label(label: &str) -> Option<$type> {
                Self::ALL.iter().copied().find(|value| value.label() == label)
            }
        }
    };
}

labels! {
    /// A column of a sheet.
    Column {
        /// Kind of the row.
        Kind = "kind",
        /// Name of the declared item; in a grant, that of the client account.
        Name = "name",
        /// Region.
        Region = "region",
        /// Failure domain.
        Domain = "domain",
        /// Service.
        Service = "service",
        /// Address of an entry for callers, or of a backend server's agent.
        Address = "address",
        /// Address for other berylgw processes.
        PeerAddress = "peer_address",
        /// Kind of a service.
        Type = "type",
        /// Whether engines check fencing tokens.
        Fencing = "fencing",
        /// Rank group.
        Group = "group",
        /// Index in the rank group.
        Rank = "rank",
        /// Concurrency limit of a warm backend server.
        Limit = "limit",
        /// Concurrency limit of a backend server in cold start.
        ColdLimit = "cold_limit",
        /// Weight of a client account in fair queueing.
        Weight = "weight",
        /// Rate limit of a client account, in requests per second.
        Rate = "rate",
        /// Concurrency limit of a client account.
        Concurrency = "concurrency",
        /// Digest of the bearer token.
        TokenSha256 = "token_sha256",
    }
}

labels! {
    /// What a row declares.
    Kind {
        /// A failure domain.
        Domain = "domain",
        /// An entry host.
        Entry = "entry",
        /// A service.
        Service = "service",
        /// A backend server.
        Server = "server",
        /// A client account.
        Account = "account",
        /// Permission of a client account to use a service.
        Grant = "grant",
    }
}

impl Kind {
    /// Returns the columns besides `kind` that a row of this kind may fill.
    pub const fn columns(self) -> &'static [Column] {
        match self {
            Kind::Domain => &[Column::Name, Column::Region],
            Kind::Entry => &[
                Column::Name,
                Column::Domain,
                Column::Address,
                Column::PeerAddress,
            ],
            Kind::Service => &[Column::Name, Column::Region, Column::Type, Column::Fencing],
            Kind::Server => &[
                Column::Name,
                Column::Service,
                Column::Domain,
                Column::Address,
                Column::Limit,
                Column::ColdLimit,
                Column::Group,
                Column::Rank,
            ],
            Kind::Account => &[
                Column::Name,
                Column::Weight,
                Column::Rate,
                Column::Concurrency,
                Column::TokenSha256,
            ],
            Kind::Grant => &[Column::Name, Column::Service],
        }
    }
}
