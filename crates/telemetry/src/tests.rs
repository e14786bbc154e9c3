use crate::TraceContext;

#[test]
fn a_traceparent_survives_and_bad_ones_are_refused() {
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
