//! Tests of the settings file.

use crate::{StartError, load_settings};
use std::io::Write;
use std::path::PathBuf;

fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("mastbay-{}-{name}.ini", std::process::id()));
    let mut file = std::fs::File::create(&path).expect("a temporary file");
    file.write_all(text.as_bytes()).expect("written");
    path
}

#[test]
fn all_faults_of_a_settings_file_are_reported_at_once() {
    let path = settings_file(
        "faults",
        "[process]\nzone = bad zone\ncolour = blue\n[peer]\naddress = here\n[colours]\n",
    );
    let error = load_settings(&path, &[], |_, _| Some(())).expect_err("faults");
    let StartError::Faults(faults) = error else { panic!("{error}") };
    let text = faults.to_string();
    for expected in [
        "[process] zone: expected a name",
        "[process] colour: unknown key; known here: zone, log, otlp, stop-limit",
        "[peer] address: expected an address such as 127.0.0.1:8080, found 'here'",
        "[peer] secret: missing",
        "[platform] address: missing",
        "[admin] address: missing",
        "[colours] unknown section; known here: process, peer, platform, admin",
    ] {
        assert!(text.contains(expected), "{expected} not in:\n{text}");
    }
    assert_eq!(faults.list.len(), 7);
    std::fs::remove_file(path).expect("removed");
}
