//! Consistency of the documented and the exposed metrics.

mod common;

use berylgw_entry::Entry;
use common::{any_port, settings, short_limits};

/// Returns the metrics with their labels in a section of the metrics page.
fn documented(section: &str) -> Vec<String> {
    let page = include_str!("../../../docs/METRICS.md");
    let (_, section) = page.split_once(&format!("\n## {section}\n")).unwrap();
    let section = section.split("\n## ").next().unwrap();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let row = |line: &str| {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        format!(
            "{} {}",
            cells[1].trim_matches('`'),
            cells[4].replace('`', "")
        )
    };
    let mut rows: Vec<String> = rows.map(row).collect();
    rows.sort();
    rows
}

/// Guards against a metric without documentation and a documented one that is
/// not exposed.
#[tokio::test]
async fn exposed_as_documented() {
    let entry = Entry::bind(settings(any_port(), short_limits()))
        .await
        .unwrap();
    let mut exposed = Vec::new();
    for family in entry.registry().gather() {
        let labels = family.get_metric()[0].get_label();
        let labels: Vec<&str> = labels.iter().map(|label| label.name()).collect();
        exposed.push(format!("{} {}", family.name(), labels.join(", ")));
    }
    exposed.sort();
    assert_eq!(exposed, documented("Entry"));
}
