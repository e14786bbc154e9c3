//! What back ends say of themselves in their answers binds every choice, whatever else is told of them.

mod support;

use mastbay_routing::{
    Admission, BackEnd, BackEndDirectory, BackEndId, BackEndList, BackEndState, Dispatcher,
    EvacuatedZones, Revision, UsableChanges,
};
use mastbay_types::Timestamp;
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};
use std::collections::BTreeSet;
use std::time::Duration;
use support::{PLAIN, at, back_end, demand, dispatcher};

const NAMES: [&str; 4] = ["e0", "e1", "e2", "e3"];
const LIVES: u8 = 3;
/// Time between two events.
const STEP: Duration = Duration::from_millis(700);

/// Something that a router hears, in any order.
#[derive(Debug, Clone)]
enum Heard {
    /// A list of the source: a life for each name that it holds, and whether it is ready. `later` begins an era.
    List { entries: Vec<(u8, u8, bool)>, is_later_era: bool, is_recovering: bool },
    /// An answer of a life says that it ends soon.
    Draining { name: u8, life: u8 },
    /// The zone of all back ends is evacuated, or no longer.
    Evacuation { is_evacuated: bool },
    /// Time passes.
    Silence,
}

impl Arbitrary for Heard {
    fn arbitrary(random: &mut Gen) -> Self {
        match u8::arbitrary(random) % 8 {
            0..=3 => Heard::List {
                entries: Vec::arbitrary(random),
                is_later_era: u8::arbitrary(random).is_multiple_of(4),
                is_recovering: bool::arbitrary(random),
            },
            4 | 5 => Heard::Draining { name: u8::arbitrary(random), life: u8::arbitrary(random) },
            6 => Heard::Evacuation { is_evacuated: bool::arbitrary(random) },
            _ => Heard::Silence,
        }
    }
}

fn id(name: u8, life: u8) -> BackEndId {
    BackEndId::new(NAMES[usize::from(name) % NAMES.len()], 1 + u64::from(life % LIVES))
}

/// A router with its directory of back ends.
struct Router {
    dispatcher: Dispatcher,
    directory: BackEndDirectory,
    revision: Revision,
}

impl Router {
    fn new() -> Self {
        Self {
            dispatcher: dispatcher(1, 0, 8),
            directory: BackEndDirectory::default(),
            revision: Revision::new(0, 1),
        }
    }

    fn hear(&mut self, now: Timestamp, heard: &Heard) {
        let expired = self.directory.expire(now);
        self.take(now, expired);
        match heard {
            Heard::List { entries, is_later_era, is_recovering } => {
                let era = self.revision.era + u64::from(*is_later_era);
                self.revision = Revision::new(era, self.revision.number + 1);
                let back_ends = entries.iter().map(|(name, life, is_ready)| BackEnd {
                    id: id(*name, *life),
                    state: if *is_ready { BackEndState::Ready } else { BackEndState::Draining },
                    ..back_end("", PLAIN, 8)
                });
                let list = BackEndList { revision: self.revision, back_ends: back_ends.collect() };
                let changes = self.directory.apply(now, *is_recovering, list.into());
                self.take(now, changes);
            }
            Heard::Draining { name, life } => {
                self.dispatcher.on_draining(now, &id(*name, *life));
            }
            Heard::Evacuation { is_evacuated } => {
                let zones = if *is_evacuated { vec!["a".to_owned()] } else { Vec::new() };
                let revision = self.revision;
                let zones = EvacuatedZones { revision, zones: zones.into_iter().collect() };
                self.dispatcher.on_evacuations(&zones);
            }
            Heard::Silence => {}
        }
    }

    fn take(&mut self, now: Timestamp, changes: Option<UsableChanges>) {
        if let Some(changes) = changes {
            self.dispatcher.on_back_end_changes(now, &changes);
        }
    }

    /// Where so many requests would go now.
    fn choices(&mut self, now: Timestamp, requests: usize) -> Vec<BackEndId> {
        let mut chosen = Vec::new();
        for _ in 0..requests {
            match self.dispatcher.admit(now, demand(now, None, "t"), 0.5) {
                Admission::Placed(placement) => chosen.push(placement.back_end.id),
                Admission::Waiting(ticket) => {
                    self.dispatcher.on_end(now, ticket, Err(None));
                }
                Admission::Refused(_) => {}
            }
        }
        chosen
    }
}

quickcheck! {
    /// No list, lapsed and listed entry, restored source or evacuation brings a life back into use that said that it ends.
    fn a_life_that_said_it_drains_is_never_chosen_again(heard: Vec<Heard>) -> TestResult {
        let mut router = Router::new();
        let mut said = BTreeSet::new();
        let mut now = at(0);
        for one in &heard {
            now = now + STEP;
            router.hear(now, one);
            if let Heard::Draining { name, life } = one {
                said.insert(id(*name, *life));
            }
            let chosen = router.choices(now, 6);
            if chosen.iter().any(|id| said.contains(id)) {
                return TestResult::error(format!("{chosen:?} after {said:?} said that they end"));
            }
        }
        TestResult::passed()
    }
}

/// A life that said that it ends does not speak for the next one under its name.
#[test]
fn a_later_life_takes_work() {
    let mut router = Router::new();
    let list = |life| Heard::List {
        entries: vec![(0, life, true)],
        is_later_era: false,
        is_recovering: false,
    };
    router.hear(at(0), &list(0));
    router.hear(at(100), &Heard::Draining { name: 0, life: 0 });
    assert!(router.choices(at(200), 1).is_empty());
    router.hear(at(300), &list(1));
    assert_eq!(router.choices(at(400), 1), [id(0, 1)]);
}
