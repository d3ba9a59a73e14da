//! Exploration of the configuration protocol models, exhaustive or by random
//! schedules.

use berylgw_core::config::{Object, View};
use berylgw_spec::config::spread::{self, Item, Mistake, Model, Name, Property, Replica, State};
use berylgw_spec::config::{parts, race};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn race(mistake: Option<race::Mistake>) -> race::Found {
    race::explore(&race::Settings {
        operators: 3,
        call_limit: 2,
        mistake,
    })
}

#[test]
fn race_without_mistake() {
    let found = race(None);
    assert_eq!(found.broken, []);
    assert!(found.states > 1_000, "{}", found.states);
}

#[test]
fn race_mistakes_found() {
    let cases = [
        (race::Mistake::Unconditional, race::Property::OneWinner),
        (
            race::Mistake::LostAnswerIsFailure,
            race::Property::AppliedOnce,
        ),
        (race::Mistake::ConflictIsLoss, race::Property::LostIsTrue),
        (race::Mistake::OnlyNewestRead, race::Property::LostIsTrue),
    ];
    for (mistake, property) in cases {
        let found = race(Some(mistake));
        assert!(found.broken.contains(&property), "{mistake:?}: {found:?}");
    }
}

const SMALL: spread::Settings = spread::Settings {
    entries: 2,
    writes: 3,
    message_limit: 1,
    restarts: 1,
    outages: 1,
    mistake: None,
};

#[test]
fn spread_without_mistake() {
    let found = spread::explore::<Model>(&SMALL);
    assert_eq!(found.broken, []);
    assert_eq!(found.spread, SMALL.writes);
}

#[test]
fn spread_two_messages() {
    let settings = spread::Settings {
        message_limit: 2,
        ..SMALL
    };
    let found = spread::explore::<Model>(&settings);
    assert_eq!(found.broken, []);
    assert_eq!(found.spread, SMALL.writes);
}

#[test]
fn spread_mistakes_found() {
    let cases = [
        (Mistake::MergeWithoutVersionCheck, Property::Monotonic),
        (Mistake::GapAccepted, Property::Complete),
        (Mistake::VersionOfNewestObject, Property::Complete),
        (Mistake::WatchReopenedAtHead, Property::Complete),
        (Mistake::AgentWithoutVersionCheck, Property::FreshWork),
        (Mistake::DomainStateInSheet, Property::DomainStaysOut),
    ];
    for (mistake, property) in cases {
        let settings = spread::Settings {
            mistake: Some(mistake),
            ..SMALL
        };
        let found = spread::explore::<Model>(&settings);
        assert!(found.broken.contains(&property), "{mistake:?}: {found:?}");
    }
}

/// The view that production processes use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Real(View);

fn label(name: Name) -> &'static str {
    match name {
        Name::Sheet => "sheet",
        Name::Domain => "domain.a",
    }
}

impl Replica for Real {
    fn version(&self) -> u64 {
        self.0.version().into()
    }

    fn held(&self, name: Name) -> u64 {
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
fn spread_real_view() {
    // Guards against a production view that behaves differently from the reference
    // replica.
    assert_eq!(
        spread::explore::<Real>(&SMALL),
        spread::explore::<Model>(&SMALL)
    );
}

/// Bounds with too many writes, restarts and outages for exhaustive exploration.
const LARGE: spread::Settings = spread::Settings {
    entries: 4,
    writes: 40,
    message_limit: 6,
    restarts: 60,
    outages: 40,
    mistake: None,
};

/// Runs one random schedule and returns its last state.
fn walk<R: Replica>(settings: &spread::Settings, seed: u64) -> State<R> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut state = State::initial(settings);
    for _ in 0..400 {
        let mut states = state.next(settings);
        if states.is_empty() {
            break;
        }
        let choice = random.random_range(0..states.len());
        state = states.swap_remove(choice);
    }
    state
}

#[test]
fn spread_real_view_random_schedules() {
    let mut spread = 0;
    for seed in 0..100 {
        let state = walk::<Real>(&LARGE, seed);
        assert_eq!(state.broken(), None, "seed {seed}");
        spread = spread.max(state.lowest_version());
    }
    assert!(spread > 3, "the schedules hardly spread anything: {spread}");
}

#[test]
fn spread_random_schedules_find_mistakes() {
    // Guards against schedules that are too short to detect the mistakes.
    let mistakes = [
        Mistake::MergeWithoutVersionCheck,
        Mistake::GapAccepted,
        Mistake::VersionOfNewestObject,
        Mistake::AgentWithoutVersionCheck,
        Mistake::DomainStateInSheet,
    ];
    for mistake in mistakes {
        let settings = spread::Settings {
            mistake: Some(mistake),
            ..LARGE
        };
        let found = (0..100).any(|seed| walk::<Model>(&settings, seed).broken().is_some());
        assert!(found, "{mistake:?}");
    }
}

fn parts(mistake: Option<parts::Mistake>) -> (usize, bool) {
    parts::explore(&parts::Settings { tries: 3, mistake })
}

#[test]
fn parts_without_mistake() {
    let (states, broken) = parts(None);
    assert!(!broken);
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
