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
        BackEndUpdate {
            base: Some(base),
            revision: self.revision,
            listed,
            removed,
            ..BackEndUpdate::default()
        }
    }
}

/// Returns the entries of a directory as a router without state receives them.
fn listed(view: &DirectoryView) -> Vec<BackEnd> {
    view.directory.update_since(at(0), Revision::default()).listed
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
                        assert!(follower.apply(now, None, source.since(base)));
                    }
                }
                Event::FetchChanges | Event::FetchList => {
                    follower.apply(now, None, source.whole());
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

/// Number of routers that follow the source or each other.
const ROUTERS: usize = 4;

/// An event in a fleet whose routers all may follow the source and fetch from each other.
#[derive(Debug, Clone, Copy)]
enum FleetEvent {
    /// A back end registers as ready; if it is draining, in a new incarnation.
    Register { name: u8 },
    /// A back end announces that it is draining.
    Drain { name: u8 },
    /// An entry is removed.
    Remove { name: u8 },
    /// A router fetches the changes since its revision from the source.
    Follow { router: u8 },
    /// A router fetches from another one if that one has a newer revision.
    Fetch { router: u8, from: u8 },
}

impl Arbitrary for FleetEvent {
    fn arbitrary(generator: &mut Gen) -> Self {
        let name = u8::arbitrary(generator) % 3;
        let mut router = || u8::arbitrary(generator) % ROUTERS as u8;
        let (router, from) = (router(), router());
        match u8::arbitrary(generator) % 8 {
            0 | 1 => Self::Register { name },
            2 => Self::Drain { name },
            3 | 4 => Self::Remove { name },
            5 => Self::Follow { router },
            _ => Self::Fetch { router, from },
        }
    }
}

/// Routers before one source, all with the same list at first.
struct DirectoryFleet {
    source: Source,
    routers: Vec<DirectoryView>,
}

impl DirectoryFleet {
    fn new() -> Self {
        let mut source = Source::default();
        source.change(Change::Write { name: 0, incarnation: 0, is_ready: true });
        let mut routers: Vec<DirectoryView> =
            (0..ROUTERS).map(|_| DirectoryView::default()).collect();
        for router in &mut routers {
            assert!(router.apply(at(0), None, source.whole()));
        }
        Self { source, routers }
    }

    fn on_event(&mut self, step: u8, event: FleetEvent) {
        match event {
            FleetEvent::Register { name } => {
                let known = self.source.entries.get(&name);
                let incarnation = match known {
                    Some(known) if known.state == BackEndState::Ready => known.id.incarnation as u8,
                    _ => step,
                };
                self.source.change(Change::Write { name, incarnation, is_ready: true });
            }
            FleetEvent::Drain { name } => {
                let Some(known) = self.source.entries.get(&name) else { return };
                let incarnation = known.id.incarnation as u8;
                self.source.change(Change::Write { name, incarnation, is_ready: false });
            }
            FleetEvent::Remove { name } => self.source.change(Change::Remove { name }),
            FleetEvent::Follow { router } => self.follow(usize::from(router)),
            FleetEvent::Fetch { router, from } => self.fetch(router.into(), from.into()),
        }
    }

    fn follow(&mut self, router: usize) {
        let known = self.routers[router].revision();
        if known < self.source.revision {
            assert!(self.routers[router].apply(at(0), None, self.source.since(known)));
        }
    }

    fn fetch(&mut self, router: usize, from: usize) {
        let known = self.routers[router].revision();
        if known < self.routers[from].revision() {
            let update = self.routers[from].directory.update_since(at(0), known);
            assert!(self.routers[router].apply(at(0), None, update));
        }
    }

    /// Returns the names of the back ends that are ready by the source.
    fn ready(&self) -> Vec<String> {
        let entries = self.source.entries.values();
        let ready = entries.filter(|entry| entry.state == BackEndState::Ready);
        ready.map(|entry| entry.id.to_string()).collect()
    }
}

quickcheck! {
    /// Guards against an update between routers that omits what its sender did not see change: an
    /// entry that was written and removed, or removed and written again, since its last update.
    fn directories_converge_whichever_router_sends_an_update(
        events: Vec<FleetEvent>,
        last_reader: u8
    ) -> bool {
        let mut fleet = DirectoryFleet::new();
        for (step, event) in (1_u8..).zip(events) {
            fleet.on_event(step, event);
        }
        let last_reader = usize::from(last_reader) % ROUTERS;
        fleet.follow(last_reader);
        (0..ROUTERS).for_each(|router| fleet.fetch(router, last_reader));
        fleet.routers.iter().all(|router| router.ready() == fleet.ready())
    }
}

/// Guards against a router that sends requests to a removed back end until it gets a whole list: it
/// knew the back end from one peer, and fetched the next changes from another one that had read the
/// entry's creation and removal together.
#[test]
fn a_back_end_that_came_and_left_within_one_update_of_a_peer_is_removed() {
    let mut fleet = DirectoryFleet::new();
    fleet.on_event(1, FleetEvent::Register { name: 1 });
    fleet.on_event(2, FleetEvent::Follow { router: 0 });
    fleet.on_event(3, FleetEvent::Fetch { router: 1, from: 0 });
    assert_eq!(fleet.routers[1].ready(), fleet.ready());
    fleet.on_event(4, FleetEvent::Remove { name: 1 });
    fleet.on_event(5, FleetEvent::Follow { router: 2 });
    fleet.on_event(6, FleetEvent::Fetch { router: 1, from: 2 });
    assert_eq!(fleet.routers[1].ready(), fleet.ready());
}

/// Guards against a router that sends requests to a draining back end: the peer that it fetched
/// from knew the same entry from before.
#[test]
fn a_back_end_whose_entry_changed_back_within_one_update_of_a_peer_is_updated() {
    use BackEndState::{Draining, Ready};
    let entry = |state| BackEnd { state, ..back_end("e1", MODEL, 4) };
    let update = |base: u64, revision: u64, state| BackEndUpdate {
        base: Some(base.into()),
        revision: revision.into(),
        listed: vec![entry(state)],
        ..BackEndUpdate::default()
    };
    let (mut peer, mut router) = (DirectoryView::default(), DirectoryView::default());
    for view in [&mut peer, &mut router] {
        let back_ends = vec![entry(Draining)];
        assert!(view.apply(at(0), None, BackEndList { revision: 1.into(), back_ends }));
    }
    assert!(router.apply(at(0), None, update(1, 2, Ready)));
    assert!(peer.apply(at(0), None, update(1, 3, Draining)));
    assert!(router.sync_from(at(0), &peer));
    assert_eq!(router.ready(), Vec::<String>::new());
}

/// Guards against updates that contain more than the changed back ends.
#[test]
fn the_size_of_an_update_does_not_grow_with_the_list() {
    let sizes = [1_000, 2_000, 4_000].map(|count| {
        let mut view = DirectoryView::default();
        assert!(view.apply(at(0), None, list(10, count, 8)));
        let mut changed = back_end("e7", MODEL, 8);
        changed.state = BackEndState::Draining;
        let base = Some(10.into());
        let removed = vec![Arc::from("e9")];
        let update = BackEndUpdate {
            base,
            revision: 11.into(),
            listed: vec![changed],
            removed,
            ..BackEndUpdate::default()
        };
        assert!(view.apply(at(10), None, update));
        let update = view.directory.update_since(at(0), 10.into());
        assert_eq!(view.directory.update_since(at(0), 11.into()).listed.len(), 0);
        assert_eq!(view.directory.update_since(at(0), 9.into()).base, None);
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
        ..BackEndUpdate::default()
    };
    assert!(!view.apply(at(0), None, update(5, 6)));
    assert!(view.apply(at(0), None, list(5, 1, 8)));
    assert!(!view.apply(at(0), None, update(7, 9)));
    assert!(view.apply(at(0), None, update(5, 7)));
    assert!(view.apply(at(0), None, update(6, 9)));
    let other_era = BackEndUpdate { revision: Revision::new(1, 3), ..update(9, 0) };
    assert!(
        view.apply(at(0), None, other_era.clone())
            == (other_era.base.map(|base| base.era) == Some(0))
    );
}
