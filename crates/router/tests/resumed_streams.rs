//! Streams that callers resume at a router before back ends of two software versions.

mod support;

use mastbay_router::{Origin, Runtime};
use mastbay_routing::{
    BackEnd, BackEndList, OriginAnswer, OriginMessage, OriginReply, PeerMessage, SourceContact,
    StreamOrigin, Target,
};
use smol::net::UdpSocket;
use std::time::Duration;
use support::{
    Answer, Bed, Request, STREAM_END, STREAM_HEAD, ScriptedBackEnd, Step, configuration, events,
    run, until,
};

/// Path of a route with [`SHORT_TIMEOUT`].
const SHORT: &str = "/resumable/short/x";
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
const TWO_TIMEOUTS: Duration = Duration::from_millis(600);

/// Sends the events `first..=last` and ends the stream.
fn whole(first: u64, last: u64) -> Vec<Step> {
    vec![Step::Write(STREAM_HEAD.to_owned() + &events(first, last) + STREAM_END)]
}

/// Sends the events `1..=last` and closes the connection.
fn broken(last: u64) -> Vec<Step> {
    vec![Step::Write(STREAM_HEAD.to_owned() + &events(1, last)), Step::Close]
}

fn versioned(back_end: &ScriptedBackEnd, version: &str) -> BackEnd {
    BackEnd { version: version.into(), ..back_end.listed("plain") }
}

/// Lists back ends with their versions, as the source would.
fn list(bed: &Bed, revision: u64, back_ends: &[(&ScriptedBackEnd, &str)]) {
    let back_ends = back_ends.iter().map(|(one, version)| versioned(one, version)).collect();
    bed.router
        .offer_back_ends(BackEndList { revision: revision.into(), back_ends }, Origin::Source);
}

fn resume(path: &str, resumed_id: Option<&str>) -> Request {
    let request = Request::new(path).with("mastbay-last-event", "2");
    match resumed_id {
        Some(id) => request.with("mastbay-resumes", id),
        None => request,
    }
}

fn id_of(request: &Request) -> String {
    request.headers[0].1.clone()
}

/// Starts a router with a back end of each of two versions.
async fn bed_of_two(runtime: Runtime) -> (Bed, ScriptedBackEnd, ScriptedBackEnd) {
    let old = ScriptedBackEnd::start(runtime, "old", vec![broken(2), whole(3, 4)]).await;
    let new = ScriptedBackEnd::start(runtime, "new", vec![whole(1, 4)]).await;
    let bed = Bed::start(runtime, &[]).await;
    list(&bed, 2, &[(&old, "v1")]);
    (bed, old, new)
}

async fn begin(bed: &Bed) -> (String, Answer) {
    let first = Request::new("/resumable/x");
    let answer = bed.call(&first).await;
    (id_of(&first), answer)
}

/// A stream that its caller names was sent to a back end of any version.
#[test]
fn a_stream_that_is_named_goes_on_at_its_version() {
    run(async |runtime| {
        let (bed, old, new) = bed_of_two(runtime).await;
        let (id, answer) = begin(&bed).await;
        assert!(!answer.is_complete, "{answer:?}");
        list(&bed, 3, &[(&old, "v1"), (&new, "v2")]);
        for _ in 0..8 {
            let answer = bed.call(&resume("/resumable/x", Some(&id))).await;
            assert_eq!((answer.status, answer.is_complete), (200, true), "{answer:?}");
        }
        assert_eq!(new.arrivals(), 0);
        assert!(old.heads.borrow()[1].contains("mastbay-last-event: 2"));
    });
}

/// A caller that does not name its stream was sent to any version.
#[test]
fn a_stream_that_is_not_named_is_refused_while_there_are_two_versions() {
    run(async |runtime| {
        let (bed, old, new) = bed_of_two(runtime).await;
        begin(&bed).await;
        list(&bed, 3, &[(&old, "v1"), (&new, "v2")]);
        let arrivals = old.arrivals();
        let answer = bed.call(&resume("/resumable/x", None)).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert_eq!(answer.header("mastbay-outcome").as_deref(), Some("not-run"));
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert_eq!((old.arrivals(), new.arrivals()), (arrivals, 0));
    });
}

