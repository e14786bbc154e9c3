//! Records of streams' origins, their owners, searches for them, and origins without a record.

mod support;

use mastbay_routing::{
    ASKED_OWNERS, KnownOrigin, ListView, LookupState, MAX_ARCHIVED, MAX_RECORDS, Member, OWNERS,
    OriginAnswer, OriginHistory, OriginLookup, OriginMessage, OriginRecords, OriginReport,
    OriginSource, PeerMessage, ROUND_PERIOD, Route, RouteKind, RoutingConfiguration, StreamKey,
    StreamOrigin, StreamRecord, Target, owners,
};
use mastbay_types::{mixed_hash, short_hash};
use quickcheck::quickcheck;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::at;

const KEPT_FOR: Duration = Duration::from_secs(30);

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "model".into(), version: version.into() }
}

fn record(stream: u64) -> StreamRecord {
    StreamRecord::new(StreamKey(stream), KEPT_FOR)
}

fn report(version: &str, stream: u64) -> OriginReport {
    OriginReport { origin: origin(version), streams: vec![record(stream)] }
}

fn recorded(version: &str, age: Duration) -> KnownOrigin {
    KnownOrigin::Recorded { origin: origin(version), age }
}

#[test]
fn a_record_is_kept_for_its_time_and_renewed_by_the_same_origin() {
    let mut records = OriginRecords::default();
    records.record(at(0), &origin("v1"), record(1));
    assert_eq!(records.known(at(29_000), StreamKey(1)), recorded("v1", Duration::from_secs(29)));
    records.on_reports(at(29_000), &[report("v1", 1)]);
    records.expire(at(58_999));
    assert_eq!(
        records.known(at(58_999), StreamKey(1)),
        recorded("v1", Duration::from_millis(29_999))
    );
    assert_eq!(records.known(at(59_000), StreamKey(1)), KnownOrigin::NotRecorded);
    records.expire(at(59_000));
    assert!(records.is_empty());
}

/// Guards against a stream that continues at the version of another stream with the same ID.
#[test]
fn a_stream_with_reports_of_two_versions_has_no_known_origin() {
    let mut records = OriginRecords::default();
    records.on_reports(at(0), &[report("v1", 1)]);
    records.on_reports(at(10), &[report("v2", 1)]);
    assert_eq!(records.known(at(20), StreamKey(1)), KnownOrigin::Conflicting);
    records.on_reports(at(30), &[report("v2", 1)]);
    assert_eq!(records.known(at(40), StreamKey(1)), KnownOrigin::Conflicting);
    // Once the earlier reports have expired, the ID may be used again.
    records.on_reports(at(40_000), &[report("v2", 1)]);
    assert_eq!(records.known(at(40_000), StreamKey(1)), recorded("v2", Duration::ZERO));
}

#[test]
fn the_records_that_expire_first_are_evicted_and_counted() {
    let mut records = OriginRecords::default();
    for stream in 0..MAX_RECORDS as u64 + 10 {
        records.record(at(stream / 10), &origin("v1"), record(stream));
    }
    assert_eq!((records.len(), records.evicted()), (MAX_RECORDS, 10));
    let now = at(MAX_RECORDS as u64 / 10);
    assert_eq!(records.known(now, StreamKey(9)), KnownOrigin::NotRecorded);
    assert_ne!(records.known(now, StreamKey(10)), KnownOrigin::NotRecorded);
}

