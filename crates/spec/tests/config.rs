//! Exploration of the configuration protocol models, exhaustive or by random
//! schedules.

use berylgw_core::config::{Object, View};
use berylgw_spec::config::propagation::{
    self, Item, Mistake, Model, Name, Property, Replica, State,
};
use berylgw_spec::config::{parts, race};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn race(mistake: Option<race::Mistake>) -> race::Findings {
    race::explore(&race::Settings {
        operators: 3,
        call_limit: 2,
        mistake,
    })
}

#[test]
fn race_without_mistake() {
    let findings = race(None);
    assert_eq!(findings.violations, []);
    assert!(findings.states > 1_000, "{}", findings.states);
}

#[test]
fn race_mistakes_found() {
    let cases = [
        (race::Mistake::Unconditional, race::Property::OneWinner),
        (
            race::Mistake::LostResponseIsFailure,
            race::Property::AppliedOnce,
        ),
        (race::Mistake::ConflictIsLoss, race::Property::LostIsTrue),
        (race::Mistake::OnlyNewestRead, race::Property::LostIsTrue),
    ];
    for (mistake, property) in cases {
        let findings = race(Some(mistake));
        assert!(
            findings.violations.contains(&property),
            "{mistake:?}: {findings:?}"
        );
    }
}

const SMALL: propagation::Settings = propagation::Settings {
    entries: 2,
    writes: 3,
    message_limit: 1,
    restarts: 1,
    outages: 1,
    mistake: None,
};

#[test]
fn propagation_without_mistake() {
    let findings = propagation::explore::<Model>(&SMALL);
    assert_eq!(findings.violations, []);
    assert_eq!(findings.propagated_version, SMALL.writes);
}

#[test]
fn propagation_two_messages() {
    let settings = propagation::Settings {
        message_limit: 2,
        ..SMALL
    };
    let findings = propagation::explore::<Model>(&settings);
    assert_eq!(findings.violations, []);
    assert_eq!(findings.propagated_version, SMALL.writes);
}

#[test]
fn propagation_mistakes_found() {
    let cases = [
        (Mistake::MergeWithoutVersionCheck, Property::Monotonic),
        (Mistake::GapAccepted, Property::Complete),
        (Mistake::VersionOfNewestObject, Property::Complete),
        (Mistake::WatchReopenedAtHead, Property::Complete),
        (Mistake::AgentWithoutVersionCheck, Property::FreshWork),
        (Mistake::DomainStateInSheet, Property::DomainStaysRemoved),
    ];
    for (mistake, property) in cases {
        let settings = propagation::Settings {
            mistake: Some(mistake),
            ..SMALL
        };
        let findings = propagation::explore::<Model>(&settings);
        assert!(
            findings.violations.contains(&property),
            "{mistake:?}: {findings:?}"
        );
    }
}

/// The view that production processes use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct CoreView(View);

fn label(name: Name) -> &'static str {
    match name {
        Name::Sheet => "sheet",
        Name::Domain => "domain.a",
    }
}

impl Replica for CoreView {
    fn version(&self) -> u64 {
        self.0.version().into()
    }

    fn object_version(&self, name: Name) -> u64 {
        let object = self.0.get(label(name));
        object.map_or(0, |object| object.version.into())
    }

    fn newer_than(&self, since: u64) -> Vec<Item> {
        let mut items = Vec::new();
        for object in self.0.newer_than(since.into()) {
            let name = match &*object.name {
                "sheet" => Name::Sheet,
                _ => Name::Domain,
            };
            let version = object.version.into();
            items.push(Item { name, version });
        }
        items
    }

    fn merge(&mut self, since: u64, version: u64, items: &[Item], _: Option<Mistake>) {
        let mut objects = Vec::new();
        for item in items {
            objects.push(Object {
                name: label(item.name).into(),
                version: item.version.into(),
                value: "{}".into(),
            });
        }
        self.0.merge(since.into(), version.into(), &objects);
    }
}

#[test]
fn propagation_core_view() {
    // Guards against a production view that behaves differently from the reference
    // replica.
    assert_eq!(
        propagation::explore::<CoreView>(&SMALL),
        propagation::explore::<Model>(&SMALL)
    );
}

/// Bounds with too many writes, restarts and outages for exhaustive exploration.
const LARGE: propagation::Settings = propagation::Settings {
    entries: 4,
    writes: 40,
    message_limit: 6,
    restarts: 60,
    outages: 40,
    mistake: None,
};

/// Runs one random schedule and returns its last state.
fn walk<R: Replica>(settings: &propagation::Settings, seed: u64) -> State<R> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut state = State::initial(settings);
    for _ in 0..400 {
        let mut states = state.successors(settings);
        if states.is_empty() {
            break;
        }
        let choice = random.random_range(0..states.len());
        state = states.swap_remove(choice);
    }
    state
}

#[test]
fn propagation_core_view_random_schedules() {
    let mut propagated_version = 0;
    for seed in 0..100 {
        let state = walk::<CoreView>(&LARGE, seed);
        assert_eq!(state.violation(), None, "seed {seed}");
        propagated_version = propagated_version.max(state.lowest_version());
    }
    assert!(
        propagated_version > 3,
        "random schedules propagated only version {propagated_version} to all processes"
    );
}

#[test]
fn propagation_random_schedules_find_mistakes() {
    // Guards against schedules that are too short to detect the mistakes.
    let mistakes = [
        Mistake::MergeWithoutVersionCheck,
        Mistake::GapAccepted,
        Mistake::VersionOfNewestObject,
        Mistake::AgentWithoutVersionCheck,
        Mistake::DomainStateInSheet,
    ];
    for mistake in mistakes {
        let settings = propagation::Settings {
            mistake: Some(mistake),
            ..LARGE
        };
        let detected = (0..100).any(|seed| walk::<Model>(&settings, seed).violation().is_some());
        assert!(detected, "{mistake:?}");
    }
}

fn parts(mistake: Option<parts::Mistake>) -> (usize, bool) {
    parts::explore(&parts::Settings {
        attempts: 3,
        mistake,
    })
}

#[test]
fn parts_without_mistake() {
    let (states, incomplete) = parts(None);
    assert!(!incomplete);
    assert!(states > 1_000, "{states}");
}

#[test]
fn parts_mistakes_found() {
    let mistakes = [
        parts::Mistake::PartReused,
        parts::Mistake::SheetFirst,
        parts::Mistake::NewPartsDropped,
        parts::Mistake::UnconditionalDelete,
    ];
    for mistake in mistakes {
        assert!(parts(Some(mistake)).1, "{mistake:?}");
    }
}