/// A stream whose only back end left went on at the other version.
#[test]
fn a_stream_whose_version_has_left_is_refused_at_once() {
    run(async |runtime| {
        let (bed, _old, new) = bed_of_two(runtime).await;
        let (id, _) = begin(&bed).await;
        list(&bed, 3, &[(&new, "v2")]);
        let answer = bed.call(&resume("/resumable/x", Some(&id))).await;
        assert_eq!((answer.status, new.arrivals()), (503, 0), "{answer:?}");
    });
}

/// A stream that began at a back end whose entry changed meanwhile may be of either version.
#[test]
fn a_stream_whose_back_end_changed_its_version_before_the_first_event_is_not_resumed() {
    run(async |runtime| {
        let slow = vec![Step::Pause(Duration::from_millis(300))];
        let slow: Vec<Step> = slow.into_iter().chain(broken(2)).collect();
        let first = ScriptedBackEnd::start(runtime, "first", vec![slow]).await;
        let other = ScriptedBackEnd::start(runtime, "other", vec![whole(3, 4)]).await;
        let bed = Bed::start(runtime, &[]).await;
        list(&bed, 2, &[(&first, "v1")]);
        let request = Request::new("/resumable/x");
        let (answer, ()) = smol::future::zip(bed.call(&request), async {
            until(async || first.arrivals() == 1).await;
            list(&bed, 3, &[(&first, "v2"), (&other, "v2")]);
        })
        .await;
        assert!(!answer.is_complete, "{answer:?}");
        let answer = bed.call(&resume("/resumable/x", Some(&id_of(&request)))).await;
        assert_eq!((answer.status, other.arrivals()), (503, 0), "{answer:?}");
    });
}

/// A caller that uses an ID twice has streams of two versions under it.
#[test]
fn a_stream_whose_id_began_at_two_versions_is_refused() {
    run(async |runtime| {
        let (bed, old, new) = bed_of_two(runtime).await;
        let request = Request::new("/resumable/x");
        bed.call(&request).await;
        list(&bed, 3, &[(&new, "v2")]);
        bed.call(&request).await;
        list(&bed, 4, &[(&old, "v1"), (&new, "v2")]);
        let arrivals = (old.arrivals(), new.arrivals());
        let answer = bed.call(&resume("/resumable/x", Some(&id_of(&request)))).await;
        assert_eq!((answer.status, answer.header("retry-after")), (503, None), "{answer:?}");
        assert_eq!((old.arrivals(), new.arrivals()), arrivals);
    });
}

/// A stream went on at the service to which its route was moved.
#[test]
fn a_stream_whose_route_was_moved_to_another_service_is_refused() {
    run(async |runtime| {
        let (bed, old, new) = bed_of_two(runtime).await;
        let (id, _) = begin(&bed).await;
        let moved = BackEnd { service: "model".to_owned(), ..versioned(&new, "v1") };
        let back_ends = vec![versioned(&old, "v1"), moved];
        bed.router.offer_back_ends(BackEndList { revision: 3.into(), back_ends }, Origin::Source);
        let mut other = configuration(2);
        let route = other.routes.iter_mut().find(|route| route.path_prefix == "/resumable/");
        route.expect("a route").targets = vec![Target { service: "model".to_owned(), weight: 1 }];
        bed.router.offer_configuration(other, Origin::Source);
        let answer = bed.call(&resume("/resumable/x", Some(&id))).await;
        assert_eq!((answer.status, new.arrivals()), (503, 0), "{answer:?}");
    });
}

/// The only version of two timeouts of the route was taken for the only one ever, although a caller may
/// return later.
#[test]
fn a_stream_that_is_not_named_is_refused_after_two_timeouts_of_its_route() {
    run(async |runtime| {
        let only = ScriptedBackEnd::start(runtime, "only", vec![whole(3, 4)]).await;
        let bed = start_with_short_timeout(runtime, &only).await;
        let refused_until = bed.runtime.now() + 3 * TWO_TIMEOUTS;
        while bed.runtime.now() < refused_until {
            let answer = bed.call(&resume(SHORT, None)).await;
            assert_eq!((answer.status, only.arrivals()), (503, 0), "{answer:?}");
            smol::Timer::after(SHORT_TIMEOUT / 3).await;
        }
    });
}