/// Guards against records that never reach their owners, or that are reported twice.
#[test]
fn each_record_is_reported_once_to_each_owner_in_messages_of_bounded_size() {
    const STREAMS: u64 = 5_000;
    let mut records = OriginRecords::default();
    for stream in 0..STREAMS {
        let version = if stream % 2 == 0 { "v1" } else { "v2" };
        records.record(at(0), &origin(version), record(stream));
    }
    let messages = records.take_reports(|stream| vec![stream.0 % 3, 7]);
    let mut reported = Vec::new();
    for (owner, reports) in &messages {
        let streams: usize = reports.iter().map(|report| report.streams.len()).sum();
        assert!(streams <= 1_024, "{streams}");
        for report in reports {
            let streams = report.streams.iter();
            reported.extend(streams.map(|record| (*owner, report.origin.clone(), record.stream)));
        }
    }
    assert_eq!(reported.len() as u64, 2 * STREAMS);
    reported.sort();
    reported.dedup();
    assert_eq!(reported.len() as u64, 2 * STREAMS);
    assert!(records.take_reports(|_| vec![7]).is_empty());
}

/// Guards against a router that has restarted and never gets the records back that it keeps.
#[test]
fn a_restarted_owner_gets_the_records_that_it_keeps() {
    let mut records = OriginRecords::default();
    records.record(at(0), &origin("v1"), record(1));
    records.record(at(0), &origin("v1"), record(2));
    records.on_reports(at(0), &[report("v1", 3)]);
    let messages = records.reports_for_new(at(10_000), &[1, 3], |stream| vec![stream.0]);
    let kept = StreamRecord { stream: StreamKey(1), kept_for_ms: 20_000 };
    let expected = OriginReport { origin: origin("v1"), streams: vec![kept] };
    assert_eq!(messages, vec![(1, vec![expected])]);
}

/// Guards against streams that are refused after all routers were lost, as an archive lacks their
/// records, and against an archive that keeps records of other routers or of streams long over.
#[test]
fn the_records_of_own_streams_survive_a_life_of_the_router() {
    let mut records = OriginRecords::default();
    assert_eq!(records.records_to_archive(at(0)), None);
    records.record(at(0), &origin("v1"), record(1));
    records.record(at(5_000), &origin("v2"), record(2));
    records.on_reports(at(5_000), &[report("v1", 3)]);
    let kept = |stream, kept_for_ms| StreamRecord { stream: StreamKey(stream), kept_for_ms };
    let expected = vec![
        OriginReport { origin: origin("v1"), streams: vec![kept(1, 24_000)] },
        OriginReport { origin: origin("v2"), streams: vec![kept(2, 29_000)] },
    ];
    assert_eq!(records.records_to_archive(at(6_000)), Some(expected.clone()));
    assert_eq!(records.records_to_archive(at(6_000)), None, "nothing is new");
    records.on_archive_failure();
    assert_eq!(records.records_to_archive(at(6_000)), Some(expected.clone()));

    let mut next_life = OriginRecords::default();
    next_life.restore_own(at(0), &expected);
    assert_eq!(next_life.known(at(10), StreamKey(2)), recorded("v2", Duration::from_millis(10)));
    // Its first write replaces what the earlier life wrote.
    next_life.record(at(25_000), &origin("v1"), record(4));
    let left = vec![
        OriginReport { origin: origin("v1"), streams: vec![kept(4, 30_000)] },
        OriginReport { origin: origin("v2"), streams: vec![kept(2, 4_000)] },
    ];
    assert_eq!(next_life.records_to_archive(at(25_000)), Some(left));
}

/// Guards against objects of an archive that grow without bound.
#[test]
fn an_archive_holds_the_records_that_are_kept_longest() {
    let mut records = OriginRecords::default();
    for stream in 0..MAX_ARCHIVED as u64 + 10 {
        records.record(at(stream), &origin("v1"), record(stream));
    }
    let archived = records.records_to_archive(at(10_000)).expect("new records");
    let streams = &archived[0].streams;
    assert_eq!((archived.len(), streams.len()), (1, MAX_ARCHIVED));
    assert!(streams.iter().all(|record| record.stream.0 >= 10));
}

fn address(index: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000))
}

fn members(count: u64, zones: u64) -> Vec<(SocketAddr, String, u64)> {
    (0..count)
        .map(|index| (address(index), format!("z{}", index % zones), mixed_hash(index, 1)))
        .collect()
}

