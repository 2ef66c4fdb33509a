//! The operator's file on the command line: `check` reports every error in it, and a program that is built without
//! management rejects its sections.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Runs `rockflow check` with an operator's file of this text. Returns the output and the path of the file.
fn check(text: &str) -> (Output, PathBuf) {
    let name = format!("rockflow-management-service-{}-{}.ini", std::process::id(), text.len());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    let config = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.json");
    let mut command = Command::new(env!("CARGO_BIN_EXE_rockflow"));
    command.args(["check", "--config", config, "--operator"]).arg(&path);
    let output = command.env_remove("ROCKFLOW_OPERATOR").output().unwrap();
    std::fs::remove_file(&path).unwrap();
    (output, path)
}

#[test]
#[cfg(feature = "management")]
fn check_reports_every_error_with_file_line_and_key() {
    let (output, path) = check("[management]\nowner = root\n\n[netconf]\nssh = here\n[gnmi]\nlisten = x\n");
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    let expected_line = format!("{}:5: [netconf] ssh: \"here\" is no address with a port", path.display());
    assert!(errors.contains(&expected_line), "{errors}");
    assert!(errors.lines().count() >= 3, "{errors}");
    let (output, _) = check("[management]\nowner = root\n");
    assert!(output.status.success(), "{output:?}");
}

#[test]
#[cfg(not(feature = "management"))]
fn rejects_management_section_without_management() {
    let (output, _) = check("[management]\nowner = root\n");
    assert!(!output.status.success());
    assert!(String::from_utf8(output.stderr).unwrap().contains("built without management"));
}
