//! Versions that begin no streams before an archive holds them.

mod support;

use mastbay_routing::{
    Admission, AllowedRegions, BackEnd, BackEndList, BackEndState, Dispatcher, Route, RouteKind,
    StreamOrigin, Target,
};
use mastbay_types::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;
use support::{MODEL, address, at, back_end, configuration, demand, limits, peer, prompt};

/// Engines of each version.
const ENGINES: usize = 3;
/// Requests of each check, more than the slots of one version take.
const REQUESTS: u64 = 24;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: MODEL.into(), version: version.into() }
}

fn engines(version: &str) -> Vec<BackEnd> {
    let named = (0..ENGINES).map(|number| back_end(&format!("{version}-{number}"), MODEL, 8));
    named.map(|engine| BackEnd { version: version.into(), ..engine }).collect()
}

fn route() -> Route {
    Route {
        name: "stream".to_owned(),
        host: "test".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Streaming,
        timeout: Duration::from_secs(10),
        objective: Duration::from_millis(400),
        pause_objective: None,
        priority: 1,
        targets: vec![Target { service: MODEL.to_owned(), weight: 1 }],
        max_attempts: 2,
        public: true,
        resumable: true,
        regions: AllowedRegions::default(),
    }
}

/// A router before engines of two versions, which has not read an archive.
fn starting_router() -> Dispatcher {
    let mut router = Dispatcher::new(limits(), peer(1), address(1));
    let mut configuration = configuration(None);
    configuration.routes = vec![route()];
    router.on_configuration(&configuration);
    set_engines(&mut router, 1, [engines("v1"), engines("v2")].concat());
    router
}

/// The same router once it has read an archive that holds `versions`.
fn router(versions: &[&str]) -> Dispatcher {
    let mut router = starting_router();
    let origins = versions.iter().map(|version| origin(version)).collect();
    router.on_origin_archive(at(1), &origins, true);
    router
}

fn set_engines(router: &mut Dispatcher, revision: u64, back_ends: Vec<BackEnd>) {
    let list = BackEndList { revision: revision.into(), back_ends };
    router.on_back_ends(Timestamp::ZERO, &list);
}

/// Returns the versions at which new streams are placed.
fn placed_versions(router: &mut Dispatcher) -> BTreeSet<String> {
    let mut versions = BTreeSet::new();
    for request in 0..REQUESTS {
        let demand = demand(at(10), Some(prompt(request, request, 10)), "t");
        if let Admission::Placed(placement) = router.admit(at(10), demand, 0.5) {
            versions.insert(placement.back_end.version.to_string());
        }
    }
    versions
}

fn names(versions: &[&str]) -> BTreeSet<String> {
    versions.iter().map(|version| (*version).to_owned()).collect()
}

/// Guards against streams of a version that a router which missed it can't learn of.
#[test]
fn a_version_begins_no_stream_before_it_is_archived() {
    let mut router = router(&["v1"]);
    assert!(router.lacks_archived_origins());
    assert_eq!(placed_versions(&mut router), names(&["v1"]));
}

/// Guards against a version that stays unused.
#[test]
fn a_version_begins_streams_once_it_is_archived() {
    let mut router = router(&["v1"]);
    router.on_archived_origin(&origin("v2"));
    assert!(!router.lacks_archived_origins());
    assert_eq!(placed_versions(&mut router), names(&["v1", "v2"]));
}

/// Guards against a fleet that serves nothing until its first version is archived, or while the
/// archive is out of reach and the archived version has left.
#[test]
fn versions_begin_streams_while_no_archived_one_is_ready() {
    assert_eq!(placed_versions(&mut router(&[])), names(&["v1", "v2"]));
    let mut router = router(&["v1"]);
    let leaving = engines("v1").into_iter();
    let leaving = leaving.map(|engine| BackEnd { state: BackEndState::Draining, ..engine });
    set_engines(&mut router, 2, leaving.chain(engines("v2")).collect());
    assert_eq!(placed_versions(&mut router), names(&["v2"]));
}

/// Guards against a router that has just started and sends all streams to the few engines of the
/// version that its peers have reported first.
#[test]
fn a_router_that_has_not_read_the_archive_withholds_no_version() {
    let mut router = starting_router();
    router.on_archived_origin(&origin("v1"));
    assert_eq!(placed_versions(&mut router), names(&["v1", "v2"]));
}

/// Guards against a stream that is not taken up at its own version.
#[test]
fn a_stream_is_taken_up_at_its_version_whether_it_is_archived_or_not() {
    let mut router = router(&["v1"]);
    let mut resumed = demand(at(10), Some(prompt(1, 1, 10)), "t");
    resumed.version = Some("v2".into());
    let admission = router.admit(at(10), resumed, 0.5);
    let Admission::Placed(placement) = admission else { panic!("{admission:?}") };
    assert_eq!(&*placement.back_end.version, "v2");
}

/// Guards against an archive that was restored from an older copy and still counts as holding what
/// was written since.
#[test]
fn a_version_that_the_archive_has_lost_begins_no_stream() {
    let mut router = router(&["v1", "v2"]);
    assert!(!router.lacks_archived_origins());
    router.on_origin_archive(at(2), &BTreeSet::from([origin("v1")]), false);
    assert_eq!(placed_versions(&mut router), names(&["v1"]));
}

/// Guards against an old reading of the archive that withholds a version which was written since.
#[test]
fn a_version_that_was_archived_after_a_search_read_the_archive_begins_streams() {
    let mut router = router(&["v1", "v2"]);
    router.on_confirmed_origins(at(1), &BTreeSet::from([origin("v1")]), true);
    assert_eq!(placed_versions(&mut router), names(&["v1", "v2"]));
}
