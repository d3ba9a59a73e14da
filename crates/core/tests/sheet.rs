//! Parsing, writing and comparing sheets.

use std::fmt::Write;

use berylgw_core::sheet::{Column, diff, parse, write};
use expect_test::{Expect, expect};
use proptest::prelude::*;

const HEADER: &str = "kind,name,region,domain,service,address,peer_address,type,fencing,group,\
                      rank,limit,cold_limit,weight,rate,concurrency,token_sha256\n";

const EXAMPLE: &str = include_str!("../../../examples/sheet.csv");

const DIGEST: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

fn check(rows: &str, expected: Expect) {
    let findings = parse(&format!("{HEADER}{rows}")).expect_err("the sheet has findings");
    let mut text = String::new();
    for finding in findings {
        writeln!(text, "{finding}").unwrap();
    }
    expected.assert_eq(&text);
}

#[test]
fn parse_example() {
    // Guards against an example sheet that cannot be applied.
    let sheet = parse(EXAMPLE).unwrap();
    assert_eq!(sheet.domains.len(), 6);
    assert_eq!(sheet.entries.len(), 14);
    assert_eq!(sheet.servers.len(), 38);
    assert_eq!(sheet.accounts.len(), 20);
    let account = &sheet.accounts[0];
    let digest = berylgw_core::client::token_digest(&format!("{}-token", account.name));
    assert!(account.accepts(&digest));
}

