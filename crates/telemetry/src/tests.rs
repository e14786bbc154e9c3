//! Tests of trace contexts and of the export of spans.

use crate::TraceContext;

#[test]
fn traceparents_round_trip_and_invalid_ones_are_rejected() {
    let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let context: TraceContext = text.parse().expect("a valid traceparent");
    assert_eq!(context.to_string(), text);
    for bad in [
        "",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
        "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
        "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-+af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
    ] {
        assert!(bad.parse::<TraceContext>().is_err(), "{bad}");
    }
}

#[test]
fn spans_reach_the_collector_with_their_parents() {
    use crate::{HopSpan, start_export};
    use hyper::Response;
    use mastbay_web::{Server, ServerConfig, empty, read_limited, within};
    use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
    use prost::Message;
    use std::time::Duration;

    /// A deterministic generator that counts up.
    struct CountingRng(u64);

    impl rand::rand_core::TryRng for CountingRng {
        type Error = std::convert::Infallible;

        fn try_next_u32(&mut self) -> Result<u32, Self::Error> {
            self.try_next_u64().map(|number| number as u32)
        }

        fn try_next_u64(&mut self) -> Result<u64, Self::Error> {
            self.0 += 2;
            Ok(self.0)
        }

        fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Self::Error> {
            bytes.fill(1);
            Ok(())
        }
    }

    smol::block_on(async {
        let loopback = ([127, 0, 0, 1], 0).into();
        let server = Server::bind(loopback, ServerConfig::default()).await.expect("bound");
        let address = server.address();
        let (sender, bodies) = smol::channel::unbounded();
        smol::spawn(server.run(move |request, _| {
            let sender = sender.clone();
            async move {
                let body = read_limited(request.into_body(), 1 << 20).await.expect("a body");
                sender.send(body).await.expect("room");
                Response::new(empty())
            }
        }))
        .detach();
        start_export(address, "mastbay-test");
        let mut random = CountingRng(1);
        let root = TraceContext::new_root(&mut random);
        let outer = HopSpan::start("gateway", root, &mut random);
        let inner = HopSpan::start("backend", outer.context(), &mut random);
        inner.finish("request", "ok");
        let outer_span = outer.context().span;
        outer.finish("request", "answered");
        let body = within(Duration::from_secs(10), bodies.recv()).await.expect("in time");
        let decoded = ExportTraceServiceRequest::decode(body.expect("a batch")).expect("OTLP");
        let spans = &decoded.resource_spans[0].scope_spans[0].spans;
        let names: Vec<&str> = spans.iter().map(|span| span.name.as_str()).collect();
        assert_eq!(names, ["backend", "gateway"]);
        assert_eq!(spans[0].parent_span_id, outer_span.to_be_bytes());
        assert_eq!(spans[0].trace_id, root.trace.to_be_bytes());
    });
}
