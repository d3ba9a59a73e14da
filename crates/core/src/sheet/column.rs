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

            /// Text in the file.
            pub const fn label(self) -> &'static str {
                match self { $($type::$name => $label),* }
            }

            /// The value with this text, if there is one.
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
        /// Name of the row; in a grant, of the client account.
        Name = "name",
        /// Region.
        Region = "region",
        /// Failure domain.
        Domain = "domain",
        /// Service.
        Service = "service",
        /// Address for callers, or of an agent.
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
        /// Requests a warm backend server can hold.
        Limit = "limit",
        /// Requests a cold backend server can hold.
        ColdLimit = "cold_limit",
        /// Relative share of a client account.
        Weight = "weight",
        /// Requests per second.
        Rate = "rate",
        /// Requests in flight.
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
    /// Columns that a row of this kind may fill, besides `kind`.
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
