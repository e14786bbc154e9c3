//! Incremental updates of back-end directories: their content, and convergence of all directories.

mod support;

use mastbay_routing::{BackEnd, BackEndId, BackEndList, BackEndState, BackEndUpdate, Revision};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::collections::BTreeMap;
use std::sync::Arc;
use support::directory_view::DirectoryView;
use support::{MODEL, at, back_end, list};

/// Number of back-end names in a history.
const NAMES: u8 = 6;

/// A change at the source: an entry is written or removed.
#[derive(Debug, Clone, Copy)]
enum Change {
    Write { name: u8, incarnation: u8, is_ready: bool },
    Remove { name: u8 },
}

/// An event in a fleet of two routers: a follower, which watches the source, and a peer, which
/// fetches from the follower.
#[derive(Debug, Clone, Copy)]
enum Event {
    Source(Change),
    /// The follower fetches the changes since its revision.
    FetchChanges,
    /// The follower fetches the whole list.
    FetchList,
    /// The peer fetches from the follower.
    FetchFromFollower,
    /// The source is restored from a backup: a new era begins, its revision number goes back by
    /// `back`, and its entries stay.
    Restore {
        back: u8,
    },
}

impl Arbitrary for Event {
    fn arbitrary(generator: &mut Gen) -> Self {
        let name = u8::arbitrary(generator) % NAMES;
        match u8::arbitrary(generator) % 16 {
            0..5 => {
                let incarnation = u8::arbitrary(generator) % 3;
                Self::Source(Change::Write {
                    name,
                    incarnation,
                    is_ready: bool::arbitrary(generator),
                })
            }
            5..8 => Self::Source(Change::Remove { name }),
            8..11 => Self::FetchChanges,
            11 => Self::FetchList,
            12 => Self::Restore { back: u8::arbitrary(generator) % 4 },
            _ => Self::FetchFromFollower,
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
    fn change(&mut self, change: Change) {
        self.revision.number += 1;
        let name = match change {
            Change::Write { name, incarnation, is_ready } => {
                let state = if is_ready { BackEndState::Ready } else { BackEndState::Draining };
                let id = BackEndId::new(&format!("e{name}"), u64::from(incarnation));
                self.entries.insert(name, BackEnd { id, state, ..back_end("", MODEL, 4) });
                name
            }
            Change::Remove { name } => {
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

/// Returns the entries of a directory as a router without state receives them.
fn listed(view: &DirectoryView) -> Vec<BackEnd> {
    view.directory.update_since(Revision::default()).listed
}

quickcheck! {
    fn directories_converge(events: Vec<Event>) -> bool {
        let mut source = Source::default();
        let (mut follower, mut peer) = (DirectoryView::default(), DirectoryView::default());
        let mut latest: BTreeMap<String, u64> = BTreeMap::new();
        for (step, event) in (1_u64..).zip(events) {
            let now = at(step * 100);
            match event {
                Event::Source(change) => source.change(change),
                Event::Restore { back } => source.restore(back),
                Event::FetchChanges if follower.revision().era == source.revision.era => {
                    let base = follower.revision();
                    if source.revision > base && base != Revision::default() {
                        assert!(follower.apply(now, false, source.since(base)));
                    }
                }
                Event::FetchChanges | Event::FetchList => {
                    follower.apply(now, false, source.whole());
                }
                Event::FetchFromFollower => {
                    if follower.revision() > peer.revision() {
                        assert!(peer.sync_from(now, &follower));
                    }
                    assert_eq!(listed(&peer), listed(&follower));
                    assert_eq!(peer.directory.ready(), follower.directory.ready());
                }
            }
            for listed in listed(&follower) {
                let latest = latest.entry(listed.id.name.to_string()).or_default();
                assert!(
                    listed.id.incarnation >= *latest,
                    "an earlier incarnation of {}",
                    listed.id.name
                );
                *latest = listed.id.incarnation;
            }
        }
        true
    }
}

/// Guards against updates that contain more than the changed back ends.
#[test]
fn the_size_of_an_update_does_not_grow_with_the_list() {
    let sizes = [1_000, 2_000, 4_000].map(|count| {
        let mut view = DirectoryView::default();
        assert!(view.apply(at(0), false, list(10, count, 8)));
        let mut changed = back_end("e7", MODEL, 8);
        changed.state = BackEndState::Draining;
        let base = Some(10.into());
        let removed = vec![Arc::from("e9")];
        let update = BackEndUpdate { base, revision: 11.into(), listed: vec![changed], removed };
        assert!(view.apply(at(10), false, update));
        let update = view.directory.update_since(10.into());
        assert_eq!(view.directory.update_since(11.into()).listed.len(), 0);
        assert_eq!(view.directory.update_since(9.into()).base, None);
        (update.listed.len(), update.removed.len())
    });
    assert_eq!(sizes, [(1, 1); 3]);
}

/// Changes since a revision that a router does not have may follow others that it missed.
#[test]
fn changes_after_a_gap_are_rejected() {
    let mut view = DirectoryView::default();
    let update = |base: u64, revision: u64| BackEndUpdate {
        base: Some(base.into()),
        revision: revision.into(),
        listed: vec![back_end("e1", MODEL, 8)],
        removed: Vec::new(),
    };
    assert!(!view.apply(at(0), false, update(5, 6)));
    assert!(view.apply(at(0), false, list(5, 1, 8)));
    assert!(!view.apply(at(0), false, update(7, 9)));
    assert!(view.apply(at(0), false, update(5, 7)));
    assert!(view.apply(at(0), false, update(6, 9)));
    let other_era = BackEndUpdate { revision: Revision::new(1, 3), ..update(9, 0) };
    assert!(
        view.apply(at(0), false, other_era.clone())
            == (other_era.base.map(|base| base.era) == Some(0))
    );
}