/// Where there has been only one version for as long as any caller waits, callers that do not name their
/// streams may resume them, also at a router that has started since.
#[test]
fn a_stream_that_is_not_named_goes_on_once_only_one_version_was_possible() {
    run(async |runtime| {
        let only = ScriptedBackEnd::start(runtime, "only", vec![whole(3, 4)]).await;
        let bed = start_with_short_timeout(runtime, &only).await;
        let peer = ScriptedPeer::start(&bed).await;
        until(async || bed.router.fleet_size() == 2).await;
        let v1 = || Some(StreamOrigin { service: "plain".into(), version: "v1".into() });
        let starting = OriginAnswer::NotRecorded { only: None, current: v1() };
        let certain = OriginAnswer::NotRecorded { only: v1(), current: v1() };
        let early = resume(SHORT, None);
        let answers = peer.answer_queries(vec![starting]);
        let (early, ()) = smol::future::zip(bed.call(&early), answers).await;
        assert_eq!((early.status, only.arrivals()), (503, 0), "{early:?}");
        let late = resume(SHORT, None);
        let answers = peer.answer_queries(vec![certain]);
        let (late, ()) = smol::future::zip(bed.call(&late), answers).await;
        assert_eq!((late.status, only.arrivals()), (200, 1), "{late:?}");
    });
}

/// Starts a router before a back end of one version, with a route whose timeout is short.
async fn start_with_short_timeout(runtime: Runtime, only: &ScriptedBackEnd) -> Bed {
    let bed = Bed::start(runtime, &[]).await;
    let mut short = configuration(2);
    let mut route = short.routes.last().expect("a route").clone();
    "short".clone_into(&mut route.name);
    "/resumable/short/".clone_into(&mut route.path_prefix);
    route.timeout = SHORT_TIMEOUT;
    short.routes.push(route);
    bed.router.on_source_contact(SourceContact::Answered);
    bed.router.offer_configuration(short, Origin::Source);
    list(&bed, 2, &[(only, "v1")]);
    bed
}

/// A peer that answers queries as a test tells it.
struct ScriptedPeer {
    socket: UdpSocket,
}

impl ScriptedPeer {
    async fn start(bed: &Bed) -> Self {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).await.expect("bound");
        let address = socket.local_addr().expect("bound");
        bed.announce_peer(address, address);
        Self { socket }
    }

    /// Answers the queries of the router one after the other; other messages are ignored.
    async fn answer_queries(&self, answers: Vec<OriginAnswer>) {
        let mut buffer = vec![0; 60_000];
        for answer in answers {
            let (query, router) = loop {
                let (length, router) = self.socket.recv_from(&mut buffer).await.expect("received");
                let message = rmp_serde::from_slice(&buffer[..length]).expect("a message");
                if let PeerMessage::Origin(OriginMessage::Query(query)) = message {
                    break (query, router);
                }
            };
            let reply = OriginMessage::Reply(OriginReply { query: query.id, answer });
            let bytes = rmp_serde::to_vec(&PeerMessage::Origin(reply)).expect("encoded");
            self.socket.send_to(&bytes, router).await.expect("sent");
        }
    }
}

/// A router asked its peers again and again, but took only their first answers.
#[test]
fn a_record_that_reaches_a_peer_late_is_found() {
    run(async |runtime| {
        let (bed, old, new) = bed_of_two(runtime).await;
        list(&bed, 3, &[(&old, "v1"), (&new, "v2")]);
        let peer = ScriptedPeer::start(&bed).await;
        until(async || bed.router.fleet_size() == 2).await;
        let unknown = OriginAnswer::NotRecorded { only: None, current: None };
        let origin = StreamOrigin { service: "plain".into(), version: "v2".into() };
        let recorded = OriginAnswer::Recorded { origin, age_ms: 1 };
        let request = resume("/resumable/x", Some("elsewhere"));
        let (answer, ()) = smol::future::zip(
            bed.call(&request),
            peer.answer_queries(vec![unknown.clone(), unknown, recorded]),
        )
        .await;
        assert_eq!((answer.status, old.arrivals(), new.arrivals()), (200, 0, 1), "{answer:?}");
    });
}
