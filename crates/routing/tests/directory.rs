//! Back ends kept up to date by what changed: what is told, and that all come to the same.

mod support;

use mastbay_routing::{BackEnd, BackEndId, BackEndList, BackEndState, BackEndUpdate, Revision};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::collections::BTreeMap;
use std::sync::Arc;
use support::directory_view::DirectoryView;
use support::{MODEL, at, back_end, list};

/// Back ends that a history is about.
const NAMES: u8 = 6;

/// One step of a source: an entry is written, or goes.
#[derive(Debug, Clone, Copy)]
enum Step {
    Write { name: u8, incarnation: u8, is_ready: bool },
    Remove { name: u8 },
}

/// What happens in a fleet of one router that follows the source and one that asks it.
#[derive(Debug, Clone, Copy)]
enum Act {
    Source(Step),
    /// The follower reads what changed.
    Follow,
    /// The follower reads the whole list.
    List,
    /// The other one asks the follower.
    Ask,
    /// The source comes back from a copy: its revision goes back, and its entries are those that it has.
    Restore {
        back: u8,
    },
}

impl Arbitrary for Act {
    fn arbitrary(generator: &mut Gen) -> Self {
        let name = u8::arbitrary(generator) % NAMES;
        match u8::arbitrary(generator) % 16 {
            0..5 => {
                let incarnation = u8::arbitrary(generator) % 3;
                Self::Source(Step::Write {
                    name,
                    incarnation,
                    is_ready: bool::arbitrary(generator),
                })
            }
            5..8 => Self::Source(Step::Remove { name }),
            8..11 => Self::Follow,
            11 => Self::List,
            12 => Self::Restore { back: u8::arbitrary(generator) % 4 },
            _ => Self::Ask,
        }
    }
}

#[derive(Default)]
struct Source {
    revision: Revision,
    entries: BTreeMap<u8, BackEnd>,
    history: Vec<(Revision, u8)>,
}

impl Source {
    fn step(&mut self, step: Step) {
        self.revision.number += 1;
        let name = match step {
            Step::Write { name, incarnation, is_ready } => {
                let state = if is_ready { BackEndState::Ready } else { BackEndState::Draining };
                let id = BackEndId::new(&format!("e{name}"), u64::from(incarnation));
                self.entries.insert(name, BackEnd { id, state, ..back_end("", MODEL, 4) });
                name
            }
            Step::Remove { name } => {
                self.entries.remove(&name);
                name
            }
        };
        self.history.push((self.revision, name));
    }

    fn restore(&mut self, back: u8) {
        let number = self.revision.number.saturating_sub(u64::from(back)).max(1);
        self.revision = Revision::new(self.revision.era + 1, number);
        self.history.clear();
    }

    fn whole(&self) -> BackEndList {
        BackEndList { revision: self.revision, back_ends: self.entries.values().cloned().collect() }
    }

    fn since(&self, base: Revision) -> BackEndUpdate {
        let changed = self.history.iter().filter(|(revision, _)| *revision > base);
        let mut names: Vec<u8> = changed.map(|(_, name)| *name).collect();
        names.sort_unstable();
        names.dedup();
        let listed = names.iter().filter_map(|name| self.entries.get(name)).cloned().collect();
        let removed = names.iter().filter(|name| !self.entries.contains_key(name));
        let removed = removed.map(|name| Arc::from(format!("e{name}"))).collect();
        BackEndUpdate { base: Some(base), revision: self.revision, listed, removed }
    }
}

/// What a directory lists, as a router that knows nothing gets it.
fn listed(one: &DirectoryView) -> Vec<BackEnd> {
    one.directory.update_since(Revision::default()).listed
}

quickcheck! {
    fn all_come_to_the_same(acts: Vec<Act>) -> bool {
        let mut source = Source::default();
        let (mut follower, mut other) = (DirectoryView::default(), DirectoryView::default());
        let mut latest: BTreeMap<String, u64> = BTreeMap::new();
        for (step, act) in (1_u64..).zip(acts) {
            let now = at(step * 100);
            match act {
                Act::Source(step) => source.step(step),
                Act::Restore { back } => source.restore(back),
                Act::Follow if follower.revision().era == source.revision.era => {
                    let base = follower.revision();
                    if source.revision > base && base != Revision::default() {
                        assert!(follower.apply(now, false, source.since(base)));
                    }
                }
                Act::Follow | Act::List => {
                    follower.apply(now, false, source.whole());
                }
                Act::Ask => {
                    if follower.revision() > other.revision() {
                        assert!(other.sync_from(now, &follower));
                    }
                    assert_eq!(listed(&other), listed(&follower));
                    assert_eq!(other.directory.ready(), follower.directory.ready());
                }
            }
            for one in listed(&follower) {
                let latest = latest.entry(one.id.name.to_string()).or_default();
                assert!(one.id.incarnation >= *latest, "an earlier life of {}", one.id.name);
                *latest = one.id.incarnation;
            }
        }
        true
    }
}

/// A change of one back end is told as one, whatever the number of the others.
#[test]
fn what_is_told_of_one_change_does_not_grow_with_the_list() {
    let told = [1_000, 2_000, 4_000].map(|count| {
        let mut one = DirectoryView::default();
        assert!(one.apply(at(0), false, list(10, count, 8)));
        let mut changed = back_end("e7", MODEL, 8);
        changed.state = BackEndState::Draining;
        let base = Some(10.into());
        let removed = vec![Arc::from("e9")];
        let update = BackEndUpdate { base, revision: 11.into(), listed: vec![changed], removed };
        assert!(one.apply(at(10), false, update));
        let update = one.directory.update_since(10.into());
        assert_eq!(one.directory.update_since(11.into()).listed.len(), 0);
        assert_eq!(one.directory.update_since(9.into()).base, None);
        (update.listed.len(), update.removed.len())
    });
    assert_eq!(told, [(1, 1); 3]);
}

/// Changes after a revision that a router does not have say nothing about what came before.
#[test]
fn changes_with_a_gap_before_them_are_not_taken() {
    let mut one = DirectoryView::default();
    let update = |base: u64, revision: u64| BackEndUpdate {
        base: Some(base.into()),
        revision: revision.into(),
        listed: vec![back_end("e1", MODEL, 8)],
        removed: Vec::new(),
    };
    assert!(!one.apply(at(0), false, update(5, 6)));
    assert!(one.apply(at(0), false, list(5, 1, 8)));
    assert!(!one.apply(at(0), false, update(7, 9)));
    assert!(one.apply(at(0), false, update(5, 7)));
    assert!(one.apply(at(0), false, update(6, 9)));
    let of_other_era = BackEndUpdate { revision: Revision::new(1, 3), ..update(9, 0) };
    assert!(
        one.apply(at(0), false, of_other_era.clone())
            == (of_other_era.base.map(|base| base.era) == Some(0))
    );
}
