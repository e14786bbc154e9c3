//! Settings are validated completely before a process opens any listener.

use mastbay_testbed::binary;
use std::process::Command;

#[test]
fn invalid_settings_end_a_process_with_code_two_before_it_opens_a_listener() {
    let folder = std::env::temp_dir();
    for program in ["mastbay-gateway", "mastbay-scheduler"] {
        let path = folder.join(format!("mastbay-bad-{program}-{}.ini", std::process::id()));
        std::fs::write(&path, "[process]\nzone = a\n[peer]\naddress = x\n[extra]\n").expect("ok");
        let output = Command::new(binary(program)).arg(&path).output().expect("started");
        assert_eq!(output.status.code(), Some(2));
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        for expected in ["[extra] unknown section", "[peer] address: expected an address"] {
            assert!(errors.contains(expected), "{errors}");
        }
        std::fs::remove_file(path).expect("removed");
    }
}

#[test]
fn a_missing_settings_file_is_named() {
    let output =
        Command::new(binary("mastbay-gateway")).arg("/nonexistent.ini").output().expect("started");
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(errors.contains("/nonexistent.ini: cannot be read"), "{errors}");
}

#[test]
fn the_examples_are_valid() {
    let examples = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for (program, file) in
        [("mastbay-gateway", "gateway.ini"), ("mastbay-scheduler", "scheduler.ini")]
    {
        let mut command = Command::new(binary(program));
        let output = command.arg(examples.join(file)).arg("--check").output().expect("started");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }
    let mut command = Command::new(binary("mastbayctl"));
    let output = command.arg("validate").arg(examples.join("configuration")).output();
    let output = output.expect("started");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}