#[test]
fn parse_values() {
    check(
        "domain,wash shed,north,,,,,,,,,,,,,,\n\
         entry,e1,,wash-shed,,127.0.0.1:0,nowhere,,,,,,,,,,\n\
         service,s1,north,,,,,fancy,,,,,,,,,\n\
         server,w1,,a,s1,127.0.0.1:1,,,,,,8,9,,,,\n\
         server,w2,,a,s1,127.0.0.1:2,,,,g,-1,+8,0,,,,\n\
         account,a1,,,,,,,,,,,,0,4294967296,,secret\n",
        expect![[r#"
            row 2, column name: bad name "wash shed": use up to 64 letters, digits, '-', '_' and '.', starting with a letter or digit
            row 3, column address: bad address "127.0.0.1:0": expected IP:PORT with a specific IP address and a port above 0
            row 3, column domain: unknown domain "wash-shed": add a row for it or correct its row
            row 3, column peer_address: bad address "nowhere": expected IP:PORT with a specific IP address and a port above 0
            row 4, column fencing: missing value
            row 4, column type: bad value "fancy": expected model or plain
            row 5, column cold_limit: 9 is above limit 8
            row 5, column domain: unknown domain "a": add a row for it or correct its row
            row 6, column cold_limit: bad number "0": expected a whole number from 1 to 4294967295
            row 6, column domain: unknown domain "a": add a row for it or correct its row
            row 6, column limit: bad number "+8": expected a whole number from 1 to 4294967295
            row 6, column rank: bad number "-1": expected a whole number from 0 to 4294967295
            row 7, column concurrency: missing value
            row 7, column rate: bad number "4294967296": expected a whole number from 1 to 4294967295
            row 7, column token_sha256: bad digest: expected the SHA-256 of the token, 64 lower-case hex digits
            row 7, column weight: bad number "0": expected a whole number from 1 to 4294967295
        "#]],
    );
}

#[test]
fn parse_duplicates() {
    check(
        &format!(
            "domain,a,north,,,,,,,,,,,,,,\n\
             domain,a,north,,,,,,,,,,,,,,\n\
             service,s1,north,,,,,plain,,,,,,,,,\n\
             entry,h1,,a,,127.0.0.1:1,127.0.0.1:2,,,,,,,,,,\n\
             server,h1,,a,s1,127.0.0.1:2,,,,,,8,2,,,,\n\
             account,a1,,,,,,,,,,,,1,1,1,{DIGEST}\n\
             account,a2,,,,,,,,,,,,1,1,1,{DIGEST}\n\
             grant,a1,,,s1,,,,,,,,,,,,\n\
             grant,a1,,,s1,,,,,,,,,,,,\n"
        ),
        expect![[r#"
            row 3, column name: duplicate name "a", first in row 2
            row 6, column address: duplicate address 127.0.0.1:2, also in row 5
            row 6, column name: duplicate name "h1", first in row 5
            row 8, column token_sha256: duplicate token, first in row 7
            row 10, column name: duplicate grant, first in row 9
        "#]],
    );
}

#[test]
fn parse_references() {
    check(
        "domain,a,north,,,,,,,,,,,,,,\n\
         domain,b,south,,,,,,,,,,,,,,\n\
         service,s1,north,,,,,plain,,,,,,,,,\n\
         service,s2,east,,,,,plain,,,,,,,,,\n\
         server,w1,,b,s1,127.0.0.1:1,,,,,,8,2,,,,\n\
         server,w2,,c,s3,127.0.0.1:2,,,,,,8,2,,,,\n\
         grant,a1,,,s3,,,,,,,,,,,,\n",
        expect![[r#"
            row 5, column region: region "east" has no failure domain
            row 6, column domain: failure domain "b" is in region "south", service "s1" in region "north"
            row 7, column domain: unknown domain "c": add a row for it or correct its row
            row 7, column service: unknown service "s3": add a row for it or correct its row
            row 8, column name: unknown account "a1": add a row for it or correct its row
            row 8, column service: unknown service "s3": add a row for it or correct its row
        "#]],
    );
}

#[test]
fn parse_ranks() {
    check(
        "domain,a,north,,,,,,,,,,,,,,\n\
         service,s1,north,,,,,model,ignored,,,,,,,,\n\
         service,s2,north,,,,,model,ignored,,,,,,,,\n\
         service,s3,north,,,,,plain,,,,,,,,,\n\
         server,w1,,a,s1,127.0.0.1:1,,,,g,1,8,2,,,,\n\
         server,w2,,a,s1,127.0.0.1:2,,,,g,1,8,2,,,,\n\
         server,w3,,a,s2,127.0.0.1:3,,,,g,4,8,2,,,,\n\
         server,w4,,a,s3,127.0.0.1:4,,,,h,0,8,2,,,,\n\
         server,w5,,a,s1,127.0.0.1:5,,,,,0,8,2,,,,\n\
         server,w6,,a,s1,127.0.0.1:6,,,,i,2,x,2,,,,\n\
         server,w7,,a,s1,127.0.0.1:7,,,,i,3,8,2,,,,\n",
        expect![[r#"
            row 6, column rank: gap in group "g": rank 0 is missing before 1
            row 7, column rank: duplicate rank 1 in group "g", also in row 6
            row 8, column group: group "g" also has servers of service "s1"
            row 8, column rank: gap in group "g": rank 2 is missing before 4
            row 9, column group: a backend server of a plain service has no rank group
            row 10, column group: missing value
            row 11, column limit: bad number "x": expected a whole number from 1 to 4294967295
        "#]],
    );
}

#[test]
fn parse_broken_row_referenced() {
    // Guards against findings that are only consequences of one in another row.
    check(
        "domain,a,north,,,127.0.0.1:1,,,,,,,,,,,\n\
         service,s1,north,,,,,odd,,,,,,,,,\n\
         server,w1,,a,s1,127.0.0.1:1,,,,,,8,2,,,,\n",
        expect![[r#"
            row 2, column address: superfluous value: a domain row leaves this empty
            row 3, column fencing: missing value
            row 3, column type: bad value "odd": expected model or plain
        "#]],
    );
}

#[test]
fn parse_kinds_and_width() {
    check(
        "rack,r1,,,,,,,,,,,,,,,\n\
         ,r1,,,,,,,,,,,,,,,\n\
         domain,a\n\
         domain,b,north,,,,,,,,,,,,,,,extra\n",
        expect![[r##"
            row 2, column kind: unknown kind "rack"
            row 3, column kind: missing value
            row 4, column region: missing value
            row 5, column #18: superfluous value: a domain row leaves this empty
        "##]],
    );
}

#[test]
fn parse_header() {
    let findings = parse("kind,name,name,colour,\ndomain,a,,,\n").unwrap_err();
    let first: Vec<String> = findings.iter().take(3).map(ToString::to_string).collect();
    assert_eq!(first[0], "row 1, column #5: unknown column");
    assert_eq!(first[1], "row 1, column address: missing column");
    assert!(findings.iter().any(|finding| &*finding.column == "colour"));
    assert!(
        findings
            .iter()
            .any(|finding| &*finding.message == "duplicate column")
    );
    assert!(parse("").is_err());
    assert!(parse(HEADER).is_err());
}

#[test]
fn parse_line_numbers_with_blank_lines() {
    // Guards against wrong line numbers in a file with CR LF, blank lines or rows
    // of empty values, as exported by spreadsheets.
    let header = HEADER.trim_end();
    for end in ["\n", "\r\n"] {
        let text =
            format!("\u{feff}{header}{end}{end},,,{end}domain,a,n{end}{end}{end}rack,r{end}");
        let findings = parse(&text).unwrap_err();
        assert_eq!(findings.len(), 1);
        assert_eq!(findings[0].row, 7, "line end {end:?}");
    }
}

#[test]
fn parse_spreadsheet_export() {
    // Spreadsheets add a byte order mark, CR LF and spaces, and reorder columns.
    let text = EXAMPLE.replace('\n', "\r\n").replace(',', " , ");
    assert_eq!(parse(&format!("\u{feff}{text}")), parse(EXAMPLE));
    let reordered: String = EXAMPLE
        .lines()
        .map(|line| {
            let mut values: Vec<&str> = line.split(',').collect();
            values.reverse();
            values.join(",") + "\n"
        })
        .collect();
    assert_eq!(parse(&reordered), parse(EXAMPLE));
}

#[test]
fn diff_rows() {
    let old = parse(EXAMPLE).unwrap();
    let text = EXAMPLE
        .replace(
            "contractor-okafor,,,,,,,,,,,,2,",
            "contractor-okafor,,,,,,,,,,,,3,",
        )
        .replace("grant,driver-route-1,,,yard-app,,,,,,,,,,,,\n", "")
        + "domain,spare,qld-south,,,,,,,,,,,,,,\n";
    let new = parse(&text).unwrap();
    let changes: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    expect![[r#"
        + domain spare
        ~ account contractor-okafor: weight 2 -> 3
        - grant driver-route-1/yard-app"#]]
    .assert_eq(&changes.join("\n"));
    assert!(diff(&old, &old).is_empty());
}

/// Generates lines that resemble rows of a sheet, to reach most code paths.
fn line() -> impl Strategy<Value = String> {
    let value = prop_oneof![
        Just(String::new()),
        Just(DIGEST.to_owned()),
        "(domain|entry|service|server|account|grant)",
        "(model|plain|enforced|ignored)",
        "[ab]",
        "[0-9]{1,11}",
        "127\\.0\\.0\\.[0-9]:[0-9]{1,5}",
        "[\"\r\n, é#-]{0,3}",
    ];
    prop::collection::vec(value, 1..19).prop_map(|values| values.join(","))
}

fn assert_located(text: &str) -> Result<(), TestCaseError> {
    let Err(findings) = parse(text) else {
        return Ok(());
    };
    let lines = 1 + text.matches(['\n', '\r']).count() as u64;
    prop_assert!(!findings.is_empty());
    for finding in findings {
        prop_assert!((1..=lines).contains(&finding.row), "{finding}");
        let label = &*finding.column;
        let known = Column::from_label(label).is_some();
        let header = text.lines().next().unwrap_or_default();
        let unknown = label.starts_with('#') || header.contains(label);
        prop_assert!(known || !label.is_empty() && unknown, "{finding}");
        prop_assert!(!finding.message.is_empty());
    }
    Ok(())
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn parse_any_text(text in any::<String>()) {
        assert_located(&text)?;
    }

    #[test]
    fn parse_any_rows(lines in prop::collection::vec(line(), 0..12)) {
        assert_located(&format!("{HEADER}{}", lines.join("\n")))?;
    }

    #[test]
    fn parse_mutated_example(row in 0usize..123, column in 0usize..17, value in ".{0,12}") {
        let mut lines: Vec<String> = EXAMPLE.lines().map(str::to_owned).collect();
        let mut values: Vec<&str> = lines[row].split(',').collect();
        values[column] = &value;
        lines[row] = values.join(",");
        assert_located(&lines.join("\n"))?;
    }

    #[test]
    fn write_round_trip(
        ranks in 0u32..5,
        limit in 1u32..1000,
        weights in prop::collection::vec(1u32..100, 0..6),
        plain in any::<bool>(),
    ) {
        let kind = if plain { "plain," } else { "model,enforced" };
        let mut text = format!("{HEADER}domain,a,north\nservice,s,north,,,,,{kind}\n");
        for rank in 0..ranks {
            let place = if plain { ",".to_owned() } else { format!("g,{rank}") };
            writeln!(text, "server,w{rank},,a,s,[::1]:{},,,,{place},{limit},1", rank + 1).unwrap();
        }
        for (index, weight) in weights.iter().enumerate() {
            writeln!(text, "account,c{index},,,,,,,,,,,,{weight},1,1,{index:064x}").unwrap();
            writeln!(text, "grant,c{index},,,s").unwrap();
        }
        let sheet = parse(&text).unwrap();
        prop_assert_eq!(parse(&write(&sheet)), Ok(sheet));
    }
}

#[test]
fn write_example() {
    let sheet = parse(EXAMPLE).unwrap();
    assert_eq!(parse(&write(&sheet)), Ok(sheet));
}