fn chosen(stream: u64, members: &[(SocketAddr, String, u64)], count: usize) -> Vec<SocketAddr> {
    let members =
        members.iter().map(|(address, zone, hash)| Member { address: *address, zone, hash: *hash });
    owners(StreamKey(mixed_hash(stream, 2)), members, count)
}

/// Guards against records that are lost with one zone.
#[test]
fn the_owners_of_a_record_are_in_different_zones() {
    let members = members(60, 3);
    for stream in 0..200 {
        let owners = chosen(stream, &members, OWNERS);
        let zones: BTreeSet<&String> = members
            .iter()
            .filter(|(address, ..)| owners.contains(address))
            .map(|(_, zone, _)| zone)
            .collect();
        assert_eq!((owners.len(), zones.len()), (OWNERS, 3));
    }
}

/// Guards against a router that asks others than those to which a record was reported. The router
/// that reports and the one that asks exclude themselves, and one may not know a few of the others.
#[test]
fn the_asked_routers_include_an_owner_although_views_differ() {
    let all = members(60, 3);
    for stream in 0..500_u64 {
        let without = |excluded: &[u64]| {
            let mut view = all.clone();
            view.retain(|(address, ..)| {
                !excluded.iter().any(|index| *address == self::address(*index % 60))
            });
            view
        };
        let owners = chosen(stream, &without(&[stream]), OWNERS);
        let asked =
            chosen(stream, &without(&[stream * 7 + 1, stream * 3, stream * 5]), ASKED_OWNERS);
        assert!(owners.iter().any(|owner| asked.contains(owner)), "{stream}");
    }
}

fn not_recorded(only: Option<&str>, current: Option<&str>) -> OriginAnswer {
    OriginAnswer::NotRecorded { only: only.map(origin), current: current.map(origin) }
}

fn answer_recorded(version: &str) -> OriginAnswer {
    OriginAnswer::Recorded { origin: origin(version), age_ms: 5 }
}

/// Returns the result of a search with an own answer and those of others; `None` if one is silent.
fn result(own: OriginAnswer, others: Vec<Option<OriginAnswer>>) -> LookupState {
    let asked: Vec<SocketAddr> = (0..others.len() as u64).map(address).collect();
    let mut lookup = OriginLookup::new(own, &asked);
    for (from, answer) in asked.iter().zip(others) {
        if let Some(answer) = answer {
            lookup.on_answer(*from, answer);
        }
    }
    lookup.result()
}

#[test]
fn a_record_of_any_router_is_found() {
    let unknown = not_recorded(None, None);
    let others = vec![None, Some(unknown.clone()), Some(answer_recorded("v1"))];
    let expected = LookupState::Found {
        origin: origin("v1"),
        source: OriginSource::Peer(address(2)),
        age: Duration::from_millis(5),
    };
    assert_eq!(result(unknown, others), expected);
}

/// Guards against a search that ignores a record which arrives after the first answer.
#[test]
fn a_record_that_arrives_later_is_found_by_asking_again() {
    let unknown = not_recorded(None, None);
    let mut lookup = OriginLookup::new(unknown.clone(), &[address(0), address(1)]);
    lookup.on_answer(address(0), unknown.clone());
    lookup.on_answer(address(1), unknown.clone());
    assert_eq!(lookup.state(), LookupState::NotFound);
    lookup.ask_again(unknown.clone());
    assert_eq!(lookup.state(), LookupState::Pending);
    lookup.on_answer(address(0), unknown);
    lookup.on_answer(address(1), answer_recorded("v1"));
    assert!(matches!(lookup.state(), LookupState::Found { .. }));
}

#[test]
fn routers_with_records_of_two_versions_are_a_conflict() {
    let others = vec![Some(answer_recorded("v1")), Some(answer_recorded("v2"))];
    assert_eq!(result(not_recorded(None, None), others), LookupState::Conflicting);
}

