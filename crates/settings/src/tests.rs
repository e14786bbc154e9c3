use crate::{Bounded, Document, Faults, LoadError, Span};
use std::net::SocketAddr;
use std::path::Path;

fn faults_of(text: &str, read: impl FnOnce(&Document, &mut Faults)) -> Vec<String> {
    let document = Document::parse("test.ini", text).expect("INI form");
    let mut faults = Faults::default();
    read(&document, &mut faults);
    faults.list.iter().map(ToString::to_string).collect()
}

#[test]
fn all_faults_are_reported_together() {
    let text = "[peer]\naddress = nowhere\nport = 5\nlimit = 70\nlimit = 7\nidle = 5 days\n\
                [peer]\n[extra]\n";
    let found = faults_of(text, |document, faults| {
        document.check_sections(&["peer"], faults);
        let mut section = document.section("peer", faults);
        let _: Option<SocketAddr> = section.required("address");
        let _: Option<Bounded<1, 64>> = section.required("limit");
        let _: Option<Span<1, 1000>> = section.optional("idle");
        let _: Option<String> = section.required("secret");
        section.finish();
    });
    assert_eq!(
        found,
        [
            "test.ini: [peer] appears more than once",
            "test.ini: [extra] unknown section; known here: peer",
            "test.ini: [peer] address: expected an address such as 127.0.0.1:8080, found 'nowhere'",
            "test.ini: [peer] limit: appears more than once",
            "test.ini: [peer] limit: expected a whole number from 1 to 64, found '70'",
            "test.ini: [peer] idle: expected a time from 1ms to 1000ms, such as 250ms or 3s, \
             found '5 days'",
            "test.ini: [peer] secret: missing; expected a text that is not empty",
            "test.ini: [peer] port: unknown key; known here: address, limit, idle, secret",
        ]
    );
}

#[test]
fn valid_values_and_defaults_are_read() {
    let found = faults_of("[a]\nn = 3\nspan = 2s\nlist = x, y\n", |document, faults| {
        let mut section = document.section("a", faults);
        assert_eq!(section.required("n"), Some(Bounded::<1, 5>(3)));
        assert_eq!(section.or("m", Bounded::<1, 5>(4)), Bounded(4));
        assert_eq!(section.optional::<Span<1, 5000>>("span").map(|span| span.0.as_secs()), Some(2));
        assert_eq!(section.list::<String>("list"), ["x", "y"]);
        section.finish();
    });
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn load_errors_name_the_file() {
    let error = Document::parse("bad.ini", "[peer\naddress").expect_err("not INI");
    assert!(matches!(error, LoadError::Syntax { .. }));
    assert!(error.to_string().starts_with("bad.ini: not in INI form:"), "{error}");
    let error = Document::load(Path::new("/nonexistent/x.ini")).expect_err("no file");
    assert!(error.to_string().contains("/nonexistent/x.ini"), "{error}");
}
