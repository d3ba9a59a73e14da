//! Reduced sheets for load.

use berylgw_core::client::token_digest;

/// Name of the model service.
pub const MODEL: &str = "load-llm";

/// Name of the plain service.
pub const PLAIN: &str = "load-app";

const COLUMNS: &str = "kind,name,region,domain,service,address,peer_address,type,fencing,group,\
                       rank,limit,cold_limit,weight,rate,concurrency,token_sha256";

/// What a reduced sheet declares, all in one region.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Failure domains, over which entries and backend servers are spread.
    pub domains: usize,
    /// Entry hosts.
    pub entries: usize,
    /// Backend servers of the model service, each a rank group of its own, so
    /// that one can be slow without the others.
    pub models: usize,
    /// Backend servers of the plain service.
    pub plain: usize,
    /// Requests that a warm backend server holds.
    pub limit: u32,
    /// Requests that a cold backend server holds.
    pub cold_limit: u32,
    /// Client accounts of weight 1.
    pub accounts: usize,
    /// Requests per second of each client account.
    pub rate: u32,
    /// Requests in flight of each client account.
    pub concurrency: u32,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            domains: 1,
            entries: 1,
            models: 1,
            plain: 1,
            limit: 256,
            cold_limit: 256,
            accounts: 4,
            rate: 100_000,
            concurrency: 10_000,
        }
    }
}

/// Name of the failure domain with this index.
pub fn domain(index: usize) -> String {
    format!("domain-{index}")
}

/// Name of the client account with this index.
pub fn account(index: usize) -> String {
    format!("account-{index}")
}

/// Bearer token of the client account with this index.
pub fn token(index: usize) -> String {
    format!("{}-token", account(index))
}

impl Plan {
    /// The sheet; its addresses are replaced when a cluster starts.
    pub fn render(&self) -> String {
        let mut rows = vec![
            COLUMNS.to_owned(),
            format!("service,{MODEL},load,,,,,model,ignored,,,,,,,,"),
            format!("service,{PLAIN},load,,,,,plain,ignored,,,,,,,,"),
        ];
        for index in 0..self.domains {
            rows.push(format!("domain,{},load,,,,,,,,,,,,,,", domain(index)));
        }
        let place = |index: usize| domain(index % self.domains.max(1));
        let mut port = 10_000;
        let mut address = || {
            port += 1;
            format!("127.0.0.1:{port}")
        };
        for index in 0..self.entries {
            let (callers, peers) = (address(), address());
            rows.push(format!(
                "entry,entry-{index},,{},,{callers},{peers},,,,,,,,,,",
                place(index)
            ));
        }
        let limits = format!("{},{}", self.limit, self.cold_limit);
        for index in 0..self.models {
            let address = address();
            rows.push(format!(
                "server,llm-{index},,{},{MODEL},{address},,,,group-{index},0,{limits},,,,",
                place(index)
            ));
        }
        for index in 0..self.plain {
            let address = address();
            rows.push(format!(
                "server,app-{index},,{},{PLAIN},{address},,,,,,{limits},,,,",
                place(index)
            ));
        }
        for index in 0..self.accounts {
            let (name, digest) = (account(index), token_digest(&token(index)));
            let (rate, concurrency) = (self.rate, self.concurrency);
            rows.push(format!(
                "account,{name},,,,,,,,,,,,1,{rate},{concurrency},{digest}"
            ));
            for service in [MODEL, PLAIN] {
                rows.push(format!("grant,{name},,,{service},,,,,,,,,,,,"));
            }
        }
        rows.join("\n") + "\n"
    }
}