/// Guards against a guess: without a record, an origin is certain only if one router has observed
/// that no other was possible, and none of those that answer lists another one.
#[test]
fn an_origin_without_a_record_is_used_only_if_it_is_certain() {
    let sure = || not_recorded(Some("v1"), Some("v1"));
    let started = || not_recorded(None, Some("v1"));
    let sees_two = || not_recorded(None, None);
    let is_found = |own, others| matches!(result(own, others), LookupState::Found { .. });
    assert!(is_found(sure(), vec![]));
    assert!(is_found(sure(), vec![Some(started()), None]));
    assert!(is_found(started(), vec![Some(sure())]));
    assert!(!is_found(started(), vec![]));
    assert!(!is_found(started(), vec![Some(started())]));
    assert!(!is_found(sure(), vec![Some(sees_two())]));
    assert!(!is_found(sees_two(), vec![Some(sure())]));
    assert!(!is_found(sure(), vec![Some(not_recorded(Some("v2"), Some("v2")))]));
    // A router that has just started has no view that could disagree, and none that could suffice.
    assert!(is_found(sure(), vec![Some(OriginAnswer::Starting)]));
    assert!(is_found(OriginAnswer::Starting, vec![Some(sure())]));
    assert!(!is_found(OriginAnswer::Starting, vec![Some(OriginAnswer::Starting)]));
    assert!(!is_found(OriginAnswer::Starting, vec![Some(sure()), Some(sees_two())]));
    // A router that hears none of the others may have missed a change.
    assert!(!is_found(sure(), vec![None, None]));
}

quickcheck! {
    /// Guards against an origin that contradicts any router that answered.
    fn a_found_origin_contradicts_no_answer(answers: Vec<Option<(u8, u8)>>) -> bool {
        let version = |number: u8| match number % 3 { 0 => None, 1 => Some("v1"), _ => Some("v2") };
        let answers: Vec<Option<OriginAnswer>> = answers
            .into_iter()
            .map(|answer| answer.map(|(kind, number)| match (kind % 4, version(number)) {
                (0, Some(version)) => answer_recorded(version),
                (1, Some(version)) => not_recorded(Some(version), Some(version)),
                (_, current) => not_recorded(None, current),
            }))
            .collect();
        match result(not_recorded(None, Some("v1")), answers.clone()) {
            LookupState::Found { origin, source: OriginSource::OnlyVersion, .. } => {
                answers.iter().flatten().all(|answer| match answer {
                    OriginAnswer::NotRecorded { current, .. } => current.as_ref() == Some(&origin),
                    OriginAnswer::Recorded { .. }
                    | OriginAnswer::Conflicting
                    | OriginAnswer::Starting => false,
                })
            }
            LookupState::Found { origin: found, .. } => {
                answers.iter().flatten().all(|answer| match answer {
                    OriginAnswer::Recorded { origin, .. } => *origin == found,
                    OriginAnswer::NotRecorded { .. }
                    | OriginAnswer::Conflicting
                    | OriginAnswer::Starting => true,
                })
            }
            _ => true,
        }
    }
}

const ROUTE: &str = "r";
const AGE_LIMIT: Duration = Duration::from_secs(10);

fn configuration(services: &[&str]) -> RoutingConfiguration {
    let targets =
        services.iter().map(|service| Target { service: (*service).to_owned(), weight: 1 });
    let route = Route {
        name: ROUTE.to_owned(),
        host: "test".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Streaming,
        timeout: AGE_LIMIT / 2,
        objective: Duration::from_millis(400),
        pause_objective: None,
        priority: 1,
        targets: targets.collect(),
        max_attempts: 2,
        public: true,
        resumable: true,
        regions: Default::default(),
    };
    RoutingConfiguration { version: 1, routes: vec![route], ..RoutingConfiguration::default() }
}

/// A history with the versions of back ends that are listed.
struct Observed {
    history: OriginHistory,
    listed: BTreeSet<Arc<str>>,
}

