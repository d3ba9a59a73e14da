//! Views, sheets in parts and the cost of propagating changes.

use std::time::Duration;

use berylgw_core::config::spread::{Fleet, propagate};
use berylgw_core::config::{Object, Part, PartIndex, Sheet, StoredSheet, View, split};
use berylgw_core::sheet::parse;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const EXAMPLE: &str = include_str!("../../../examples/sheet.csv");

fn example(nonce: u64) -> Sheet {
    let mut sheet = parse(EXAMPLE).unwrap();
    sheet.nonce = nonce;
    sheet
}

fn object(name: &str, version: u64, value: &impl serde::Serialize) -> Object {
    Object {
        name: name.into(),
        version: version.into(),
        value: serde_json::to_string(value).unwrap().into(),
    }
}

fn part_object(part: &Part, version: u64) -> Object {
    object(&part.name, version, &part.content)
}

/// Returns a view with the parts at versions from 1 and then the sheet object.
fn split_view(sheet: &Sheet) -> (View, PartIndex, Vec<Part>) {
    let (index, parts) = split(sheet).unwrap();
    let mut view = View::new();
    let mut objects: Vec<Object> = Vec::new();
    for (part, version) in parts.iter().zip(1..) {
        objects.push(part_object(part, version));
    }
    let version = objects.len() as u64 + 1;
    objects.push(object("sheet", version, &index));
    assert!(view.merge(0.into(), version.into(), &objects));
    (view, index, parts)
}

#[test]
fn split_round_trip() {
    let sheet = example(7);
    let (view, index, parts) = split_view(&sheet);
    assert_eq!(index.parts.len(), parts.len());
    assert_eq!(view.snapshot().unwrap().sheet, sheet);
}

#[test]
fn split_one_row_changed() {
    // Guards against a change of one row that changes many parts.
    let sheet = example(7);
    let mut changed = sheet.clone();
    changed.accounts[3].weight += 1;
    let (before, _) = split(&sheet).unwrap();
    let (after, _) = split(&changed).unwrap();
    let new = after
        .parts
        .iter()
        .filter(|part| !before.parts.contains(part));
    assert_eq!(new.count(), 1);
}

#[test]
fn stored_sheet_forms() {
    let sheet = example(7);
    let (index, _) = split(&sheet).unwrap();
    for stored in [StoredSheet::Whole(sheet), StoredSheet::Split(index)] {
        let json = serde_json::to_string(&stored).unwrap();
        assert_eq!(serde_json::from_str::<StoredSheet>(&json).unwrap(), stored);
        assert_eq!(stored.nonce(), 7);
    }
    assert!(serde_json::from_str::<StoredSheet>(r#"{"nonce":1,"parts":[],"odd":1}"#).is_err());
    assert!(serde_json::from_str::<StoredSheet>(r#"{"nonce":1}"#).is_err());
}

#[test]
fn view_missing_part() {
    // Guards against using a sheet of which a part is missing.
    let index = PartIndex {
        nonce: 1,
        parts: vec!["part.00".into()],
    };
    let mut view = View::new();
    view.merge(0.into(), 1.into(), &[object("sheet", 1, &index)]);
    let error = view.snapshot().unwrap_err();
    assert_eq!(
        error.to_string(),
        "not found at config/part.00: named by the sheet but not known"
    );
}

#[test]
fn view_old_parts_dropped() {
    // Guards against views that grow with every change of the sheet.
    let sheet = example(7);
    let (mut view, _, _) = split_view(&sheet);
    let mut version = u64::from(view.version());
    let count = view.objects().len();
    let mut changed = sheet.clone();
    for weight in 100..150 {
        changed.accounts[3].weight = weight;
        let (index, parts) = split(&changed).unwrap();
        for part in &parts {
            if view.get(&part.name).is_some() {
                continue;
            }
            let since = view.version();
            version += 1;
            view.merge(since, version.into(), &[part_object(part, version)]);
        }
        let since = view.version();
        version += 1;
        view.merge(since, version.into(), &[object("sheet", version, &index)]);
        assert_eq!(view.snapshot().unwrap().sheet, changed);
        assert_eq!(view.objects().len(), count);
    }
}

#[test]
fn view_whole_sheet_drops_parts() {
    let sheet = example(7);
    let (mut view, _, _) = split_view(&sheet);
    let since = view.version();
    let version = u64::from(since) + 1;
    view.merge(since, version.into(), &[object("sheet", version, &sheet)]);
    assert_eq!(view.objects().len(), 1);
    assert_eq!(view.snapshot().unwrap().sheet, sheet);
}

#[test]
fn propagate_reaches_all() {
    // Guards against a model in which entries without a watch never get the change.
    for watch_down_percent in [0, 50, 100] {
        let fleet = Fleet {
            entries: 32,
            agents: 200,
            watch_down_percent,
            watch_delay: Duration::from_millis(50),
            peer_delay: Duration::from_millis(10),
        };
        let run = |seed| propagate(&fleet, 1_000, &mut ChaCha8Rng::seed_from_u64(seed));
        assert_eq!(run(1), run(1));
        assert!(run(1).time > Duration::ZERO);
        assert!(run(1).entry_bytes >= run(1).agent_bytes);
    }
}
