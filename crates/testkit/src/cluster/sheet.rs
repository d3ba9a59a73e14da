//! Sheets for tests.

/// Name of the rank group in [`rank_group`].
pub const GROUP: &str = "g";

/// A sheet with one rank group and no client accounts.
///
/// `fencing` says what its engines do with old fencing tokens.
pub fn rank_group(entries: usize, ranks: usize, fencing: &str) -> String {
    let mut rows = vec![
        "kind,name,region,domain,service,address,peer_address,type,fencing,group,rank,limit,\
         cold_limit,weight,rate,concurrency,token_sha256"
            .to_owned(),
        "domain,shed,qld,,,,,,,,,,,,,,".to_owned(),
        format!("service,llm,qld,,,,,model,{fencing},,,,,,,,"),
    ];
    // The cluster replaces the addresses; they only have to differ.
    for entry in 0..entries {
        let (port, peer) = (1_000 + entry, 2_000 + entry);
        rows.push(format!(
            "entry,e{entry},,shed,,127.0.0.1:{port},127.0.0.1:{peer},,,,,,,,,,"
        ));
    }
    for rank in 0..ranks {
        let port = 3_000 + rank;
        rows.push(format!(
            "server,llm-{rank},,shed,llm,127.0.0.1:{port},,,,{GROUP},{rank},16,2,,,,"
        ));
    }
    rows.join("\n") + "\n"
}