impl Observed {
    /// Observes a route to one service with back ends of `v1` for a time.
    fn for_millis(millis: u64) -> Self {
        let mut observed =
            Self { history: OriginHistory::default(), listed: BTreeSet::from(["v1".into()]) };
        observed.history.on_configuration(&configuration(&["model"]));
        observed.observe(0, millis);
        observed
    }

    fn observe(&mut self, from_millis: u64, to_millis: u64) {
        self.observe_view(from_millis, to_millis, ListView::Complete);
    }

    fn observe_view(&mut self, from_millis: u64, to_millis: u64, view: ListView) {
        (from_millis..=to_millis).step_by(80).for_each(|now| self.history.observe(at(now), view));
        self.history.observe(at(to_millis), view);
    }

    fn only(&self, now_millis: u64) -> Option<StreamOrigin> {
        let route = short_hash(&[ROUTE.as_bytes()]);
        self.history.only(at(now_millis), route, AGE_LIMIT, |_| self.listed.clone())
    }
}

#[test]
fn an_origin_is_certain_after_it_was_the_only_one_for_long_enough() {
    assert_eq!(Observed::for_millis(9_900).only(9_900), None);
    assert_eq!(Observed::for_millis(10_100).only(10_100), Some(origin("v1")));
}

/// Guards against a list that has become old without notice.
#[test]
fn no_origin_is_certain_while_lists_are_not_current() {
    let mut observed = Observed::for_millis(20_000);
    observed.history.observe(at(20_400), ListView::Outdated);
    assert_eq!(observed.only(20_400), None);
    observed.observe(20_480, 20_560);
    assert_eq!(observed.only(20_560), Some(origin("v1")));
    // A back end may have come and gone in a longer gap.
    observed.observe(22_000, 31_900);
    assert_eq!(observed.only(31_900), None);
    observed.observe(31_900, 32_100);
    assert_eq!(observed.only(32_100), Some(origin("v1")));
}

#[test]
fn no_origin_is_certain_until_streams_of_a_removed_version_are_too_old() {
    let mut observed = Observed::for_millis(20_000);
    observed.history.on_removed(at(20_000), "model", &"v0".into());
    observed.observe(20_000, 29_900);
    assert_eq!(observed.only(29_900), None);
    observed.observe(29_900, 30_100);
    assert_eq!(observed.only(30_100), Some(origin("v1")));
    observed.listed.insert("v2".into());
    assert_eq!(observed.only(30_100), None);
}

/// Guards against removed versions that are forgotten before the streams that they began are too old.
#[test]
fn no_origin_is_certain_for_streams_older_than_the_history_is_kept() {
    const LONG: Duration = Duration::from_secs(1_000);
    let mut observed = Observed::for_millis(20_000);
    observed.history.on_removed(at(20_000), "model", &"v0".into());
    observed.observe(20_000, 1_015_000);
    let route = short_hash(&[ROUTE.as_bytes()]);
    let listed = |_: &str| observed.listed.clone();
    assert_eq!(observed.history.only(at(1_015_000), route, LONG, listed), None);
}

/// Guards against a stream that continues at the service to which its route was moved.
#[test]
fn no_origin_is_certain_after_the_route_was_moved_to_another_service() {
    let mut observed = Observed::for_millis(20_000);
    observed.history.on_configuration(&configuration(&["other"]));
    assert_eq!(observed.only(20_000), None);
    observed.observe(20_000, 29_900);
    assert_eq!(observed.only(29_900), None);
    observed.history.on_configuration(&configuration(&["other", "model"]));
    observed.observe(29_900, 50_000);
    assert_eq!(observed.only(50_000), None);
}

/// A history of a router that starts before the first configuration, with back ends of `v1`.
fn observed_from_the_start() -> Observed {
    let listed = BTreeSet::from(["v1".into()]);
    let mut observed = Observed { history: OriginHistory::default(), listed };
    observed.history.on_unconfigured_source(at(0));
    observed.history.observe(at(0), ListView::Incomplete);
    observed.history.on_configuration(&configuration(&["model"]));
    observed.history.on_listed("model", &"v1".into());
    observed.observe(80, 1_000);
    observed
}

/// Guards against refusing streams although no other version has ever been in service.
#[test]
fn the_only_version_since_the_first_configuration_is_certain() {
    let mut observed = observed_from_the_start();
    assert_eq!(observed.only(1_000), Some(origin("v1")));
    assert_eq!(observed.history.possible_origins(at(1_000)), Some(BTreeSet::from([origin("v1")])));
    let mut archived = observed_from_the_start();
    archived.history.on_archive(at(1_000), &BTreeSet::from([origin("v0")]), false);
    assert_eq!(archived.only(1_000), None, "an archive names another one");
    observed.history.on_listed("model", &"v2".into());
    observed.history.on_removed(at(1_000), "model", &"v1".into());
    observed.listed = BTreeSet::from(["v2".into()]);
    assert_eq!(observed.only(1_000), None);
}

/// Guards against taking the first configuration that this router sees for the first one ever.
#[test]
fn no_version_is_certain_if_the_configuration_was_unknown_for_a_while() {
    let mut observed = observed_from_the_start();
    observed.observe(2_500, 3_000);
    assert_eq!(observed.only(3_000), None, "lists were not observed for over a second");
    let mut late = OriginHistory::default();
    late.on_configuration(&configuration(&["model"]));
    late.on_unconfigured_source(at(0));
    late.observe(at(0), ListView::Complete);
    assert_eq!(late.possible_origins(at(0)), None, "a configuration was known before");
}

/// Guards against a router that saw the source without configuration, and takes the versions that it
/// sees when it is back for the only ones ever: others have come and gone meanwhile.
#[test]
fn no_version_is_certain_to_a_router_that_was_out_of_touch_while_the_source_was_configured() {
    let cut_off = [ListView::Outdated; 250];
    let suspended = [];
    for rounds in [&cut_off[..], &suspended[..]] {
        let listed = BTreeSet::from(["v2".into()]);
        let mut observed = Observed { history: OriginHistory::default(), listed };
        observed.history.on_unconfigured_source(at(0));
        observed.observe_view(0, 400, ListView::Incomplete);
        for (round, view) in rounds.iter().enumerate() {
            observed.history.observe(at(480 + 80 * round as u64), *view);
        }
        observed.history.observe(at(20_480), ListView::Incomplete);
        observed.history.on_configuration(&configuration(&["model"]));
        observed.history.on_listed("model", &"v2".into());
        observed.observe(20_560, 22_000);
        assert_eq!(observed.only(22_000), None, "{} rounds", rounds.len());
        assert_eq!(observed.history.possible_origins(at(22_000)), None);
    }
}

/// A router that starts again knows the versions of the time before from an archive.
#[test]
fn an_archive_tells_which_versions_were_possible_before_a_start() {
    let mut observed = Observed::for_millis(1_000);
    observed.history.on_listed("model", &"v1".into());
    assert_eq!(observed.history.needs_origins_before(at(1_000)), Some(at(0)));
    let v1 = BTreeSet::from([origin("v1")]);
    observed.history.on_archive(at(1_000), &v1, false);
    assert_eq!(observed.only(1_000), None, "others were possible as well");
    observed.history.on_archive(at(1_000), &v1, true);
    assert_eq!(observed.only(1_000), Some(origin("v1")));
    // What was read before a gap may lack what came up within it.
    observed.observe(9_000, 9_500);
    observed.history.on_archive(at(1_000), &v1, true);
    assert_eq!(observed.only(9_500), None);
    observed.history.on_archive(at(9_500), &BTreeSet::from([origin("v0")]), true);
    assert_eq!(observed.only(9_500), None, "two versions were possible");
}

/// Guards against versions that are kept for ever, so that no stream is certain after a roll-out.
#[test]
fn a_version_that_left_longer_ago_than_callers_wait_is_obsolete() {
    let listed = |_: &str| BTreeSet::from([Arc::from("v1")]);
    let mut observed = Observed::for_millis(1_000);
    observed.history.on_removed(at(1_000), "model", &"v0".into());
    observed.observe(1_000, 600_000);
    let left_at = |now| observed.history.is_obsolete(at(now), &origin("v0"), listed);
    assert!(!left_at(600_000));
    observed.observe(600_000, 602_000);
    assert!(observed.history.is_obsolete(at(602_000), &origin("v0"), listed));
    assert!(!observed.history.is_obsolete(at(602_000), &origin("v1"), listed));
}

/// Work and memory of one router for the records of a fleet.
#[derive(Debug)]
struct RecordLoad {
    datagrams_per_second: f64,
    bytes_per_second: f64,
    /// Records at the router that keeps most.
    most_records: usize,
}

/// Returns the load of records in a fleet of routers that begin the same number of streams.
fn record_load(routers: u64, streams_per_second: u64) -> RecordLoad {
    const SECONDS: u64 = 4;
    let members = members(routers, 3);
    let mut fleet: Vec<OriginRecords> = (0..routers).map(|_| OriginRecords::default()).collect();
    let (mut datagrams, mut bytes) = (0, 0);
    let rounds = SECONDS * 1_000 / ROUND_PERIOD.as_millis() as u64;
    let streams_at = |round: u64| round * SECONDS * streams_per_second / rounds;
    for round in 0..rounds {
        let now = at(round * ROUND_PERIOD.as_millis() as u64);
        let mut sent = Vec::new();
        for (index, records) in fleet.iter_mut().enumerate() {
            for number in streams_at(round)..streams_at(round + 1) {
                let stream = mixed_hash(number, index as u64);
                records.record(now, &origin("v1"), record(stream));
            }
            let own = address(index as u64);
            let mut others = members.clone();
            others.retain(|(address, ..)| *address != own);
            sent.extend(records.take_reports(|stream| chosen(stream.0, &others, OWNERS)));
        }
        for (owner, reports) in sent {
            let message = PeerMessage::Origin(OriginMessage::Reports(reports.clone()));
            datagrams += 1;
            bytes += rmp_serde::to_vec(&message).expect("encoded").len();
            let index = members.iter().position(|(address, ..)| *address == owner);
            fleet[index.expect("a member")].on_reports(now, &reports);
        }
    }
    let per_second = |count: usize| count as f64 / (routers * SECONDS) as f64;
    RecordLoad {
        datagrams_per_second: per_second(datagrams),
        bytes_per_second: per_second(bytes),
        most_records: fleet.iter().map(OriginRecords::len).max().unwrap_or_default(),
    }
}

/// Bytes a second that a router may send for control in all.
const MAX_CONTROL_BYTES: f64 = 15_000.0;

/// Guards against work for records that grows with the fleet.
#[test]
fn the_work_for_a_record_does_not_grow_with_the_fleet() {
    for (routers, streams) in [(7, 52), (85, 20), (295, 6), (985, 2)] {
        let load = record_load(routers, streams);
        println!("{routers} routers, {streams} streams a second at each: {load:?}");
        let rounds_per_second = 1.0 / ROUND_PERIOD.as_secs_f64();
        let most = (OWNERS as f64 * streams as f64).min((routers - 1) as f64 * rounds_per_second);
        assert!(load.datagrams_per_second <= most, "{routers}: {load:?}");
        assert!(load.bytes_per_second <= MAX_CONTROL_BYTES, "{routers}: {load:?}");
        // Four seconds of its own streams and of those of three others, and some unevenness.
        let expected = 4 * streams * (1 + OWNERS as u64);
        assert!(load.most_records as u64 <= 4 * expected, "{routers}: {load:?}");
    }
}
